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

// fleetAddress is where the nth agent of a fleet takes datagrams.
func fleetAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 7000)
}

// fleetRig returns a balancer of a data centre before n agents of the desk that are
// spread over the data centres.
func fleetRig(t testing.TB, zone string, n int, rate float64) *rig {
	r := &rig{now: time.Hour}
	r.t, _ = t.(*testing.T)
	r.engine = New(Config{Zone: zone, Rand: rand.New(rand.NewPCG(1, 2)), Policy: DefaultPolicy(), QuestionBudget: rate, Out: r})
	r.table(1, desk)
	r.pass(DefaultPolicy().Youth)
	r.fleetReports(n)
	return r
}

func (r *rig) fleetReports(n int) {
	for i := range n {
		r.report(fleetAddress(i), peer.Report{
			Process: 1, Service: uint64(route.IDOf(desk)), Zone: fleetZones[i%len(fleetZones)], Open: true, Slots: 2,
		})
	}
}

// answerProbes has all agents that were probed report that they are idle.
func (r *rig) answerProbes() {
	for len(r.probed) > 0 {
		probed := r.probed
		r.probed = nil
		r.probes += len(probed)
		for _, at := range probed {
			ip := at.Addr().As4()
			z := fleetZones[(int(ip[2])<<8|int(ip[3]))%len(fleetZones)]
			r.report(at, peer.Report{Service: uint64(route.IDOf(desk)), Zone: z, Open: true, Slots: 2})
		}
	}
}

// answerAll has agents answer what they were asked: the holder holds, all others lack.
func (r *rig) answerAll(holder netip.AddrPort) {
	for len(r.asked) > 0 {
		asked := r.asked
		r.asked = nil
		for _, q := range asked {
			v := peer.Lacks
			if q.to == holder {
				v = peer.Holds
			}
			r.engine.Answered(r.now, q.to, peer.Ruling{Question: q.q, Verdict: v})
		}
	}
}

// Guards against searches that ask the whole fleet, from the same data centre or another.
func TestHolderIsFoundWithFewQuestions(t *testing.T) {
	const agents, flows = 400, 200
	for _, c := range []struct {
		zone string
		most int
	}{{"a", firstRound}, {"b", preferred * len(fleetZones)}} {
		placer, finder := fleetRig(t, "a", agents, 0), fleetRig(t, c.zone, agents, 0)
		for port := range uint16(flows) {
			placer.send(syn(port))
			placer.fleetReports(agents)
			finder.send(data(port, 77))
			finder.answerAll(placer.delivered[port].to)
			d := finder.last()
			if d.Verdict != Found || d.Asked > c.most {
				t.Errorf("from %s: flow %d: %v after %d questions", c.zone, port, d.Verdict, d.Asked)
			}
		}
	}
}

// Guards against searches whose questions fill the link.
func TestSearchesKeepToTheirBudget(t *testing.T) {
	is := is.New(t)
	const flows, rate = 100, 45_000
	placer, finder := fleetRig(t, "a", 200, 0), fleetRig(t, "a", 200, rate)
	for port := range uint16(flows) {
		placer.send(syn(port))
		placer.fleetReports(200)
	}
	start, questions := finder.now, 0
	for port := range uint16(flows) {
		finder.send(data(port, 77))
	}
	for finder.engine.Searches() > 0 && finder.now < start+10*time.Second {
		asked := finder.asked
		finder.asked = nil
		questions += len(asked)
		is.True(float64(questions*peer.SharedQuestionCost) <= rate*(burstShare+(finder.now-start).Seconds())+peer.QuestionCost*firstRound)
		for _, q := range asked {
			v := peer.Lacks
			if q.to == placer.delivered[portOf(q.q.Flow)].to {
				v = peer.Holds
			}
			finder.engine.Answered(finder.now, q.to, peer.Ruling{Question: q.q, Verdict: v})
		}
		finder.pass(10 * time.Millisecond)
	}
	is.Equal(finder.engine.Searches(), 0)
	is.True(finder.now-start <= time.Second*flows*firstRound*peer.QuestionCost/rate)
	for port := range uint16(flows) {
		is.Equal(finder.engine.flows[flowOf(port)].agent, finder.engine.agents.number(placer.delivered[port].to))
	}
}

// Guards against a loop in which each copy of a packet is asked of all agents.
func TestCopiesAreNotSearchedAmongAllAgain(t *testing.T) {
	is := is.New(t)
	const agents = 200
	r := fleetRig(t, "a", agents, 0)
	silent := fleetAddress(0)
	search := func() int {
		n := 0
		r.send(data(9, 77))
		for end := r.now + 2*askPatience; r.now < end; r.pass(10 * time.Millisecond) {
			asked := r.asked
			r.asked = nil
			n += len(asked)
			for _, q := range asked {
				if q.to != silent {
					r.engine.Answered(r.now, q.to, peer.Ruling{Question: q.q, Verdict: peer.Lacks})
				}
			}
			r.fleetReports(agents)
		}
		return n
	}
	is.True(search() >= agents)
	is.Equal(r.last().Verdict, DroppedUnfound)
	// Copies in quick succession: the pause between wide searches doubles.
	const copies = 30
	n := 0
	for range copies {
		n += search()
	}
	is.True(n <= copies*(preferred*len(fleetZones)+1)+5*agents)
	is.Equal(len(r.resets), 0)
}

// Guards against agents taken to be silent since all answered at once, more than a thin link queues.
func TestWideRoundsGoStepByStep(t *testing.T) {
	is := is.New(t)
	const agents = 200
	r := fleetRig(t, "a", agents, 0)
	r.send(data(9, 77))
	began, total := r.now, 0
	for len(r.resets) == 0 && r.now < began+time.Second {
		asked := r.asked
		r.asked = nil
		total += len(asked)
		is.True(total <= wideStep*int(1+(r.now-began)/widePause))
		for _, q := range asked {
			r.engine.Answered(r.now, q.to, peer.Ruling{Question: q.q, Verdict: peer.Lacks})
		}
		r.pass(10 * time.Millisecond)
	}
	is.Equal(len(r.resets), 1)
	is.Equal(r.last().Asked, agents)
	is.True(r.now-began < 200*time.Millisecond) // before the caller's next copy
}

// Guards against callers left to their deadline since the first search of their flow came too early.
func TestCopyIsSearchedAmongAllAgainSoon(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a, late := r.agentAt(1, desk), r.agentAt(2, archive)
	r.send(data(9, 77))
	r.answer(a, peer.Lacks)
	r.pass(200 * time.Millisecond)
	is.Equal(len(r.resets), 0)
	is.Equal(r.engine.Searches(), 0)
	r.asked = nil
	r.send(data(9, 77))
	r.answer(a, peer.Lacks)
	r.answer(late, peer.Lacks)
	is.Equal(len(r.resets), 1)
}

// Guards against agents shut out since one whose number has the same remainder refused the packet.
func TestRefusalShutsOutItsAgentOnly(t *testing.T) {
	is := is.New(t)
	r := fleetRig(t, "a", 2, 0)
	for n := 2; n <= 64; n++ {
		r.engine.agents.number(fleetAddress(n + 500)) // known, but not of the service
	}
	last := fleetAddress(900)
	r.report(last, peer.Report{Process: 1, Service: uint64(route.IDOf(desk)), Zone: "a", Open: true, Slots: 2})
	is.Equal(r.engine.agents.number(last)%64, uint32(1))
	f := packet.Flow{Client: client(9), Service: service}
	c := chooser{e: r.engine, now: r.now, flow: f, excluded: []uint32{0, 1}}
	is.Equal(r.engine.agents.list[c.choose().agent].address, last)
}

// Guards against uneven shares of flows among the targets of a data centre.
func TestPreferencesSpreadFlows(t *testing.T) {
	const agents, flows = 50, 4000
	r := fleetRig(t, "a", agents, 0)
	got := map[netip.AddrPort]int{}
	for port := range uint16(flows) {
		r.send(syn(port))
		got[r.delivered[port].to]++
		r.fleetReports(agents)
	}
	even := flows / (agents / len(fleetZones))
	for to, n := range got {
		if n < even*2/3 || n > even*4/3 {
			t.Errorf("%v got %d flows, an even share is %d", to, n, even)
		}
	}
}

// BenchmarkChoose measures the choice for a new flow; the agents are of one service in five data centres.
func BenchmarkChoose(b *testing.B) {
	for _, agents := range []int{10, 200, 12_000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			r := fleetRig(b, "a", agents, 0)
			r.engine.cfg.Out = silent{}
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
