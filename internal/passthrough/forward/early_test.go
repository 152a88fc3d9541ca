package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// Guards against dropped first packets after a power outage of all VMs, when the fabric
// sends them to a balancer without a table. The packet is held and placed once the table
// and an agent are there; a drop would delay it by the 200 ms of the caller's retransmit.
func TestFirstPacketWaitsForTable(t *testing.T) {
	is := is.New(t)
	r := newStartingTestEngine(t)
	r.send(syn(9))
	r.advance(100 * time.Millisecond)
	is.Equal(len(r.resets), 0)
	r.table(1, caseworkService)
	r.advance(20 * time.Millisecond)
	is.Equal(len(r.delivered), 0) // no agent has reported yet
	a := r.agentAt(1, caseworkService)
	r.advance(20 * time.Millisecond)
	is.Equal(len(r.delivered), 1)
	is.Equal(r.delivered[0].to, a)
}

// Guards against packets of open flows that wait for all agents to report after a
// balancer restarts. A packet that arrived before the table goes to its holder at the
// first answer.
func TestEarlyPacketIsSearchedOnceAnAgentReports(t *testing.T) {
	is := is.New(t)
	r := newStartingTestEngine(t)
	r.send(data(9, 77))
	r.table(1, caseworkService)
	a := r.agentAt(1, caseworkService)
	r.advance(20 * time.Millisecond)
	r.answerAs(a, peer.Holds)
	is.Equal(len(r.delivered), 1)
}

// Guards against the reset of an open flow after a balancer restarts, when the other
// agents lack the flow and its holder's first report is late. The packet is searched once
// more after the start-up time.
func TestNoResetBeforeAllAgentsHadTimeToReport(t *testing.T) {
	is := is.New(t)
	r := newStartingTestEngine(t)
	r.engine.SetListsComplete(true)
	r.table(1, caseworkService)
	a := r.agentAt(1, caseworkService)
	r.send(data(9, 77))
	r.answerAs(a, peer.Lacks)
	is.Equal(len(r.resets), 0)
	late := r.agentAt(2, caseworkService)
	r.advance(DefaultPolicy().Youth + 20*time.Millisecond)
	is.Equal(r.questionsTo(late), 1)
	r.answerAs(late, peer.Holds)
	is.Equal(len(r.resets), 0)
	is.Equal(len(r.delivered), 1)
	is.Equal(r.delivered[0].to, late)
}

// Guards against the reset of an open flow after a balancer restarts, when its holder's
// control VM answers after the start-up time.
func TestNoResetBeforeAllListsCame(t *testing.T) {
	is := is.New(t)
	r := newStartingTestEngine(t)
	r.table(1, caseworkService)
	a := r.agentAt(1, caseworkService)
	r.send(data(9, 77))
	r.answerAs(a, peer.Lacks)
	r.advance(DefaultPolicy().Youth + 50*time.Millisecond)
	is.True(r.engine.StartingUp(r.now))
	is.Equal(r.questionsTo(a), 1)
	late := r.agentAt(2, caseworkService)
	r.engine.SetListsComplete(true)
	is.True(!r.engine.StartingUp(r.now))
	r.advance(20 * time.Millisecond)
	r.answerAs(late, peer.Holds)
	is.Equal(len(r.resets), 0)
	is.Equal(len(r.delivered), 1)
	is.Equal(r.delivered[0].to, late)
}

// Guards against a balancer that serves nothing because a control VM doesn't answer, and
// against resets of flows whose agents it may not know.
func TestIncompleteListsEndTheStartButPreventResets(t *testing.T) {
	is := is.New(t)
	r := newStartingTestEngine(t)
	r.table(1, caseworkService)
	a := r.agentAt(1, caseworkService)
	r.advance(maxStartUp)
	is.True(!r.engine.StartingUp(r.now))
	r.send(data(9, 77))
	r.answerAs(a, peer.Lacks)
	is.Equal(len(r.resets), 0)
	is.Equal(r.lastDecision().Verdict, DroppedNotFound)
	is.True(r.lastDecision().ListsIncomplete)
	r.engine.SetListsComplete(true)
	r.advance(wideBackoffMin)
	r.asked = nil
	r.send(data(9, 77))
	r.answerAs(a, peer.Lacks)
	is.Equal(r.lastDecision().Verdict, ResetNoHolder)
}

// Guards against flows that nobody wants any more: packets held for longer than callers
// wait, because no table came, must not reach a target.
func TestEarlyPacketsExpire(t *testing.T) {
	is := is.New(t)
	r := newStartingTestEngine(t)
	r.send(syn(9))
	r.advance(earlyPacketTTL + 100*time.Millisecond)
	r.table(1, caseworkService)
	r.agentAt(1, caseworkService)
	r.advance(DefaultPolicy().Youth)
	is.Equal(len(r.delivered), 0)
}

// Guards against slots spent on callers that are about to give up. After a power outage
// 40 first packets are held, and the target admits a few in order of arrival, so the
// newest must arrive first.
func TestEarlyPacketsAreReplayedNewestFirst(t *testing.T) {
	is := is.New(t)
	r := newStartingTestEngine(t)
	for port := range uint16(40) {
		r.send(syn(port))
		r.now += time.Millisecond
	}
	second := syn(40) // a second retransmit: its flow is 600 ms older than the packet
	second.Ack = 2
	r.send(second)
	r.table(1, caseworkService)
	r.agentAt(1, caseworkService)
	r.advance(20 * time.Millisecond)
	is.Equal(len(r.delivered), 41)
	for i := 1; i < 40; i++ {
		is.True(r.delivered[i].age > r.delivered[i-1].age)
	}
	is.Equal(r.delivered[40].raw, rawOf(2))
}

// Guards against a free slot that goes to a late caller, or to one that has given up, after
// a start, while others can still be answered in time.
func TestEarlyPacketsGoByGoals(t *testing.T) {
	is := is.New(t)
	r := newStartingTestEngine(t)
	r.engine.cfg.Overload = overload.Settings{CallerGoals: true}
	copyOf := func(port uint16, copies uint32) packet.Packet {
		p := syn(port)
		p.Ack = copies
		return p
	}
	r.send(copyOf(4, 2)) // its caller will have given up
	r.advance(300 * time.Millisecond)
	r.send(copyOf(1, 2)) // its goal has passed
	r.send(copyOf(2, 1)) // its second copy will be overdue
	r.advance(460 * time.Millisecond)
	r.send(syn(3))
	r.agentAt(1, caseworkService)
	r.engine.SetTable(r.now, route.NewTable(&route.Definition{Version: 1, Routes: []route.Route{{
		Name: "r", IP: service.IP, Port: service.Port, TimeoutMS: 1300, GoalMS: 200, Backends: []route.Backend{{Service: caseworkService, Weight: 1}},
	}}}))
	r.advance(20 * time.Millisecond)
	var order []uint16
	for _, d := range r.decisions {
		if d.Verdict == Placed {
			order = append(order, portOf(d.Flow))
		}
	}
	is.Equal(order, []uint16{3, 1, 2})
}
