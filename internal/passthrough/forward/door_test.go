package forward

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

func newDoorEngine(t *testing.T) *testEngine {
	r := newTestEngine(t)
	r.engine.cfg.Overload = overload.Settings{FairShares: true}
	return r
}

// shortAgent has an agent report that callers of an urgency wait for two seconds.
func (r *testEngine) shortAgent(n, urgency byte) netip.AddrPort {
	return r.waitingAgent(n, 2000, urgency, 50)
}

// waitingAgent has an agent report that callers of an urgency wait for some milliseconds.
func (r *testEngine) waitingAgent(n byte, waitMS uint32, urgency, callers byte) netip.AddrPort {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
	r.report(at, peer.Report{
		Process: uint64(n), Service: uint64(route.IDOf(caseworkService)), Zone: zone, AcceptsFlows: true,
		Slots: 4, Running: 60, Load: 400, WaitMS: waitMS, Waiting: []byte{urgency, callers},
	})
	return at
}

// refusedOf sends first packets and returns how many were refused at once.
func (r *testEngine) refusedOf(n int) (refused int) {
	for port := range uint16(n) {
		before := len(r.resets)
		r.send(syn(1000 + port))
		refused += len(r.resets) - before
	}
	return refused
}

// Guards against callers held, or passed from agent to agent, while all targets are short, and
// against refusals beside a free slot, an unknown target or less urgent callers.
func TestDoorRefusesWhereCallersWaitEverywhere(t *testing.T) {
	is := is.New(t)
	r := newDoorEngine(t)
	for n := byte(1); n <= 8; n++ {
		r.shortAgent(n, 0)
	}
	is.True(r.refusedOf(100) > 90)
	is.Equal(r.lastDecision().Verdict, RefusedShort)

	idle := r.agentAt(9, caseworkService)
	n := len(r.delivered)
	r.send(syn(1))
	is.Equal(r.delivered[n].to, idle)

	r.shortAgent(9, 0)
	r.list(10, caseworkService) // no report yet
	r.now += surroundingsFor
	is.Equal(r.refusedOf(100), 0)

	r = newDoorEngine(t)
	for n := byte(1); n <= 8; n++ {
		r.shortAgent(n, 2) // less urgent
	}
	is.Equal(r.refusedOf(1), 0)
}

// Guards against refusals beside a short wait at the chosen target, while others are full.
func TestDoorGoesByTheChosenTarget(t *testing.T) {
	r := newDoorEngine(t)
	r.engine.cfg.Rand = rand.New(alwaysHigh{})
	r.shortAgents(4)
	short := r.waitingAgent(9, 10, 0, 1)
	f := flowOf(1)
	p := &pendingPlacement{arrival: arrival{arrivedAt: r.now, p: syn(1)}}
	_, passes := r.engine.atDoor(r.now, f, p, choice{agent: r.engine.agents.number(short)})
	is.New(t).True(passes)
}

// Guards against quiet clients refused for callers that they would overtake at the agents.
func TestDoorPassesClientsBelowTheirShare(t *testing.T) {
	r := newDoorEngine(t)
	r.engine.cfg.Rand = rand.New(alwaysHigh{})
	for n := byte(1); n <= 8; n++ {
		r.shortAgent(n, byte(fairshare.UrgencyOf(0, fairshare.WithinShare)))
	}
	for n := range byte(40) {
		c := fairshare.Client{IP: [4]byte{100, 64, 9, n}}
		r.engine.shortage.usage.See(r.now, c)
		r.engine.shortage.usage.Raise(r.now, c, 100)
	}
	is.New(t).Equal(r.refusedOf(1), 0)
}

// Guards against targets surveyed for each first packet where any other target is idle.
func TestDoorKeepsItsViewUntilRoomAppears(t *testing.T) {
	is := is.New(t)
	r := newDoorEngine(t)
	r.agentAt(9, mapdocsService)
	r.shortAgents(8)
	r.refusedOf(1)
	is.Equal(len(r.engine.shortage.views), 1)
	r.agentAt(9, mapdocsService)
	r.agentAt(10, mapdocsService)
	is.Equal(len(r.engine.shortage.views), 1)
	r.agentAt(8, caseworkService)
	is.Equal(len(r.engine.shortage.views), 0)
	r.refusedOf(1)
	n := len(r.engine.shortage.views)
	r.agentAt(8, caseworkService)
	is.Equal(len(r.engine.shortage.views), n)
}

// Guards against a door that stays open in a large fleet, as reports expire before all targets
// have been asked.
func TestDoorClosesInLargeFleet(t *testing.T) {
	const agents, roundTrip, steps = 120, 10, 1000
	is := is.New(t)
	r := newDoorEngine(t)
	r.shortAgents(agents)
	var due [roundTrip][]netip.AddrPort
	first, probes := 0, 0
	for step := range steps {
		r.now += time.Millisecond
		for _, at := range due[step%roundTrip] {
			r.shortAgent(at.Addr().As4()[3], 0)
		}
		if step == steps/2 {
			first, probes, r.resets = 0, 0, nil
		}
		r.probed = nil
		if step%2 == 0 {
			first++
			r.send(syn(uint16(step)))
		}
		r.engine.Tick(r.now)
		due[step%roundTrip] = r.probed
		probes += len(r.probed)
	}
	t.Logf("%d of %d refused, %d probes", len(r.resets), first, probes)
	is.True(len(r.resets) > first*9/10)
	is.True(probes < 300)
}

// Guards against a view that shows room after first packets have taken it.
func TestDoorLooksAgainOnceRoomIsTaken(t *testing.T) {
	r := newDoorEngine(t)
	r.shortAgents(16)
	r.agentAt(17, caseworkService) // four slots
	r.refusedOf(20)
	for _, s := range r.engine.shortage.views {
		is.New(t).True(!s.room)
	}
}

// Guards against a wait that is taken for a short one because it is too long to count with.
func TestDoorBoundsReportedWaits(t *testing.T) {
	r := newDoorEngine(t)
	at := r.waitingAgent(1, math.MaxUint32, 0, 1)
	a := &r.engine.agents.list[r.engine.agents.number(at)]
	a.flowsSent = 5_000
	wait, known := a.expectedWait(r.now, 0)
	is.New(t).True(known && wait > 0)
}

// Guards against a target with many slots that is taken for one with few.
func TestDoorCountsManySlots(t *testing.T) {
	r := newDoorEngine(t)
	at := r.waitingAgent(1, 0, 0, 0)
	a := &r.engine.agents.list[r.engine.agents.number(at)]
	a.report.Slots = 1 << 31
	_, known := a.expectedWait(r.now, 0)
	is.New(t).True(known)
}

// Guards against garbage for each packet of a known flow where copies are remembered.
func TestKnownFlowsDoNotAllocate(t *testing.T) {
	r := newDoorEngine(t)
	r.agentAt(1, caseworkService)
	r.send(syn(1))
	r.engine.cfg.Out = discardEngineOutput{}
	p, raw := data(1, 7), make([]byte, 1200)
	if n := testing.AllocsPerRun(100, func() { r.engine.HandleClientPacket(r.now, p, raw) }); n != 0 {
		t.Errorf("%v allocations a packet", n)
	}
}

// Guards against a shortage that outlives its reports, and against refusals where shares aren't
// in force.
func TestDoorOpensWithoutReports(t *testing.T) {
	is := is.New(t)
	r := newDoorEngine(t)
	r.shortAgent(1, 0)
	r.shortAgent(2, 0)
	is.True(r.refusedOf(20) > 10)
	r.now += shortageKnownFor
	is.Equal(r.refusedOf(20), 0)
	r.engine.cfg.Overload.FairShares = false
	r.shortAgent(1, 0)
	r.shortAgent(2, 0)
	is.Equal(r.refusedOf(20), 0)
}

// Guards against a client's flows that count for nothing elsewhere, and against flows counted
// before they have opened, or twice.
func TestFirstPacketsCarryTheClientsUsage(t *testing.T) {
	is := is.New(t)
	r := newDoorEngine(t)
	r.agentAt(1, caseworkService)
	for port := range uint16(40) {
		r.send(syn(port))
		is.True(r.delivered[len(r.delivered)-1].usage.Flows() < 1.1*float64(port)+1)
		r.send(data(port, 7))
		r.send(data(port, 7))
		r.now += time.Millisecond
	}
	r.send(syn(100))
	last := r.delivered[len(r.delivered)-1].usage.Flows()
	is.True(last > 36 && last < 44)
	r.send(packet.Packet{Src: client(100), Dst: service, Flags: packet.RST})
	r.send(syn(101))
	is.Equal(r.delivered[len(r.delivered)-1].usage.Flows(), last)
}

// Guards against callers that wait in silence: refused shortly before their next copy is
// due, they are told once that copy has come here too, unless the flow has opened meanwhile.
func TestCallerIsToldWithItsNextCopy(t *testing.T) {
	for name, opens := range map[string]bool{"refused again": false, "opened elsewhere": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newDoorEngine(t)
			at := r.agentAt(1, caseworkService)
			refuse := func(p packet.Packet) {
				r.engine.HandleRefused(r.now, at, peer.Header{Reason: peer.Busy}, p, rawOf(p.Ack))
			}
			first := syn(1)
			r.send(first)
			r.advance(170 * time.Millisecond)
			refuse(first)
			is.Equal(len(r.resets), 0)
			is.Equal(r.lastDecision().Verdict, DroppedMayBeOpen)
			if opens {
				r.send(data(1, 5001))
			}
			r.advance(40 * time.Millisecond)
			r.agentAt(1, caseworkService)
			next := syn(1)
			next.Ack = 1
			r.send(next)
			refuse(next)
			is.Equal(len(r.resets) > 0, !opens)
		})
	}
}

// Guards against resets of flows that may be open: through another balancer that passed on a
// copy of the first packet, or at the target where a search found them.
func TestDoorLeavesFlowsThatMayBeOpen(t *testing.T) {
	copyOf := func(n uint32) func(r *testEngine) {
		return func(r *testEngine) {
			x := syn(1)
			x.Ack = n
			r.send(x)
		}
	}
	busy := func(r *testEngine, p packet.Packet) {
		if len(r.delivered) == 0 {
			return
		}
		r.engine.HandleRefused(r.now, r.delivered[len(r.delivered)-1].to, peer.Header{Reason: peer.Busy}, p, rawOf(p.Ack))
	}
	for name, c := range map[string]struct {
		do     func(r *testEngine)
		resets int
	}{
		"new":           {copyOf(0), 1},
		"first copy":    {copyOf(1), 0},
		"second copy":   {copyOf(2), 0},
		"after a stall": {func(r *testEngine) { r.now += 2 * time.Second; r.shortAgents(8); copyOf(0)(r) }, 0},
		"bulk":          {func(r *testEngine) { r.bulkTable(2, route.Upload); r.upload(1, 0) }, 0},
		"found, its agent silent": {func(r *testEngine) {
			r.send(data(1, 9))
			r.answerAs(r.asked[0].to, peer.Holds)
			a := &r.engine.agents.list[r.engine.flows[flowOf(1)].agent]
			a.probedAt, a.lastSeenAt = r.now-probeTimeout, r.now-time.Second
			copyOf(0)(r)
		}, 0},
		"a copy handed back": {func(r *testEngine) {
			copyOf(1)(r)
			busy(r, packet.Packet{Src: client(1), Dst: service, Flags: packet.SYN, Ack: 1})
		}, 0},
		"a copy handed back, without shares": {func(r *testEngine) {
			r.engine.cfg.Overload = overload.Settings{}
			copyOf(1)(r)
			busy(r, packet.Packet{Src: client(1), Dst: service, Flags: packet.SYN, Ack: 1})
		}, 1},
		"all copies handed back": {func(r *testEngine) {
			r.agentAt(9, caseworkService)
			copyOf(0)(r)
			r.advance(200 * time.Millisecond)
			copyOf(1)(r)
			busy(r, packet.Packet{Src: client(1), Dst: service, Flags: packet.SYN, Ack: 1})
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newDoorEngine(t)
			r.engine.cfg.Overload.BulkAdmission = true
			r.engine.bulk = newBulkGate(r.engine.cfg)
			r.engine.cfg.Rand = rand.New(alwaysHigh{})
			r.shortAgents(8)
			c.do(r)
			is.New(t).Equal(len(r.resets), c.resets)
		})
	}
}

// alwaysHigh is a source of random numbers with which no chance comes true.
type alwaysHigh struct{}

func (alwaysHigh) Uint64() uint64 { return math.MaxUint64 }

// shortAgents has n agents report that callers wait.
func (r *testEngine) shortAgents(n byte) {
	for i := byte(1); i <= n; i++ {
		r.shortAgent(i, 0)
	}
}
