package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// idleFlow opens a flow, has one request answered, and leaves the flow idle.
func idleFlow(r *rig, port uint16) {
	r.open(port, 1000)
	r.sendRequest(port, 0)
	r.sendAnswer(port, 0)
}

// fillTarget gives the target as many requests as it has room for.
func fillTarget(r *rig) {
	for port := uint16(100); r.engine.load.running < r.engine.capacity(); port++ {
		r.open(port, 1000)
		r.sendRequest(port, 0)
	}
	r.toTarget = nil
}

// A caller sends a request over an open flow while the target has no room. It must be
// held at the agent and sent when another request ends: the target's own queue would run
// all requests in order of arrival.
func TestRequestOverAnOpenFlowWaitsForRoom(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fillTarget(r)
	r.sendRequest(9, 1)
	is.Equal(len(r.toTarget), 0)
	is.Equal(r.report().Running, uint32(r.engine.capacity()+1)) // balancers see the held request
	r.sendRequest(9, 1)                                         // retransmission
	r.sendAnswer(100, 0)
	is.Equal(r.toTarget, []uint16{9})
	is.Equal(len(r.refused), 0)
	r.sendAnswer(9, 1)
	is.Equal(r.engine.load.running, r.engine.capacity()-1)
}

// A caller's request takes two packets, and the second overtakes the first. Both must be
// held and sent to the target, but not their retransmissions. If the first were taken for
// a retransmission, the caller would wait until it sends it again.
func TestHeldRequestIsReleasedCompletely(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fillTarget(r)
	const seq = 111
	second := func() { r.fromClient(9, packet.ACK, seq+1200, 1501, 300) }
	first := func() { r.fromClient(9, packet.ACK, seq, 1501, 1200) }
	second()
	first()
	second()
	first()
	r.sendAnswer(100, 0)
	is.Equal(r.toTarget, []uint16{9, 9})
	is.Equal(r.engine.admission.heldRequestPackets, 0)
}

// A caller resets its flow while its request is held: the target must get the reset but
// not the request. A caller that only closes its half must still be served.
func TestCallerClosesWhileItsRequestIsHeld(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 8)
	idleFlow(r, 9)
	fillTarget(r)
	r.sendRequest(8, 1)
	r.sendRequest(9, 1)
	r.fromClient(8, packet.RST|packet.ACK, 211, 1501, 0)
	is.Equal(r.toTarget, []uint16{8}) // only the reset
	r.fromClient(9, packet.FIN|packet.ACK, 211, 1501, 0)
	is.Equal(r.toTarget, []uint16{8, 9, 9}) // the request, then the FIN
	is.Equal(len(r.engine.admission.queue), 0)
}

// A request whose packet also closes the client's half must not be held: the agent
// wouldn't see the flow end and would count it as open for more than a minute. The same
// holds for the rest of a held request.
func TestClosingRequestIsNotHeld(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 8)
	idleFlow(r, 9)
	fillTarget(r)
	open := r.engine.Flows()
	r.fromClient(9, packet.FIN|packet.ACK, 111, 1501, 100)
	is.Equal(r.toTarget, []uint16{9})
	r.fromTarget(9, packet.FIN|packet.ACK, 1501, 211, 500)
	is.Equal(r.engine.Flows(), open-1)
	r.toTarget = nil
	r.engine.admission.expected = append(r.engine.admission.expected, expectedRequest{flowOf(7), r.now}) // no room again
	r.sendRequest(8, 1)
	is.Equal(len(r.toTarget), 0)
	r.fromClient(8, packet.FIN|packet.ACK, 211, 1501, 50)
	is.Equal(r.toTarget, []uint16{8, 8})
	is.Equal(r.engine.queueIndex(flowOf(8)), -1)
}

// A target begins to drain while a request over one of its flows is held. No other target
// can run it, so the target must get it at once; first packets go to other targets.
func TestDrainingTargetGetsHeldRequests(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 8)
	idleFlow(r, 9)
	fillTarget(r)
	r.sendRequest(9, 1)
	r.syn(7)
	r.announceState("i-1", 0, 2, true)
	is.Equal(r.toTarget, []uint16{9})
	r.sendRequest(8, 1) // a later request isn't held either
	is.Equal(r.toTarget, []uint16{9, 8})
	r.advance(20 * time.Millisecond)
	is.Equal(r.refused, []refusal{{7, peer.Draining}})
}

// An agent stops while a request is held: its target is alive and must get it.
func TestStoppingAgentReleasesHeldRequests(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fillTarget(r)
	r.sendRequest(9, 1)
	r.engine.Stop(r.now)
	is.Equal(r.toTarget, []uint16{9})
	is.Equal(len(r.resets), 0)
}

// A target crashes and restarts while a request over one of its flows is held. The flow
// must be reset, and the new incarnation must not get the request.
func TestHeldRequestsOfACrashedTargetAreReset(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fillTarget(r)
	r.sendRequest(9, 1)
	r.engine.Probed(r.now, false)
	is.Equal(len(r.engine.admission.queue), 0)
	is.Equal(r.engine.admission.heldRequestPackets, 0)
	r.announce("i-2", 5000, 1)
	r.advance(20 * time.Millisecond)
	is.Equal(len(r.toTarget), 0)
}

// A request is held until its caller has given up. It must be dropped without a refusal,
// which wouldn't be true, and without an answer, which nobody would receive.
func TestRequestOfACallerThatGaveUpIsDropped(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fillTarget(r)
	r.engine.latencies.service = time.Hour // the target is slow, but requests don't hang
	r.sendRequest(9, 1)
	for number := uint64(2); r.engine.queueIndex(flowOf(9)) >= 0; number++ {
		r.announce("i-1", 0, number)
		r.advance(500 * time.Millisecond)
		is.True(number < 40)
	}
	is.Equal(r.decisions[len(r.decisions)-1].Verdict, RequestDropped)
	is.Equal(len(r.resets), 0)
	is.Equal(len(r.refused), 0)
	r.sendRequest(9, 2) // the flow is still there for the next request
	is.Equal(r.engine.queueIndex(flowOf(9)) >= 0 || len(r.toTarget) > 0, true)
}

// Guards against unbounded memory for long held requests: packets beyond the bounds go on
// to the target or are dropped.
func TestHeldPacketsAreBounded(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fillTarget(r)
	for n := range uint32(3 * maxHeldPacketsPerRequest) {
		r.fromClient(9, packet.ACK, 111+100*n, 1501, 100)
	}
	is.Equal(r.engine.admission.heldRequestPackets, 1+maxHeldPacketsPerRequest)
	r.engine.admission.heldRequestPackets = maxHeldRequestPackets
	busyFlow := uint16(100)
	r.sendAnswer(busyFlow, 0) // releases the request of flow 9
	r.engine.admission.heldRequestPackets = maxHeldRequestPackets
	r.toTarget = nil
	r.sendRequest(busyFlow, 1)
	is.Equal(r.toTarget, []uint16{busyFlow})
}

// Guards against slots given away twice: a request that is as slow as the others isn't
// hung.
func TestSlowRequestsDoNotCountAsHung(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	for n := range uint32(3 * meanWeight) {
		r.sendRequest(9, n)
		r.advance(time.Second)
		r.sendAnswer(9, n)
		r.announce("i-1", 0, uint64(n)+2)
	}
	fillTarget(r)
	r.sendRequest(9, 3*meanWeight)
	r.advance(time.Second)
	is.Equal(len(r.toTarget), 0)
	is.Equal(r.report().Running, uint32(r.engine.capacity()+1))
}

// A target hangs on as many requests as it has room for, but runs others in the slots
// that it has given up. A request over an open flow must not be held until the timeout of
// the hung ones; half a second is more than most callers want to wait.
func TestHungRequestsLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	idleFlow(r, 9)
	fillTarget(r)
	r.sendRequest(9, 1)
	r.announce("i-1", 0, 2)
	r.advance(500 * time.Millisecond)
	is.Equal(r.toTarget, []uint16{9})
}
