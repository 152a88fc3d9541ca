package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
)

// brokenOff has callers open flows and ask, and the target reset each of them
// instead of an answer.
func brokenOff(r *rig, ports ...uint16) {
	for _, port := range ports {
		r.open(port, 1000)
		r.ask(port, 0)
		r.fromTarget(port, packet.RST, 1001, 111, 0)
	}
}

// A target takes flows and resets them as soon as they ask, and then takes them
// again, by turns of a second. It announces itself all the while, and is never busy.
// After three broken requests balancers are told to leave it to the overflow; three
// seconds after the last one it gets its place back.
func TestTargetThatBreaksRequestsOffIsUnsteady(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	brokenOff(r, 1, 2)
	is.True(!r.report().Unsteady)
	brokenOff(r, 3)
	is.True(r.report().Unsteady)
	is.Equal(r.notes[len(r.notes)-1].Verdict, TargetUnsteady)
	is.Equal(r.notes[len(r.notes)-1].Broken, 3)
	r.pass(unsteadyFor - 100*time.Millisecond)
	is.True(r.report().Unsteady)
	r.pass(200 * time.Millisecond)
	is.True(!r.report().Unsteady)
}

// A busy target answers a hundred requests and breaks three off, which is no reason
// to do without it.
func TestFewBrokenRequestsAmongMany(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for n := range uint32(100) {
		if n == 0 {
			r.open(50, 1000)
		}
		r.ask(50, n)
		r.answered(50, n)
	}
	brokenOff(r, 1, 2, 3)
	is.True(!r.report().Unsteady)
}

// A target crashes with four requests in progress, and comes back: they count as
// broken off. One that said that it leaves takes what it still has with it, and
// nobody is warned of its successor.
func TestCrashBreaksRequestsOff(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		is := is.New(t)
		r := newRig(t)
		for port := uint16(1); port <= 4; port++ {
			r.open(port, 1000)
			r.ask(port, 0)
		}
		r.say("i-1", 0, 2, leaves)
		r.announce("i-2", 5000, 1)
		is.Equal(r.report().Unsteady, !leaves)
	}
}

// A caller asks over a flow that the target has closed already: the reset is the
// answer to a late packet, and no request was broken off.
func TestResetOfAClosedFlowIsNoFailure(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for port := uint16(1); port <= 4; port++ {
		r.open(port, 1000)
		r.fromTarget(port, packet.FIN|packet.ACK, 1001, 11, 0)
		r.ask(port, 0)
		r.fromTarget(port, packet.RST, 1002, 111, 0)
	}
	is.True(!r.report().Unsteady)
}
