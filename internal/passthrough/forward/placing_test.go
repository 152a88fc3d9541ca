package forward

import (
	"net/netip"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// A caller's first packet meets a target that leaves, then one that is full, and
// is taken by the third. The caller notices a few milliseconds.
func TestRefusedFirstPacketMovesOn(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.agentAt(1, desk)
	r.agentAt(2, desk)
	r.agentAt(3, desk)
	r.send(syn(9))
	seen := map[string]bool{}
	for i, why := range []peer.Reason{peer.Draining, peer.Full} {
		to := r.delivered[i].to
		seen[to.String()] = true
		r.engine.Refused(r.now, to, peer.Head{Reason: why}, syn(9), rawOf(0))
		is.Equal(r.last().Verdict, Moved)
		is.Equal(r.last().Reason, why)
	}
	seen[r.delivered[2].to.String()] = true
	is.Equal(len(seen), 3) // never the same twice
	is.Equal(len(r.resets), 0)
}

// No target takes the flow. The caller is told at once instead of waiting 1.4 s
// for an answer that doesn't come.
func TestFirstPacketWithoutATargetIsReset(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := r.agentAt(1, desk)
	r.send(syn(9))
	r.engine.Refused(r.now, a, peer.Head{Reason: peer.Silent}, syn(9), rawOf(0))
	is.Equal(len(r.resets), 1)
	is.Equal(r.last().Verdict, RefusedNoTarget)
	is.Equal(r.engine.Flows(), 0)
}

// A copy of a first packet follows the first while its agent is alive: two
// targets that both answer would each hold a flow that one caller uses.
func TestCopyFollowsTheFirst(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for n := byte(1); n < 9; n++ {
		r.agentAt(n, desk)
	}
	for range 3 {
		r.send(syn(9))
	}
	is.Equal(r.delivered[1].to, r.delivered[0].to)
	is.Equal(r.delivered[2].to, r.delivered[0].to)
}

// Guards against a caller whose copies follow its first packet to a dead agent: the
// agent is probed, and the copy goes elsewhere well before the caller sends another.
func TestCopyLeavesASilentAgent(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := r.agentAt(1, desk)
	r.send(syn(9))
	is.Equal(r.delivered[0].to, a)
	for range 20 { // the agent lives until shortly before the copy
		r.agentAt(1, desk)
		r.pass(10 * time.Millisecond)
	}
	r.now += loadFresh
	b := r.agentAt(2, desk)
	r.probed = nil
	r.send(syn(9))
	is.Equal(r.probed, []netip.AddrPort{a})
	for r.delivered[len(r.delivered)-1].to != b && r.now < 2*time.Hour {
		r.agentAt(2, desk)
		r.pass(10 * time.Millisecond)
	}
	is.True(len(r.delivered) == 3)
	is.Equal(r.last().Reason, peer.Silent)
	is.True(r.last().Waited <= loadPatience+10*time.Millisecond)
}

// Guards against flows that wait for a dead agent: of three that are probed two answers are enough.
func TestFirstPacketDoesNotWaitForADeadAgent(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for n := byte(1); n <= 4; n++ {
		r.list(n, desk)
	}
	r.send(syn(9))
	is.Equal(len(r.delivered), 0)
	is.Equal(len(r.probed), enough+1)
	for _, at := range r.probed[1:] {
		r.report(at, peer.Report{Process: uint64(at.Addr().As4()[3]), Service: uint64(route.IDOf(desk)), Zone: zone, Open: true, Slots: 4})
	}
	is.Equal(len(r.delivered), 1)
	is.Equal(r.last().Waited, time.Duration(0))
}

// Guards against callers refused since no probe is answered in time, as on overloaded links.
func TestLateReportsDoNotRefuseCallers(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := r.agentAt(1, desk)
	r.pass(time.Second)
	r.send(syn(9))
	r.pass(placePatience + 20*time.Millisecond)
	is.Equal(len(r.resets), 0)
	is.Equal(r.delivered[0].to, a)
}

// Guards against probes that grow with the number of agents.
func TestProbesGrowWithFlowsOnly(t *testing.T) {
	for _, agents := range []int{10, 200, 2000} {
		r := fleetRig(t, "a", 0, 0)
		for n := range agents {
			r.engine.List(r.now, Listed{Address: fleetAddress(n), Zone: fleetZones[n%len(fleetZones)], Service: route.IDOf(desk)})
		}
		const flows = 1000
		for port := range uint16(flows) {
			r.send(syn(port))
			r.answerProbes()
			r.now += time.Millisecond
		}
		if n := len(r.delivered); n != flows {
			t.Errorf("%d agents: %d of %d flows placed", agents, n, flows)
		}
		if n := r.probes; n > (enough+1)*flows {
			t.Errorf("%d agents: %d probes for %d flows", agents, n, flows)
		}
	}
}

// A route is dropped: new flows to it are refused and its open ones end. Flows
// of other addresses stay.
func TestDroppedRoute(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := r.agentAt(1, desk)
	r.send(syn(9))
	r.table(2)
	r.send(data(9, 50))
	is.Equal(r.resets, []reset{{flowOf(9), 50}})
	is.Equal(r.last().Verdict, ResetRouteGone)
	r.send(syn(10))
	is.Equal(r.last().Verdict, RefusedNoRoute)
	is.Equal(len(r.delivered), 1)
	is.Equal(r.delivered[0].to, a)
}

// A route goes over to another service while a caller's feed is open: the feed
// stays where it is, new flows go to the new service.
func TestOpenFlowStaysWhenItsRouteMoves(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a, b := r.agentAt(1, desk), r.agentAt(2, archive)
	r.send(syn(9))
	r.table(2, archive)
	r.send(data(9, 50))
	r.send(syn(10))
	is.Equal(r.delivered[1].to, a)
	is.Equal(r.delivered[2].to, b)
}

// A late report of an agent's earlier state must not reopen a target that has
// said that it leaves.
func TestLateReportIsIgnored(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := r.agentAt(1, desk)
	x := peer.Report{Process: 1, Service: uint64(route.IDOf(desk)), Zone: zone, Number: 50}
	r.engine.Reported(r.now, a, x) // leaves
	x.Number, x.Open = 49, true
	r.engine.Reported(r.now, a, x)
	r.send(syn(9))
	is.Equal(len(r.delivered), 0)
	is.Equal(len(r.resets), 1)
}

// A burst of flows between two reports spreads over the targets; by the reports
// alone all would go to the one that looked best.
func TestBurstBetweenReportsSpreads(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for n := byte(1); n <= 4; n++ {
		r.agentAt(n, desk)
	}
	for port := range uint16(80) {
		r.send(syn(port))
	}
	count := map[string]int{}
	for _, d := range r.delivered {
		count[d.to.String()]++
	}
	for to, n := range count {
		if n < 14 || n > 26 {
			t.Errorf("%s got %d of 80 flows", to, n)
		}
	}
	is.Equal(len(count), 4)
}

// The packet of an open flow costs the balancer no memory, or it would stop for
// collections just when it carries most.
func TestNoAllocationForAKnownFlow(t *testing.T) {
	r := newRig(t)
	r.agentAt(1, desk)
	r.send(syn(9))
	quiet := New(Config{Zone: zone, Rand: r.engine.cfg.Rand, Out: silent{}})
	*quiet = *r.engine
	quiet.cfg.Out = silent{}
	p, raw := data(9, 5), rawOf(5)
	if n := testing.AllocsPerRun(1000, func() { quiet.FromClient(r.now, p, raw) }); n != 0 {
		t.Errorf("%v allocations a packet", n)
	}
}

// BenchmarkKnownFlow measures the decision for a packet of a flow with a known
// place in a table of 100,000 flows: 136 ns and no allocation on one core of a
// Xeon, most of it two look-ups in the map.
func BenchmarkKnownFlow(b *testing.B) {
	e := benchEngine(b)
	raw := rawOf(5)
	b.ReportAllocs()
	for i := range b.N {
		n := i % benchFlows
		p := data(uint16(n), 5)
		p.Src.IP[3] = byte(n >> 16)
		e.FromClient(time.Hour, p, raw)
	}
}

// BenchmarkUnknownFlow measures a packet of a flow that this balancer has never
// seen, question and answer included, among ten agents: 1,605 ns and 11
// allocations where it was measured.
func BenchmarkUnknownFlow(b *testing.B) {
	e := benchEngine(b)
	raw := rawOf(5)
	at := e.agents.list[3].address
	b.ReportAllocs()
	for i := range b.N {
		p := data(uint16(i), 5)
		p.Src.IP[2], p.Src.IP[3] = 9, byte(i>>16)
		delete(e.flows, p.FromClient())
		e.FromClient(time.Hour, p, raw)
		e.Answered(time.Hour, at, peer.Ruling{Question: peer.Question{Flow: p.FromClient(), Ack: 5}, Verdict: peer.Holds})
	}
}

// benchFlows is several times what a balancer holds at the size to design for.
const benchFlows = 100_000

func benchEngine(b *testing.B) *Engine {
	b.Helper()
	r := newRig(&testing.T{})
	for n := byte(1); n <= 10; n++ {
		r.agentAt(n, desk)
	}
	r.engine.cfg.Out = silent{}
	for i := range benchFlows {
		p := syn(uint16(i))
		p.Src.IP[3] = byte(i >> 16)
		r.engine.flows[p.FromClient()] = holder{agent: uint32(i % 10), seenAt: r.now}
	}
	return r.engine
}

// silent is an Output that keeps nothing.
type silent struct{ Output }

func (silent) Deliver(netip.AddrPort, route.ServiceID, time.Duration, []byte) {}
func (silent) Ask(netip.AddrPort, peer.Question)                              {}
func (silent) Probe(netip.AddrPort)                                           {}
func (silent) Reset(packet.Flow, uint32)                                      {}
func (silent) Note(Decision)                                                  {}

// BenchmarkFlowMemory measures what a remembered flow takes.
func BenchmarkFlowMemory(b *testing.B) {
	for _, n := range []int{10_000, 50_000, 100_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				e := New(Config{Out: silent{}})
				for i := range n {
					p := syn(uint16(i))
					p.Src.IP[3] = byte(i >> 16)
					e.flows[p.FromClient()] = holder{agent: 1, seenAt: time.Hour}
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/flow")
				runtime.KeepAlive(e)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// An outage left a backlog. A caller's first packet waited for a slot as long as
// is good for it, in vain. It is told at once: offered to the next target, it
// would wait there again, for a caller that has given up by then, in the place of
// one that can still be answered.
func TestVainWaitIsNotOfferedElsewhere(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.agentAt(1, desk)
	r.agentAt(2, desk)
	r.send(syn(9))
	r.engine.Refused(r.now, r.delivered[0].to, peer.Head{Reason: peer.Busy, Age: 800}, syn(9), rawOf(0))
	is.Equal(len(r.delivered), 1)
	is.Equal(r.resets, []reset{{flowOf(9), 0}})
	is.Equal(r.last().Verdict, RefusedNoTarget)
}

// A first packet that one target kept for 300 ms goes to another one, and is as
// old there as it is: taken for new, it would go before callers that came later.
func TestMovedFirstPacketKeepsItsAge(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.agentAt(1, desk)
	r.agentAt(2, desk)
	r.send(syn(9))
	r.engine.Refused(r.now, r.delivered[0].to, peer.Head{Reason: peer.Draining, Age: 300}, syn(9), rawOf(0))
	is.Equal(r.last().Verdict, Moved)
	is.Equal(r.delivered[1].age, 300*time.Millisecond)
}

// The caller sent its second copy, 600 ms after the first packet, and the target
// that got it handed it back 0.9 s later. The caller has given up; a target that
// opened the flow now would hold it for nobody.
func TestFirstPacketOfACallerThatGaveUpIsNotOffered(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.agentAt(1, desk)
	r.agentAt(2, desk)
	second := syn(9)
	second.Ack = 2
	r.send(second)
	r.engine.Refused(r.now, r.delivered[0].to, peer.Head{Reason: peer.Silent, Age: 900}, second, rawOf(2))
	is.Equal(len(r.delivered), 1)
	is.Equal(len(r.resets), 1)
}

// loaded has an agent report what its target runs.
func (r *rig) loaded(n byte, service string, running uint32) netip.AddrPort {
	at := r.agentAt(n, service)
	r.report(at, peer.Report{
		Process: uint64(n), Service: uint64(route.IDOf(service)), Zone: zone, Open: true, Slots: 4,
		Running: running, Load: running * 100,
	})
	return at
}

// After an outage all targets of the desk have more to do than slots, while the
// archive, which the route gives a small share, is idle. Callers overflow to it
// instead of waiting: all of them, as long as it has room.
func TestBacklogOverflowsToTheRoutesOtherService(t *testing.T) {
	is := is.New(t)
	r, idle := overflowRig(t, 5)
	for port := range uint16(2) {
		r.send(syn(port))
		is.Equal(r.delivered[port].to, idle)
		is.True(r.last().Overflow)
	}
	// Now that it has been sent two flows it keeps the other half of its slots: at the
	// desk callers wait for less than one round of requests more.
	for port := uint16(2); port < 4; port++ {
		r.send(syn(port))
	}
	is.Equal(r.sentTo(idle), 2)
}

// Guards against callers who queue at one service while another of their route waits less.
func TestLongBacklogIsSharedWithTheRoutesOtherService(t *testing.T) {
	is := is.New(t)
	r, other := overflowRig(t, 20)
	const flows = 40
	for port := range uint16(flows) {
		r.send(syn(port))
	}
	// The desk's two targets run 20 each of four slots. The other takes flows until it
	// lacks one round of requests to the less loaded of them.
	n := r.sentTo(other)
	least := 20 + (flows-n)/2
	is.True(n > least/2)
	is.True(n <= least-3)
}

// overflowRig has two targets of the desk run as many requests as given, with four slots
// each, and one of the archive none.
func overflowRig(t *testing.T, running uint32) (r *rig, archiveAgent netip.AddrPort) {
	r = newRig(t)
	r.weighted(2, route.Backed{Service: desk, Weight: 1_000_000}, route.Backed{Service: archive, Weight: 1})
	r.loaded(1, desk, running)
	r.loaded(2, desk, running)
	return r, r.loaded(3, archive, 0)
}

// sentTo counts the packets sent to an agent.
func (r *rig) sentTo(agent netip.AddrPort) int {
	n := 0
	for _, d := range r.delivered {
		if d.to == agent {
			n++
		}
	}
	return n
}

// One target of the desk has a free slot: the weights hold, however idle the
// archive is.
func TestWeightsHoldWhileThereIsRoom(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.weighted(2, route.Backed{Service: desk, Weight: 1_000_000}, route.Backed{Service: archive, Weight: 1})
	r.loaded(1, desk, 20)
	free := r.loaded(2, desk, 1)
	r.loaded(3, archive, 0)
	r.send(syn(9))
	is.Equal(r.delivered[0].to, free)
	is.True(!r.last().Overflow)
}

// A balancer is cut off from all agents: no probe is answered, and it says so, that
// the fabric may leave it out. Where control tells of no agents, none is missing.
func TestIsolatedBalancer(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	is.True(!r.engine.Isolated(r.now)) // no agent is listed
	r.list(1, desk)
	is.True(r.engine.Isolated(r.now))
	r.pass(watchInterval)
	is.True(len(r.probed) > 0) // without a flow to place
	r.agentAt(1, desk)
	is.True(!r.engine.Isolated(r.now))
	r.pass(isolatedAfter + 10*time.Millisecond)
	is.True(r.engine.Isolated(r.now))
}
