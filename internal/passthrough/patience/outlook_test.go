package patience

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// Guards against a wait that ignores how much is ahead, what overtakes, or a target that
// has stopped to answer.
func TestExpectedWait(t *testing.T) {
	is := is.New(t)
	o := Outlook{Handshake: 6 * ms, Service: 24 * ms, Capacity: 3}
	is.Equal(o.Wait(0, 0), 10*ms)
	is.Equal(o.Wait(4, 0), 50*ms)
	is.Equal(o.Wait(4, 0.5), 100*ms)
	is.Equal(o.Wait(0, 1), forever)
	o.SinceAnswer = 300 * ms
	is.Equal(o.Wait(0, 0), 100*ms)
	is.Equal((&Outlook{}).Wait(9, 0.5), time.Duration(0)) // nothing was observed
}
