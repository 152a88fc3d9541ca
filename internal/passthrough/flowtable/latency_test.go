package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
)

// runRequests has callers open flows and send a request each, one after the other.
func runRequests(r *rig, handshake, work time.Duration) {
	for port := uint16(500); port < 540; port++ {
		r.syn(port)
		r.fromTarget(port, packet.SYN|packet.ACK, 1000, 11, 0)
		r.advance(handshake)
		r.sendRequest(port, 0)
		r.advance(work)
		r.sendAnswer(port, 0)
	}
}

// With distant callers and short requests two of four slots become free during a
// handshake, and would be idle unless two more flows are admitted. With nearby callers
// such room would only make requests wait in the target's queue.
func TestCapacityFollowsLatencies(t *testing.T) {
	for _, c := range []struct {
		name            string
		handshake, work time.Duration
		room            int
	}{
		{"callers far away", 20 * time.Millisecond, 40 * time.Millisecond, 6},
		{"callers nearby", 10 * time.Millisecond, 100 * time.Millisecond, 5},
		{"handshakes longer than requests", 50 * time.Millisecond, 10 * time.Millisecond, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			is.Equal(r.engine.capacity(), 5) // nothing observed yet
			runRequests(r, c.handshake, c.work)
			is.Equal(r.engine.capacity(), c.room)
		})
	}
}

// Guards against an unknown service time where the target's FIN overtakes the answer before
// it: the agent couldn't tell how long callers wait. A FIN without an answer tells nothing.
func TestClosingBehindTheAnswerCountsAsAnswer(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	request := func(port uint16, finSeq uint32) {
		r.open(port, 1000)
		r.sendRequest(port, 0)
		r.advance(30 * time.Millisecond)
		r.fromTarget(port, packet.FIN|packet.ACK, finSeq, 111, 0)
		r.fromTarget(port, packet.ACK, 1001, 111, 500)
	}
	request(1, 1001)
	is.Equal(r.engine.latencies.service, time.Duration(0))
	request(2, 1501)
	is.Equal(r.engine.latencies.service, 30*time.Millisecond)
	is.Equal(r.engine.load.running, 0)
}

// Guards against a flow whose ports were used before, where a FIN without an answer counts as
// one by what the target sent on the earlier flow.
func TestFlowOpenedAnewHasNoAnswerYet(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for n, seq := range []uint32{1000, 5000} {
		r.open(1, seq)
		r.sendRequest(1, uint32(n))
		r.advance(30 * time.Millisecond)
		if n == 0 {
			r.sendAnswer(1, 0)
		}
	}
	before := r.engine.latencies.service
	r.advance(30 * time.Millisecond)
	r.fromTarget(1, packet.FIN|packet.ACK, 5001, 211, 0)
	is.Equal(r.engine.latencies.service, before)
}
