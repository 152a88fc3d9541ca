package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
)

// breakRequests has callers open flows and send requests, each of which the target
// answers by a reset.
func breakRequests(r *rig, ports ...uint16) {
	for _, port := range ports {
		r.open(port, 1000)
		r.sendRequest(port, 0)
		r.fromTarget(port, packet.RST, 1001, 111, 0)
	}
}

// A target resets flows as soon as they send a request, every other second, while it
// announces itself and is never busy. After three broken requests balancers must be told
// that it is unsteady, until three seconds after the last one.
func TestTargetThatBreaksRequestsOffIsUnsteady(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	breakRequests(r, 1, 2)
	is.True(!r.report().Unsteady)
	breakRequests(r, 3)
	is.True(r.report().Unsteady)
	is.Equal(r.decisions[len(r.decisions)-1].Verdict, TargetUnsteady)
	is.Equal(r.decisions[len(r.decisions)-1].BrokenRequests, 3)
	r.advance(unsteadyPeriod - 100*time.Millisecond)
	is.True(r.report().Unsteady)
	r.advance(200 * time.Millisecond)
	is.True(!r.report().Unsteady)
}

// A busy target that answers a hundred requests and breaks off three must not count as
// unsteady.
func TestFewBrokenRequestsAmongMany(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for n := range uint32(100) {
		if n == 0 {
			r.open(50, 1000)
		}
		r.sendRequest(50, n)
		r.sendAnswer(50, n)
	}
	breakRequests(r, 1, 2, 3)
	is.True(!r.report().Unsteady)
}

// A target crashes with four requests in progress and comes back: they must count as
// broken off. If it had announced its end, they must not, and its successor is not
// unsteady.
func TestCrashCountsRequestsAsBroken(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		is := is.New(t)
		r := newRig(t)
		for port := uint16(1); port <= 4; port++ {
			r.open(port, 1000)
			r.sendRequest(port, 0)
		}
		r.announceState("i-1", 0, 2, leaves)
		r.announce("i-2", 5000, 1)
		is.Equal(r.report().Unsteady, !leaves)
	}
}

// A caller sends a request over a flow that the target has closed: the reset answers a
// late packet, and must not count as a broken request.
func TestResetOfAClosedFlowIsNoFailure(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for port := uint16(1); port <= 4; port++ {
		r.open(port, 1000)
		r.fromTarget(port, packet.FIN|packet.ACK, 1001, 11, 0)
		r.sendRequest(port, 0)
		r.fromTarget(port, packet.RST, 1002, 111, 0)
	}
	is.True(!r.report().Unsteady)
}
