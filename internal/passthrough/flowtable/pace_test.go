package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
)

// play lets some callers open flows and ask, one after the other.
func play(r *rig, handshake, work time.Duration) {
	for port := uint16(500); port < 540; port++ {
		r.syn(port)
		r.fromTarget(port, packet.SYN|packet.ACK, 1000, 11, 0)
		r.pass(handshake)
		r.ask(port, 0)
		r.pass(work)
		r.answered(port, 0)
	}
}

// Callers are far away and requests short: while a new flow's handshake is under way
// two of four slots come free, and would be idle without two more flows admitted.
// With callers nearby that room would only make requests wait in the target's queue.
func TestRoomFollowsHandshakeAndPace(t *testing.T) {
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
			is.Equal(r.engine.room(), 5) // nothing observed yet
			play(r, c.handshake, c.work)
			is.Equal(r.engine.room(), c.room)
		})
	}
}
