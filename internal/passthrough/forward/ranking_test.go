package forward

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// fleetZones are the data centres of a large fleet.
var fleetZones = []string{"a", "b", "c", "d", "e"}

// fleetAddress is the address of the nth agent of a fleet.
func fleetAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 7000)
}

// newFleetTestEngine returns a balancer of one data centre and a number of agents that are
// spread over all data centres.
func newFleetTestEngine(t testing.TB, balancerZone string, agentCount int, questionBudget float64) *testEngine {
	r := &testEngine{now: time.Hour}
	r.t, _ = t.(*testing.T)
	r.engine = New(Config{Zone: balancerZone, Rand: rand.New(rand.NewPCG(1, 2)), Policy: DefaultPolicy(), QuestionBudget: questionBudget, Out: r})
	r.engine.SetListsComplete(true)
	r.table(1, caseworkService)
	r.advance(DefaultPolicy().Youth)
	r.reportFleet(agentCount)
	return r
}

func (r *testEngine) reportFleet(n int) {
	for i := range n {
		r.report(fleetAddress(i), peer.Report{
			Process: 1, Service: uint64(route.IDOf(caseworkService)), Zone: fleetZones[i%len(fleetZones)], AcceptsFlows: true, Slots: 2,
		})
	}
}

// answerProbes has all probed agents report that they are idle.
func (r *testEngine) answerProbes() {
	for len(r.probed) > 0 {
		probed := r.probed
		r.probed = nil
		r.probes += len(probed)
		for _, at := range probed {
			ip := at.Addr().As4()
			z := fleetZones[(int(ip[2])<<8|int(ip[3]))%len(fleetZones)]
			r.report(at, peer.Report{Service: uint64(route.IDOf(caseworkService)), Zone: z, AcceptsFlows: true, Slots: 2})
		}
	}
}

// answerAll has all agents answer their questions: the holder holds the flow, the others
// lack it.
func (r *testEngine) answerAll(holder netip.AddrPort) {
	for len(r.asked) > 0 {
		asked := r.asked
		r.asked = nil
		for _, q := range asked {
			v := peer.Lacks
			if q.to == holder {
				v = peer.Holds
			}
			r.engine.HandleAnswer(r.now, q.to, peer.Answer{Question: q.q, Status: v})
		}
	}
}

// Guards against searches that ask the whole fleet, from the holder's data centre or
// another.
func TestHolderIsFoundWithFewQuestions(t *testing.T) {
	const agents, flows = 400, 200
	for _, c := range []struct {
		zone string
		most int
	}{{"a", firstRoundSize}, {"b", preferredAgents * len(fleetZones)}} {
		placer, finder := newFleetTestEngine(t, "a", agents, 0), newFleetTestEngine(t, c.zone, agents, 0)
		for port := range uint16(flows) {
			placer.send(syn(port))
			placer.reportFleet(agents)
			finder.send(data(port, 77))
			finder.answerAll(placer.delivered[port].to)
			d := finder.lastDecision()
			if d.Verdict != Found || d.Asked > c.most {
				t.Errorf("from %s: flow %d: %v after %d questions", c.zone, port, d.Verdict, d.Asked)
			}
		}
	}
}

// Guards against searches whose questions fill the link.
func TestSearchesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	const flows, rate = 100, 45_000
	placer, finder := newFleetTestEngine(t, "a", 200, 0), newFleetTestEngine(t, "a", 200, rate)
	for port := range uint16(flows) {
		placer.send(syn(port))
		placer.reportFleet(200)
	}
	start, questions := finder.now, 0
	for port := range uint16(flows) {
		finder.send(data(port, 77))
	}
	for finder.engine.Searches() > 0 && finder.now < start+10*time.Second {
		asked := finder.asked
		finder.asked = nil
		questions += len(asked)
		is.True(float64(questions*peer.SharedQuestionCost) <= rate*(burstSeconds+(finder.now-start).Seconds())+peer.QuestionCost*firstRoundSize)
		for _, q := range asked {
			v := peer.Lacks
			if q.to == placer.delivered[portOf(q.q.Flow)].to {
				v = peer.Holds
			}
			finder.engine.HandleAnswer(finder.now, q.to, peer.Answer{Question: q.q, Status: v})
		}
		finder.advance(10 * time.Millisecond)
	}
	is.Equal(finder.engine.Searches(), 0)
	is.True(finder.now-start <= time.Second*flows*firstRoundSize*peer.QuestionCost/rate)
	for port := range uint16(flows) {
		is.Equal(finder.engine.flows[flowOf(port)].agent, finder.engine.agents.number(placer.delivered[port].to))
	}
}

// Guards against overload by wide searches: each retransmit of a packet must not ask all
// agents again.
func TestRetransmitsDoNotRepeatWideSearch(t *testing.T) {
	is := is.New(t)
	const agents = 200
	r := newFleetTestEngine(t, "a", agents, 0)
	unresponsive := fleetAddress(0)
	search := func() int {
		n := 0
		r.send(data(9, 77))
		for end := r.now + 2*lastRoundTimeout; r.now < end; r.advance(10 * time.Millisecond) {
			asked := r.asked
			r.asked = nil
			n += len(asked)
			for _, q := range asked {
				if q.to != unresponsive {
					r.engine.HandleAnswer(r.now, q.to, peer.Answer{Question: q.q, Status: peer.Lacks})
				}
			}
			r.reportFleet(agents)
		}
		return n
	}
	is.True(search() >= agents)
	is.Equal(r.lastDecision().Verdict, DroppedNotFound)
	// Retransmits in quick succession: the backoff between wide searches doubles.
	const retransmits = 30
	n := 0
	for range retransmits {
		n += search()
	}
	is.True(n <= retransmits*(preferredAgents*len(fleetZones)+1)+5*agents)
	is.Equal(len(r.resets), 0)
}

// Guards against agents that look unresponsive because the answers of all at once
// overflow the queue of a thin link.
func TestWideSearchAsksInBatches(t *testing.T) {
	is := is.New(t)
	const agents = 200
	r := newFleetTestEngine(t, "a", agents, 0)
	r.send(data(9, 77))
	began, total := r.now, 0
	for len(r.resets) == 0 && r.now < began+time.Second {
		asked := r.asked
		r.asked = nil
		total += len(asked)
		is.True(total <= wideBatchSize*int(1+(r.now-began)/wideBatchInterval))
		for _, q := range asked {
			r.engine.HandleAnswer(r.now, q.to, peer.Answer{Question: q.q, Status: peer.Lacks})
		}
		r.advance(10 * time.Millisecond)
	}
	is.Equal(len(r.resets), 1)
	is.Equal(r.lastDecision().Asked, agents)
	is.True(r.now-began < 200*time.Millisecond) // before the caller's next retransmit
}

// Guards against callers that wait until their deadline because the first search for
// their flow came too early.
func TestRetransmitRepeatsWideSearchAfterBackoff(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a, late := r.agentAt(1, caseworkService), r.agentAt(2, mapdocsService)
	r.send(data(9, 77))
	r.answerAs(a, peer.Lacks)
	r.advance(200 * time.Millisecond)
	is.Equal(len(r.resets), 0)
	is.Equal(r.engine.Searches(), 0)
	r.asked = nil
	r.send(data(9, 77))
	r.answerAs(a, peer.Lacks)
	r.answerAs(late, peer.Lacks)
	is.Equal(len(r.resets), 1)
}

// Guards against a refusal that also excludes agents whose number has the same remainder
// modulo 64.
func TestRefusalExcludesOnlyItsAgent(t *testing.T) {
	is := is.New(t)
	r := newFleetTestEngine(t, "a", 2, 0)
	for n := 2; n <= 64; n++ {
		r.engine.agents.number(fleetAddress(n + 500)) // known, but not of the service
	}
	last := fleetAddress(900)
	r.report(last, peer.Report{Process: 1, Service: uint64(route.IDOf(caseworkService)), Zone: "a", AcceptsFlows: true, Slots: 2})
	is.Equal(r.engine.agents.number(last)%64, uint32(1))
	f := packet.Flow{Client: client(9), Service: service}
	c := chooser{e: r.engine, now: r.now, flow: f, excluded: []uint32{0, 1}}
	is.Equal(r.engine.agents.list[c.choose().agent].address, last)
}

// Guards against uneven shares of flows among the targets of a data centre.
func TestPreferencesBalanceFlows(t *testing.T) {
	const agents, flows = 50, 4000
	r := newFleetTestEngine(t, "a", agents, 0)
	got := map[netip.AddrPort]int{}
	for port := range uint16(flows) {
		r.send(syn(port))
		got[r.delivered[port].to]++
		r.reportFleet(agents)
	}
	even := flows / (agents / len(fleetZones))
	for to, n := range got {
		if n < even*2/3 || n > even*4/3 {
			t.Errorf("%v got %d flows, an even share is %d", to, n, even)
		}
	}
}

// BenchmarkChoose measures the choice for a new flow among agents of one service in five
// data centres.
func BenchmarkChoose(b *testing.B) {
	for _, agents := range []int{10, 200, 12_000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			r := newFleetTestEngine(b, "a", agents, 0)
			r.engine.cfg.Out = discardEngineOutput{}
			b.ReportAllocs()
			for i := range b.N {
				f := flowOf(uint16(i))
				c := chooser{e: r.engine, now: r.now, flow: f}
				if c.choose().agent == noAgent {
					b.Fatal("no agent")
				}
			}
		})
	}
}
