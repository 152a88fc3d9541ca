package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// idleFlow opens a flow, has one request answered, and leaves it idle.
func idleFlow(r *rig, port uint16) {
	r.open(port, 1000)
	r.ask(port, 0)
	r.answered(port, 0)
}

// fill gives the target as many requests as it has room for.
func fill(r *rig) {
	for port := uint16(100); r.engine.load.running < r.engine.room(); port++ {
		r.open(port, 1000)
		r.ask(port, 0)
	}
	r.toTarget = nil
}

// A target has no room, and a caller asks over a flow that it has kept open. The
// request waits beside the target and goes on when another one ends. In the target's
// own queue it would be followed by all later ones in order of arrival.
func TestRequestOverAnOpenFlowWaitsForRoom(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fill(r)
	r.ask(9, 1)
	is.Equal(len(r.toTarget), 0)
	is.Equal(r.report().Running, uint32(r.engine.room()+1)) // balancers see it
	r.ask(9, 1)                                             // its copy
	r.answered(100, 0)
	is.Equal(r.toTarget, []uint16{9})
	is.Equal(len(r.refused), 0)
	r.answered(9, 1)
	is.Equal(r.engine.load.running, r.engine.room()-1)
}

// A caller's request takes two packets, and the second overtakes the first. Both
// wait, whatever their order, and both go to the target; the copies of them that the
// caller sends meanwhile don't. If the first one were taken for a copy, the caller
// would wait until it sends it again.
func TestHeldRequestIsWhole(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fill(r)
	const seq = 111
	second := func() { r.fromClient(9, packet.ACK, seq+1200, 1501, 300) }
	first := func() { r.fromClient(9, packet.ACK, seq, 1501, 1200) }
	second()
	first()
	second()
	first()
	r.answered(100, 0)
	is.Equal(r.toTarget, []uint16{9, 9})
	is.Equal(r.engine.admission.held, 0)
}

// A caller resets its flow while its request waits: the target is told, and runs
// nothing for a caller that has gone. One that only closes its half is still served.
func TestCallerLeavesWhileItsRequestWaits(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 8)
	idleFlow(r, 9)
	fill(r)
	r.ask(8, 1)
	r.ask(9, 1)
	r.fromClient(8, packet.RST|packet.ACK, 211, 1501, 0)
	is.Equal(r.toTarget, []uint16{8}) // the reset alone
	r.fromClient(9, packet.FIN|packet.ACK, 211, 1501, 0)
	is.Equal(r.toTarget, []uint16{8, 9, 9}) // the request, then the end
	is.Equal(len(r.engine.admission.queue), 0)
}

// A caller sends a request and closes its half with the same packet. It goes on at
// once: held back, the agent wouldn't see the flow end, and would count it as open for
// more than a minute. So does the rest of a request that waits, if it comes so.
func TestClosingRequestIsNotHeld(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 8)
	idleFlow(r, 9)
	fill(r)
	open := r.engine.Flows()
	r.fromClient(9, packet.FIN|packet.ACK, 111, 1501, 100)
	is.Equal(r.toTarget, []uint16{9})
	r.fromTarget(9, packet.FIN|packet.ACK, 1501, 211, 500)
	is.Equal(r.engine.Flows(), open-1)
	r.toTarget = nil
	r.engine.admission.expected = append(r.engine.admission.expected, expected{flowOf(7), r.now}) // full again
	r.ask(8, 1)
	is.Equal(len(r.toTarget), 0)
	r.fromClient(8, packet.FIN|packet.ACK, 211, 1501, 50)
	is.Equal(r.toTarget, []uint16{8, 8})
	is.Equal(r.engine.queuedAt(flowOf(8)), -1)
}

// A target begins to drain while a request over one of its flows waits. Nobody else
// can run it, so the target gets it at once; first packets go to other targets.
func TestDrainingTargetGetsTheRequestsThatWait(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 8)
	idleFlow(r, 9)
	fill(r)
	r.ask(9, 1)
	r.syn(7)
	r.say("i-1", 0, 2, true)
	is.Equal(r.toTarget, []uint16{9})
	r.ask(8, 1) // nor does a later one wait
	is.Equal(r.toTarget, []uint16{9, 8})
	r.pass(20 * time.Millisecond)
	is.Equal(r.refused, []refusal{{7, peer.Draining}})
}

// An agent stops with a request waiting: its target lives on, and gets it.
func TestStoppingAgentHandsOnTheRequestsThatWait(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fill(r)
	r.ask(9, 1)
	r.engine.Stop(r.now)
	is.Equal(r.toTarget, []uint16{9})
	is.Equal(len(r.resets), 0)
}

// A target crashes and starts again while a request over one of its flows waits. The
// flow is reset with the others, and the new incarnation gets nothing of it.
func TestHeldRequestsOfACrashedTargetAreReset(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fill(r)
	r.ask(9, 1)
	r.engine.Probed(r.now, false)
	is.Equal(len(r.engine.admission.queue), 0)
	is.Equal(r.engine.admission.held, 0)
	r.announce("i-2", 5000, 1)
	r.pass(20 * time.Millisecond)
	is.Equal(len(r.toTarget), 0)
}

// A request waits until its caller has given up. It is dropped without a word: no
// refusal would be true, and an answer would reach nobody.
func TestRequestOfACallerThatGaveUpIsDropped(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fill(r)
	r.engine.pace.service = time.Hour // the target is slow, and doesn't hang
	r.ask(9, 1)
	for number := uint64(2); r.engine.queuedAt(flowOf(9)) >= 0; number++ {
		r.announce("i-1", 0, number)
		r.pass(500 * time.Millisecond)
		is.True(number < 40)
	}
	is.Equal(r.notes[len(r.notes)-1].Verdict, RequestDropped)
	is.Equal(len(r.resets), 0)
	is.Equal(len(r.refused), 0)
	r.ask(9, 2) // the flow is still there for the next one
	is.Equal(r.engine.queuedAt(flowOf(9)) >= 0 || len(r.toTarget) > 0, true)
}

// Many long requests wait; what they hold is bounded, and what comes beyond goes on
// to the target.
func TestHeldPacketsAreBounded(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fill(r)
	for n := range uint32(3 * maxHeldEach) {
		r.fromClient(9, packet.ACK, 111+100*n, 1501, 100)
	}
	is.Equal(r.engine.admission.held, 1+maxHeldEach)
	r.engine.admission.held = maxHeld
	idleFlowFull := uint16(100)
	r.answered(idleFlowFull, 0) // lets flow 9 in
	r.engine.admission.held = maxHeld
	r.toTarget = nil
	r.ask(idleFlowFull, 1)
	is.Equal(r.toTarget, []uint16{idleFlowFull})
}

// Guards against slots given away twice: a request as slow as the others keeps its room.
func TestSlowRequestsKeepTheirRoom(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	for n := range uint32(3 * paceMemory) {
		r.ask(9, n)
		r.pass(time.Second)
		r.answered(9, n)
		r.announce("i-1", 0, uint64(n)+2)
	}
	fill(r)
	r.ask(9, 3*paceMemory)
	r.pass(time.Second)
	is.Equal(len(r.toTarget), 0)
	is.Equal(r.report().Running, uint32(r.engine.room()+1))
}

// A target hangs on as many requests as it has room for, and runs others well: its
// slots are free again, but the agent counts the ones that hang as running. A caller
// asks over an open flow, and its request must not wait for them until their route's
// timeout; half a second is more than most callers want to wait.
func TestHungRequestsLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fill(r)
	r.ask(9, 1)
	r.announce("i-1", 0, 2)
	r.pass(500 * time.Millisecond)
	is.Equal(r.toTarget, []uint16{9})
}
