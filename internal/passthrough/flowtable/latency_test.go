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
