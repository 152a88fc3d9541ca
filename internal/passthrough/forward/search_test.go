package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// Guards against open flows that break when their balancer leaves: the next balancer
// doesn't know the flow, holds the packet and asks the agents.
func TestUnknownFlowReachesItsHolder(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a, b := r.agentAt(1, caseworkService), r.agentAt(2, caseworkService)
	r.send(data(9, 77))
	is.Equal(len(r.delivered), 0)
	r.answerAs(a, peer.Lacks)
	r.answerAs(b, peer.Holds)
	is.Equal(len(r.delivered), 1)
	is.Equal(r.delivered[0].to, b)
	r.send(data(9, 78))
	is.Equal(r.delivered[1].to, b)
	is.Equal(len(r.resets), 0)
}

// Guards against the reset of an open flow when the routing table changes during its
// search. The holder's service joins the route between two rounds; a second round that
// relied on the new table would leave the holder out.
func TestTableChangeDuringSearch(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a, holder := r.agentAt(1, caseworkService), r.agentAt(2, mapdocsService)
	r.send(data(9, 77))
	is.Equal(r.questionsTo(holder), 0)
	r.table(2, caseworkService, mapdocsService)
	r.answerAs(a, peer.Lacks)
	is.Equal(r.questionsTo(holder), 1)
	is.Equal(len(r.resets), 0)
	r.answerAs(holder, peer.Holds)
	is.Equal(r.delivered[0].to, holder)
}

// Guards against callers that wait until their deadline after their target crashed: once
// every agent has answered that it lacks the flow, it is reset.
func TestFlowWithoutHolderIsReset(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a, b := r.agentAt(1, caseworkService), r.agentAt(2, mapdocsService)
	r.send(data(9, 77))
	r.answerAs(a, peer.Lacks)
	r.answerAs(b, peer.Lacks)
	is.Equal(r.resets, []reset{{flowOf(9), 77}})
	is.Equal(r.lastDecision().Verdict, ResetNoHolder)
}

// Guards against the reset of a flow that may be open at a frozen VM, whose agent answers
// nothing while the others lack the flow.
func TestUnansweredQuestionPreventsReset(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.agentAt(1, caseworkService)
	r.advance(time.Second)
	b := r.agentAt(2, caseworkService)
	r.send(data(9, 77))
	r.answerAs(b, peer.Lacks)
	r.advance(2 * lastRoundTimeout)
	is.Equal(len(r.resets), 0)
	is.Equal(r.lastDecision().Verdict, DroppedNotFound)
	is.Equal(r.engine.Searches(), 0)
}

// Guards against packets dropped because one question was lost: it is sent again, and the
// held packet reaches its target without a retransmit.
func TestLostQuestionIsRetried(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	r.send(data(9, 77))
	r.advance(questionRetryAfter + 20*time.Millisecond)
	is.Equal(r.questionsTo(a), 2)
	r.answerAs(a, peer.Holds)
	is.Equal(len(r.delivered), 1)
}

// Guards against lost flows after a restart of all agents, none of which knows its flows.
// Each gets the packet once, at the same time; the one whose target doesn't hand it back has
// the flow.
func TestUnsureAgentsAreTriedTogether(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a, b := r.agentAt(1, caseworkService), r.agentAt(2, caseworkService)
	r.send(data(9, 77))
	r.answerAs(a, peer.Unsure)
	r.answerAs(b, peer.Unsure)
	is.Equal(r.sentTo(a), 1)
	is.Equal(r.sentTo(b), 1)
	r.engine.HandleRefused(r.now, a, peer.Header{Reason: peer.NotHeld}, data(9, 77), rawOf(77))
	is.Equal(len(r.delivered), 2)
	r.advance(trialTimeout + 20*time.Millisecond)
	is.Equal(r.lastDecision().Verdict, Found)
	is.Equal(r.lastDecision().Agent, b)
	is.Equal(r.sentTo(a), 1)
}

// Guards against flows that go to a target which lacks them, or that are reset, because
// packets that targets handed back were lost: then nobody knows which target has the flow.
func TestLostTrialsDoNotDecide(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a, b := r.agentAt(1, caseworkService), r.agentAt(2, caseworkService)
	r.send(data(9, 77))
	r.answerAs(a, peer.Unsure)
	r.answerAs(b, peer.Unsure)
	r.advance(2 * queueTimeout)
	is.Equal(r.lastDecision().Verdict, DroppedNotFound)
	is.Equal(r.lastDecision().Silent, 2)
	is.Equal(len(r.resets), 0)
}

// Guards against balancers whose links are filled by trials at unsure agents: questions
// of other searches must still be sent.
func TestTrialsLeaveBudgetForQuestions(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	r.engine.budget = questionBudget{rate: 10_000}
	for port := uint16(1); port <= 60; port++ {
		r.send(data(port, 77))
	}
	asked := r.questionsTo(a)
	is.True(asked >= 30)
	r.answerAs(a, peer.Unsure)
	is.True(r.sentTo(a) < asked)
	r.send(data(99, 77))
	is.Equal(r.questionsTo(a), asked+1)
}

// Guards against searches that keep others from starting while they wait until their
// packet may be tried: without budget for trials a search ends, and nothing is reset.
func TestSearchDoesNotWaitForTrials(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	const rate = 10_000
	r.engine.budget = questionBudget{rate: rate, available: rate * burstSeconds * wideReserveShare, filledAt: r.now}
	r.send(data(9, 77))
	r.answerAs(a, peer.Unsure)
	is.Equal(r.engine.Searches(), 0)
	is.Equal(r.lastDecision().Verdict, DroppedNotFound)
	is.Equal(r.lastDecision().Silent, 1)
	is.Equal(len(r.resets), 0)
}

// Guards against resets of flows that may be open at an agent that answered Unsure, if no
// packet is left to try there: too many packets are held for other searches.
func TestUntriedUnsureAgentPreventsReset(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	r.engine.heldPackets = maxHeldPackets
	r.send(data(9, 77))
	r.answerAs(a, peer.Unsure)
	r.advance(2 * queueTimeout)
	is.Equal(len(r.resets), 0)
	is.Equal(r.lastDecision().Verdict, DroppedNotFound)
}

// Guards against unbounded memory for searches: beyond the limit a packet is dropped, not
// reset, and a retransmit starts a new search.
func TestSearchesAreBounded(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.agentAt(1, caseworkService)
	for i := range maxSearches {
		p := data(uint16(i), 1)
		p.Src.IP[3] = byte(i >> 16)
		r.send(p)
	}
	over := data(9, 1)
	over.Src.IP[0] = 7
	r.send(over)
	is.Equal(r.lastDecision().Verdict, DroppedBusy)
	is.Equal(len(r.resets), 0)
	is.Equal(r.engine.Searches(), maxSearches)
}

// Guards against overload by searches after a power outage, when every open flow of a
// large service is searched. All questions at once fill the balancer's link, answers come
// too late, and callers retransmit, so that no flow is served; a bounded number of
// searches runs at a time.
func TestConcurrentSearchesAreBounded(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	const flows = 5 * maxActiveSearches
	for port := range uint16(flows) {
		r.send(data(port, 77))
	}
	is.Equal(r.questionsTo(a), maxActiveSearches)
	for len(r.asked) < flows {
		before := len(r.asked)
		r.answerAs(a, peer.Lacks)
		if len(r.asked) == before {
			t.Fatalf("stuck after %d questions", before)
		}
	}
	r.answerAs(a, peer.Lacks)
	is.Equal(len(r.resets), flows)
	is.Equal(r.engine.Searches(), 0)
	is.Equal(r.engine.activeSearches, 0)
	is.Equal(r.engine.heldPackets, 0)
}

// Guards against queued searches that never start because the running ones get no answers
// over full links; no flow may be reset.
func TestQueuedSearchesStartAfterTimeouts(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	for port := range uint16(maxActiveSearches + 1) {
		r.send(data(port, 77))
	}
	r.advance(lastRoundTimeout + 40*time.Millisecond)
	is.Equal(len(r.resets), 0)
	is.Equal(r.engine.Searches(), 1)
	r.answerAs(a, peer.Holds)
	is.Equal(len(r.delivered), 1)
	is.Equal(portOf(r.lastDecision().Flow), uint16(maxActiveSearches))
}

// Guards against the reset of an open flow while its agent restarts beside a running
// target: the agent reports that it leaves, and answers nothing for half a second.
func TestStoppingAgentPreventsReset(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a, b := r.agentAt(1, caseworkService), r.agentAt(2, caseworkService)
	r.report(b, peer.Report{Process: 2, Service: uint64(route.IDOf(caseworkService)), Zone: zone, Leaving: true})
	r.send(data(9, 77))
	r.answerAs(a, peer.Lacks)
	r.advance(2 * lastRoundTimeout)
	is.Equal(len(r.resets), 0)
	is.Equal(r.lastDecision().Verdict, DroppedNotFound)
	r.agentAt(1, caseworkService)
	r.send(syn(10))
	is.Equal(r.delivered[0].to, a) // the leaving agent gets no new flows

	// An agent that stops because its target is gone holds no flows.
	r.report(b, peer.Report{Process: 2, Service: uint64(route.IDOf(caseworkService)), Zone: zone, Leaving: true, NoTarget: true})
	r.send(data(11, 77))
	r.answerAs(a, peer.Lacks)
	is.Equal(r.resets, []reset{{flowOf(11), 77}})
}

// Guards against the reset of an open flow by a balancer that joins, while an agent that
// control lists hasn't reported yet.
func TestAgentWithoutReportPreventsReset(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.list(3, caseworkService)
	a, b := r.agentAt(1, caseworkService), r.agentAt(2, caseworkService)
	r.send(data(9, 77))
	r.answerAs(a, peer.Lacks)
	r.answerAs(b, peer.Lacks)
	is.Equal(len(r.resets), 0)
	r.advance(2 * lastRoundTimeout)
	is.Equal(len(r.resets), 0)
	is.Equal(r.lastDecision().Verdict, DroppedNotFound)
	holder := r.agentAt(3, caseworkService)
	r.asked = nil
	r.send(data(9, 77))
	r.answerAs(holder, peer.Holds)
	is.Equal(r.delivered[len(r.delivered)-1].to, holder)
	is.Equal(len(r.resets), 0)
}

// Guards against the reset of an open flow whose agent is listed while the others are
// being asked.
func TestAgentListedDuringSearchPreventsReset(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	r.send(data(9, 77))
	r.now += time.Millisecond
	r.list(2, mapdocsService)
	r.answerAs(a, peer.Lacks)
	r.advance(2 * lastRoundTimeout)
	is.Equal(len(r.resets), 0)
}

// Guards against the reset of an open flow whose agent is only cut off from control.
func TestDelistedAgentPreventsReset(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.list(2, caseworkService)
	a, b := r.agentAt(1, caseworkService), r.agentAt(2, caseworkService)
	r.advance(delistedAgentTTL)
	r.agentAt(1, caseworkService)
	r.engine.DelistAgent(r.now, b)
	r.send(data(9, 77))
	r.answerAs(a, peer.Lacks)
	r.advance(2 * lastRoundTimeout)
	is.Equal(len(r.resets), 0)
	r.advance(delistedAgentTTL)
	r.agentAt(1, caseworkService)
	r.send(data(10, 77))
	r.answerAs(a, peer.Lacks)
	is.Equal(len(r.resets), 1) // no agent is left that may hold it
}

// Guards against callers that wait until their deadline although all listed agents have
// answered that they lack the flow.
func TestFlowLackedByAllListedAgentsIsReset(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	a := r.list(1, caseworkService)
	r.send(data(9, 77))
	r.answerAs(a, peer.Lacks)
	is.Equal(len(r.resets), 1)
}

// Guards against callers that wait until their deadline for the answer of an agent that
// ended together with its target: no flow can be open there.
func TestRetiredAgentIsNotAsked(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.list(2, caseworkService)
	a, b := r.agentAt(1, caseworkService), r.agentAt(2, caseworkService)
	r.engine.RetireAgent(b)
	r.send(data(9, 77))
	r.answerAs(a, peer.Lacks)
	is.Equal(r.questionsTo(b), 0)
	is.Equal(len(r.resets), 1)
	r.list(2, caseworkService) // another target's agent at the same address
	r.send(data(10, 77))
	is.Equal(r.questionsTo(b), 1)
}

// Guards against a balancer that resumes after a pause and resets a flow of an agent that was
// listed meanwhile, before it has read that list.
func TestPausedBalancerDoesNotResetByOldLists(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.table(1, caseworkService)
	at := r.agentAt(1, caseworkService)
	r.advance(time.Second)
	r.now += 3 * time.Second
	r.send(data(7, 500))
	r.answerAs(at, peer.Lacks)
	is.Equal(len(r.resets), 0)
	is.Equal(r.lastDecision().Verdict, DroppedNotFound)
	r.advance(oldPacketsFor)
	r.send(data(7, 500))
	r.answerAs(at, peer.Lacks)
	is.Equal(len(r.resets), 1)
}
