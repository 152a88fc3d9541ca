package forward

import (
	"net/netip"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// Guards against callers refused because of one target: a first packet is sent to one that
// is draining, then to one that is full, and is accepted by the third.
func TestRefusedFirstPacketTriesNextTarget(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.agentAt(1, caseworkService)
	r.agentAt(2, caseworkService)
	r.agentAt(3, caseworkService)
	r.send(syn(9))
	seen := map[string]bool{}
	for i, why := range []peer.Reason{peer.Draining, peer.Full} {
		to := r.delivered[i].to
		seen[to.String()] = true
		r.engine.HandleRefused(r.now, to, peer.Header{Reason: why}, syn(9), rawOf(0))
		is.Equal(r.lastDecision().Verdict, Moved)
		is.Equal(r.lastDecision().Reason, why)
	}
	seen[r.delivered[2].to.String()] = true
	is.Equal(len(seen), 3) // no target was tried twice
	is.Equal(len(r.resets), 0)
}

// Guards against callers that wait 1.4 s for an answer where no target accepts the flow:
// it is reset at once.
func TestFirstPacketWithoutTargetIsReset(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	r.send(syn(9))
	r.engine.HandleRefused(r.now, a, peer.Header{Reason: peer.TargetSilent}, syn(9), rawOf(0))
	is.Equal(len(r.resets), 1)
	is.Equal(r.lastDecision().Verdict, RefusedNoTarget)
	is.Equal(r.engine.Flows(), 0)
}

// Guards against two targets that each hold state for one caller's flow: a retransmitted
// first packet goes to the same agent while that is responsive.
func TestRetransmitFollowsFirstPacket(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	for n := byte(1); n < 9; n++ {
		r.agentAt(n, caseworkService)
	}
	for range 3 {
		r.send(syn(9))
	}
	is.Equal(r.delivered[1].to, r.delivered[0].to)
	is.Equal(r.delivered[2].to, r.delivered[0].to)
}

// Guards against retransmits that follow the first packet to a dead agent: the agent is
// probed, and the retransmit goes elsewhere well before the next one.
func TestRetransmitAvoidsUnresponsiveAgent(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	r.send(syn(9))
	is.Equal(r.delivered[0].to, a)
	for range 20 { // the agent is alive until shortly before the retransmit
		r.agentAt(1, caseworkService)
		r.advance(10 * time.Millisecond)
	}
	r.now += reportFreshFor
	b := r.agentAt(2, caseworkService)
	r.probed = nil
	r.send(syn(9))
	is.Equal(r.probed, []netip.AddrPort{a})
	for r.delivered[len(r.delivered)-1].to != b && r.now < 2*time.Hour {
		r.agentAt(2, caseworkService)
		r.advance(10 * time.Millisecond)
	}
	is.True(len(r.delivered) == 3)
	is.Equal(r.lastDecision().Reason, peer.TargetSilent)
	is.True(r.lastDecision().Waited <= probeTimeout+10*time.Millisecond)
}

// Guards against flows that wait for a dead agent: of three probes, two answers are
// enough.
func TestFirstPacketDoesNotWaitForDeadAgent(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	for n := byte(1); n <= 4; n++ {
		r.list(n, caseworkService)
	}
	r.send(syn(9))
	is.Equal(len(r.delivered), 0)
	is.Equal(len(r.probed), minKnownCandidates+1)
	for _, at := range r.probed[1:] {
		r.report(at, peer.Report{Process: uint64(at.Addr().As4()[3]), Service: uint64(route.IDOf(caseworkService)), Zone: zone, AcceptsFlows: true, Slots: 4})
	}
	is.Equal(len(r.delivered), 1)
	is.Equal(r.lastDecision().Waited, time.Duration(0))
}

// Guards against callers refused because no probe is answered in time, as on overloaded
// links.
func TestMissingReportsDoNotRefuseFlows(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	r.advance(time.Second)
	r.send(syn(9))
	r.advance(placementTimeout + 20*time.Millisecond)
	is.Equal(len(r.resets), 0)
	is.Equal(r.delivered[0].to, a)
}

// Guards against probes whose number grows with that of agents.
func TestProbeCountIsIndependentOfFleetSize(t *testing.T) {
	for _, agents := range []int{10, 200, 2000} {
		r := newFleetTestEngine(t, "a", 0, 0)
		for n := range agents {
			r.engine.ListAgent(r.now, AgentInfo{Address: fleetAddress(n), Zone: fleetZones[n%len(fleetZones)], Service: route.IDOf(caseworkService)})
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
		if n := r.probes; n > (minKnownCandidates+1)*flows {
			t.Errorf("%d agents: %d probes for %d flows", agents, n, flows)
		}
	}
}

// Guards against flows that hang when their route is removed: open ones are reset, and
// new ones refused.
func TestRemovedRouteResetsFlows(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	r.send(syn(9))
	r.table(2)
	r.send(data(9, 50))
	is.Equal(r.resets, []reset{{flowOf(9), 50}})
	is.Equal(r.lastDecision().Verdict, ResetRouteGone)
	r.send(syn(10))
	is.Equal(r.lastDecision().Verdict, RefusedNoRoute)
	is.Equal(len(r.delivered), 1)
	is.Equal(r.delivered[0].to, a)
}

// Guards against open flows that break when their route moves to another service: they
// stay at their target, and only new flows go to the new service.
func TestOpenFlowStaysWhenRouteChangesService(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a, b := r.agentAt(1, caseworkService), r.agentAt(2, mapdocsService)
	r.send(syn(9))
	r.table(2, mapdocsService)
	r.send(data(9, 50))
	r.send(syn(10))
	is.Equal(r.delivered[1].to, a)
	is.Equal(r.delivered[2].to, b)
}

// Guards against a delayed report that makes a draining target available again.
func TestOutOfOrderReportIsIgnored(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	x := peer.Report{Process: 1, Service: uint64(route.IDOf(caseworkService)), Zone: zone, Sequence: 50}
	r.engine.HandleReport(r.now, a, x) // draining
	x.Sequence, x.AcceptsFlows = 49, true
	r.engine.HandleReport(r.now, a, x)
	r.send(syn(9))
	is.Equal(len(r.delivered), 0)
	is.Equal(len(r.resets), 1)
}

// Guards against a burst of flows between two reports that all goes to the target that
// looked best in the last report.
func TestBurstBetweenReportsIsBalanced(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	for n := byte(1); n <= 4; n++ {
		r.agentAt(n, caseworkService)
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

// Guards against allocations for packets of known flows, which would cause garbage
// collection when the balancer carries most traffic.
func TestKnownFlowDoesNotAllocate(t *testing.T) {
	r := newTestEngine(t)
	r.agentAt(1, caseworkService)
	r.send(syn(9))
	discarding := New(Config{Zone: zone, Rand: r.engine.cfg.Rand, Out: discardEngineOutput{}})
	*discarding = *r.engine
	discarding.cfg.Out = discardEngineOutput{}
	p, raw := data(9, 5), rawOf(5)
	if n := testing.AllocsPerRun(1000, func() { discarding.HandleClientPacket(r.now, p, raw) }); n != 0 {
		t.Errorf("%v allocations a packet", n)
	}
}

// BenchmarkKnownFlow measures the decision for a packet of a known flow in a table of
// 100,000 flows. Most of it are two map look-ups.
func BenchmarkKnownFlow(b *testing.B) {
	e := benchEngine(b)
	raw := rawOf(5)
	b.ReportAllocs()
	for i := range b.N {
		n := i % benchFlows
		p := data(uint16(n), 5)
		p.Src.IP[3] = byte(n >> 16)
		e.HandleClientPacket(time.Hour, p, raw)
	}
}

// BenchmarkUnknownFlow measures a packet of an unknown flow among ten agents, question
// and answer included.
func BenchmarkUnknownFlow(b *testing.B) {
	e := benchEngine(b)
	raw := rawOf(5)
	at := e.agents.list[3].address
	b.ReportAllocs()
	for i := range b.N {
		p := data(uint16(i), 5)
		p.Src.IP[2], p.Src.IP[3] = 9, byte(i>>16)
		delete(e.flows, p.FromClient())
		e.HandleClientPacket(time.Hour, p, raw)
		e.HandleAnswer(time.Hour, at, peer.Answer{Question: peer.Question{Flow: p.FromClient(), Ack: 5}, Status: peer.Holds})
	}
}

// benchFlows is several times what one balancer holds at the design size of the fleet.
const benchFlows = 100_000

func benchEngine(b *testing.B) *Engine {
	b.Helper()
	r := newTestEngine(&testing.T{})
	for n := byte(1); n <= 10; n++ {
		r.agentAt(n, caseworkService)
	}
	r.engine.cfg.Out = discardEngineOutput{}
	for i := range benchFlows {
		p := syn(uint16(i))
		p.Src.IP[3] = byte(i >> 16)
		r.engine.flows[p.FromClient()] = flowEntry{agent: uint32(i % 10), lastPacketAt: r.now}
	}
	return r.engine
}

// discardEngineOutput is an Output of an Engine that discards everything.
type discardEngineOutput struct{ Output }

func (discardEngineOutput) Deliver(netip.AddrPort, route.ServiceID, time.Duration, fairshare.Stamp, []byte) {
}
func (discardEngineOutput) Ask(netip.AddrPort, peer.Question) {}
func (discardEngineOutput) Probe(netip.AddrPort)              {}
func (discardEngineOutput) Reset(packet.Flow, uint32)         {}
func (discardEngineOutput) LogDecision(Decision)              {}

// BenchmarkFlowMemory measures the memory of a flow table entry.
func BenchmarkFlowMemory(b *testing.B) {
	for _, n := range []int{10_000, 50_000, 100_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				e := New(Config{Out: discardEngineOutput{}})
				for i := range n {
					p := syn(uint16(i))
					p.Src.IP[3] = byte(i >> 16)
					e.flows[p.FromClient()] = flowEntry{agent: 1, lastPacketAt: time.Hour}
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

// Guards against retries of a first packet that already waited for a slot as long as is
// useful, as in a backlog after an outage. At the next target it would wait again, in the
// place of a caller that can still be answered.
func TestBusyRefusalIsNotRetried(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.agentAt(1, caseworkService)
	r.agentAt(2, caseworkService)
	r.send(syn(9))
	r.engine.HandleRefused(r.now, r.delivered[0].to, peer.Header{Reason: peer.Busy, Age: 800}, syn(9), rawOf(0))
	is.Equal(len(r.delivered), 1)
	is.Equal(r.resets, []reset{{flowOf(9), 0}})
	is.Equal(r.lastDecision().Verdict, RefusedNoTarget)
}

// Guards against a first packet that counts as new at the next target after 300 ms at
// another one: it would overtake callers that came later.
func TestRetriedFirstPacketKeepsItsAge(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.agentAt(1, caseworkService)
	r.agentAt(2, caseworkService)
	r.send(syn(9))
	r.engine.HandleRefused(r.now, r.delivered[0].to, peer.Header{Reason: peer.Draining, Age: 300}, syn(9), rawOf(0))
	is.Equal(r.lastDecision().Verdict, Moved)
	is.Equal(r.delivered[1].age, 300*time.Millisecond)
}

// Guards against flows opened for callers that have given up: a second retransmit, sent
// 600 ms after the first packet, comes back from a target 0.9 s later.
func TestExpiredFirstPacketIsNotRetried(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.agentAt(1, caseworkService)
	r.agentAt(2, caseworkService)
	second := syn(9)
	second.Ack = 2
	r.send(second)
	r.engine.HandleRefused(r.now, r.delivered[0].to, peer.Header{Reason: peer.TargetSilent, Age: 900}, second, rawOf(2))
	is.Equal(len(r.delivered), 1)
	is.Equal(len(r.resets), 1)
}

// agentWithLoad has an agent report how many requests its target runs.
func (r *testEngine) agentWithLoad(n byte, service string, running uint32) netip.AddrPort {
	at := r.agentAt(n, service)
	r.report(at, peer.Report{
		Process: uint64(n), Service: uint64(route.IDOf(service)), Zone: zone, AcceptsFlows: true, Slots: 4,
		Running: running, Load: running * 100,
	})
	return at
}

// Guards against callers that wait after an outage although another service of their
// route is idle: while all targets of the weighted service have more requests than slots,
// flows overflow to the other one.
func TestBacklogOverflowsToOtherService(t *testing.T) {
	is := is.New(t)
	r, idle := newOverflowTestEngine(t, 5)
	for port := range uint16(2) {
		r.send(syn(port))
		is.Equal(r.delivered[port].to, idle)
		is.True(r.lastDecision().Overflow)
	}
	// Half of the idle target's slots are now taken, and the other half stays free: at the
	// first service callers wait for less than one more round of requests.
	for port := uint16(2); port < 4; port++ {
		r.send(syn(port))
	}
	is.Equal(r.sentTo(idle), 2)
}

// Guards against callers that queue at one service while another one of their route has a
// shorter queue.
func TestLongBacklogIsSharedWithOtherService(t *testing.T) {
	is := is.New(t)
	r, other := newOverflowTestEngine(t, 20)
	const flows = 40
	for port := range uint16(flows) {
		r.send(syn(port))
	}
	// The first service's two targets have 20 requests each for four slots. The other target
	// takes flows until it is one round of requests below the less loaded of them.
	n := r.sentTo(other)
	least := 20 + (flows-n)/2
	is.True(n > least/2)
	is.True(n <= least-3)
}

// newOverflowTestEngine returns an engine with two targets of the first service that run
// the given number of requests with four slots each, and an idle target of the second
// service.
func newOverflowTestEngine(t *testing.T, running uint32) (r *testEngine, idleAgent netip.AddrPort) {
	r = newTestEngine(t)
	r.weightedTable(2, route.Backend{Service: caseworkService, Weight: 1_000_000}, route.Backend{Service: mapdocsService, Weight: 1})
	r.agentWithLoad(1, caseworkService, running)
	r.agentWithLoad(2, caseworkService, running)
	return r, r.agentWithLoad(3, mapdocsService, 0)
}

// sentTo counts the packets delivered to an agent.
func (r *testEngine) sentTo(agent netip.AddrPort) int {
	n := 0
	for _, d := range r.delivered {
		if d.to == agent {
			n++
		}
	}
	return n
}

// Guards against overflow to an idle service while a target of the weighted service has a
// free slot.
func TestWeightsApplyWhileSlotsAreFree(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.weightedTable(2, route.Backend{Service: caseworkService, Weight: 1_000_000}, route.Backend{Service: mapdocsService, Weight: 1})
	r.agentWithLoad(1, caseworkService, 20)
	free := r.agentWithLoad(2, caseworkService, 1)
	r.agentWithLoad(3, mapdocsService, 0)
	r.send(syn(9))
	is.Equal(r.delivered[0].to, free)
	is.True(!r.lastDecision().Overflow)
}

// Guards against a balancer that is cut off from all agents and stays in the fabric.
// Without listed agents it isn't isolated.
func TestIsolatedBalancerIsDetected(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	is.True(!r.engine.Isolated(r.now)) // no agent is listed
	r.list(1, caseworkService)
	is.True(r.engine.Isolated(r.now))
	r.advance(watchProbeInterval)
	is.True(len(r.probed) > 0) // although there is no flow to place
	r.agentAt(1, caseworkService)
	is.True(!r.engine.Isolated(r.now))
	r.advance(isolationTimeout + 10*time.Millisecond)
	is.True(r.engine.Isolated(r.now))
}
