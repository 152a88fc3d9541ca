package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// A caller's feed goes on after its balancer left: the next balancer has never
// seen the flow, holds the packet, and asks the agents. The caller notices
// nothing but one round trip.
func TestUnknownFlowFindsItsHolder(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a, b := r.agentAt(1, desk), r.agentAt(2, desk)
	r.send(data(9, 77))
	is.Equal(len(r.delivered), 0)
	r.answer(a, peer.Lacks)
	r.answer(b, peer.Holds)
	is.Equal(len(r.delivered), 1)
	is.Equal(r.delivered[0].to, b)
	r.send(data(9, 78))
	is.Equal(r.delivered[1].to, b)
	is.Equal(len(r.resets), 0)
}

// A caller's feed must survive a change of its route's services. The holder is
// being searched among the old service's agents when the table changes; the
// holder's service enters the route at that moment. If the second round went by
// the new table, it would leave the holder out, and the caller's open feed would
// be reset.
func TestTableChangesDuringSearch(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a, holder := r.agentAt(1, desk), r.agentAt(2, archive)
	r.send(data(9, 77))
	is.Equal(r.askedOf(holder), 0)
	r.table(2, desk, archive)
	r.answer(a, peer.Lacks)
	is.Equal(r.askedOf(holder), 1)
	is.Equal(len(r.resets), 0)
	r.answer(holder, peer.Holds)
	is.Equal(r.delivered[0].to, holder)
}

// The caller's target has crashed and every agent says that it lacks the flow:
// a reset tells the caller at once, where silence would cost it its deadline.
func TestFlowThatNobodyHoldsIsReset(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a, b := r.agentAt(1, desk), r.agentAt(2, archive)
	r.send(data(9, 77))
	r.answer(a, peer.Lacks)
	r.answer(b, peer.Lacks)
	is.Equal(r.resets, []reset{{flowOf(9), 77}})
	is.Equal(r.last().Verdict, ResetNowhere)
}

// The holder's VM is frozen and answers nothing. The flow may be open there, so
// the caller gets no reset, however the others answer.
func TestSilentAgentKeepsFlowFromBeingReset(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.agentAt(1, desk)
	r.pass(time.Second)
	b := r.agentAt(2, desk)
	r.send(data(9, 77))
	r.answer(b, peer.Lacks)
	r.pass(2 * askPatience)
	is.Equal(len(r.resets), 0)
	is.Equal(r.last().Verdict, DroppedUnfound)
	is.Equal(r.engine.Searches(), 0)
}

// A question is lost on its way. It is asked once more, and the caller's packet,
// which waited meanwhile, reaches its target without being sent again.
func TestLostQuestionIsAskedAgain(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := r.agentAt(1, desk)
	r.send(data(9, 77))
	r.pass(askAgain + 20*time.Millisecond)
	is.Equal(r.askedOf(a), 2)
	r.answer(a, peer.Holds)
	is.Equal(len(r.delivered), 1)
}

// All agents restarted and know no flows. The packet is shown to their targets
// one after the other; the one that doesn't hand it back has the flow.
func TestUnsureAgentsAreTriedInTurn(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a, b := r.agentAt(1, desk), r.agentAt(2, desk)
	r.send(data(9, 77))
	r.answer(a, peer.Unsure)
	r.answer(b, peer.Unsure)
	is.Equal(len(r.delivered), 1) // one target at a time
	is.Equal(r.delivered[0].to, a)
	r.engine.Refused(r.now, a, peer.Head{Reason: peer.NotHeld}, data(9, 77), rawOf(77))
	is.Equal(r.delivered[1].to, b)
	r.pass(probePatience + 20*time.Millisecond)
	is.Equal(r.last().Verdict, Found)
	is.Equal(r.last().Agent, b)
}

// More flows are searched than may wait: the caller's packet is dropped, not
// reset, and its next copy begins a search again.
func TestSearchesAreBounded(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.agentAt(1, desk)
	for i := range maxSearches {
		p := data(uint16(i), 1)
		p.Src.IP[3] = byte(i >> 16)
		r.send(p)
	}
	over := data(9, 1)
	over.Src.IP[0] = 7
	r.send(over)
	is.Equal(r.last().Verdict, DroppedBusy)
	is.Equal(len(r.resets), 0)
	is.Equal(r.engine.Searches(), maxSearches)
}

// All VMs lost power, and every open flow of a large service is asked for at
// once. Asked all together, the questions filled the balancer's link, answers
// came too late, callers sent their packets again, and nobody was served for as
// long as one looked. So some flows at a time are asked for, and the next ones as
// those are settled; every caller is answered in the end.
func TestFlowsAreAskedForSomeAtATime(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := r.agentAt(1, desk)
	const flows = 5 * maxAsking
	for port := range uint16(flows) {
		r.send(data(port, 77))
	}
	is.Equal(r.askedOf(a), maxAsking)
	for len(r.asked) < flows {
		before := len(r.asked)
		r.answer(a, peer.Lacks)
		if len(r.asked) == before {
			t.Fatalf("stuck after %d questions", before)
		}
	}
	r.answer(a, peer.Lacks)
	is.Equal(len(r.resets), flows)
	is.Equal(r.engine.Searches(), 0)
	is.Equal(r.engine.asking, 0)
	is.Equal(r.engine.held, 0)
}

// The agents don't answer, their links are full. The flows that wait for their
// turn get it as the first ones are given up; none is reset.
func TestQueuedFlowsOutlastUnansweredOnes(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := r.agentAt(1, desk)
	for port := range uint16(maxAsking + 1) {
		r.send(data(port, 77))
	}
	r.pass(askPatience + 40*time.Millisecond)
	is.Equal(len(r.resets), 0)
	is.Equal(r.engine.Searches(), 1)
	r.answer(a, peer.Holds)
	is.Equal(len(r.delivered), 1)
	is.Equal(portOf(r.last().Flow), uint16(maxAsking))
}

// An agent's process is restarted as planned beside a target that lives. It says
// that it leaves and answers nothing for half a second. A caller's open flow, asked
// for meanwhile by a balancer that doesn't know it, may be there: it isn't reset.
func TestStoppingAgentMayHoldTheFlow(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a, b := r.agentAt(1, desk), r.agentAt(2, desk)
	r.report(b, peer.Report{Process: 2, Service: uint64(route.IDOf(desk)), Zone: zone, Leaving: true})
	r.send(data(9, 77))
	r.answer(a, peer.Lacks)
	r.pass(2 * askPatience)
	is.Equal(len(r.resets), 0)
	is.Equal(r.last().Verdict, DroppedUnfound)
	r.agentAt(1, desk)
	r.send(syn(10))
	is.Equal(r.delivered[0].to, a) // and gets nothing new

	// One that stops because its target has left holds nothing.
	r.report(b, peer.Report{Process: 2, Service: uint64(route.IDOf(desk)), Zone: zone, Leaving: true, Empty: true})
	r.send(data(11, 77))
	r.answer(a, peer.Lacks)
	is.Equal(r.resets, []reset{{flowOf(11), 77}})
}

// Guards against a reset of an open flow by a balancer that joins: an agent that control
// lists but that hasn't reported yet may hold it.
func TestNothingIsResetWhileAnAgentIsMissing(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.list(3, desk)
	a, b := r.agentAt(1, desk), r.agentAt(2, desk)
	r.send(data(9, 77))
	r.answer(a, peer.Lacks)
	r.answer(b, peer.Lacks)
	is.Equal(len(r.resets), 0)
	r.pass(2 * askPatience)
	is.Equal(len(r.resets), 0)
	is.Equal(r.last().Verdict, DroppedUnfound)
	holder := r.agentAt(3, desk)
	r.asked = nil
	r.send(data(9, 77))
	r.answer(holder, peer.Holds)
	is.Equal(r.delivered[len(r.delivered)-1].to, holder)
	is.Equal(len(r.resets), 0)
}

// Guards against a reset of an open flow whose agent was listed while the others were asked.
func TestNothingIsResetWhileAnAgentJoins(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := r.agentAt(1, desk)
	r.send(data(9, 77))
	r.now += time.Millisecond
	r.list(2, archive)
	r.answer(a, peer.Lacks)
	r.pass(2 * askPatience)
	is.Equal(len(r.resets), 0)
}

// Guards against a reset of an open flow whose agent is cut off from control only.
func TestDelistedAgentMayHoldTheFlow(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.list(2, desk)
	a, b := r.agentAt(1, desk), r.agentAt(2, desk)
	r.pass(agentForgotten)
	r.agentAt(1, desk)
	r.engine.Delist(r.now, b)
	r.send(data(9, 77))
	r.answer(a, peer.Lacks)
	r.pass(2 * askPatience)
	is.Equal(len(r.resets), 0)
	r.pass(agentForgotten)
	r.agentAt(1, desk)
	r.send(data(10, 77))
	r.answer(a, peer.Lacks)
	is.Equal(len(r.resets), 1) // nobody is left that may hold it
}

// All agents that control tells of have answered, and all lack the flow: its
// target is gone, and the caller is told.
func TestFlowThatAllLackIsReset(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a := r.list(1, desk)
	r.send(data(9, 77))
	r.answer(a, peer.Lacks)
	is.Equal(len(r.resets), 1)
}

// Guards against callers who wait for their deadline since an agent that ended with its
// target doesn't answer: no flow can be open there.
func TestRetiredAgentIsNotAsked(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.list(2, desk)
	a, b := r.agentAt(1, desk), r.agentAt(2, desk)
	r.engine.Retire(b)
	r.send(data(9, 77))
	r.answer(a, peer.Lacks)
	is.Equal(r.askedOf(b), 0)
	is.Equal(len(r.resets), 1)
	r.list(2, desk) // another target's agent comes at the address
	r.send(data(10, 77))
	is.Equal(r.askedOf(b), 1)
}
