package patience

import (
	"math"
	"time"
)

// Outlook is what an agent knows about how fast its target serves. The zero value stands
// for a target of which nothing was observed: nobody is expected to wait there.
type Outlook struct {
	// Handshake is the mean time from the admission of a first packet to its request,
	// Service that from a request to its answer.
	Handshake, Service time.Duration
	// Capacity is how many admitted flows and requests the target is given at once.
	Capacity int
	// SinceAnswer is the time since the target last answered a request or became busy,
	// whichever was later.
	SinceAnswer time.Duration
}

// stalledAfter is how many times the expected time between two answers may pass before the
// target counts as slower than observed: answers that follow each other at random take
// longer than that once in twenty times.
const stalledAfter = 3

// forever stands for a wait without end.
const forever = time.Duration(math.MaxInt64 / 4)

// Pace is the mean time between two answers while the target is busy: each place is taken
// for a handshake and a request.
func (o *Outlook) Pace() time.Duration {
	if o.Service == 0 {
		return 0
	}
	return max(o.SteadyPace(), o.SinceAnswer/stalledAfter)
}

// SteadyPace is the pace as observed, whatever the time since the last answer.
func (o *Outlook) SteadyPace() time.Duration {
	if o.Service == 0 {
		return 0
	}
	return (o.Handshake + o.Service) / time.Duration(max(1, o.Capacity))
}

// Wait is how long a caller is expected to wait at a busy target. ahead is how many go
// before it, load the part of the target's time that later arrivals take which will go
// before it too.
func (o *Outlook) Wait(ahead int, load float64) time.Duration {
	if load >= 1 {
		return forever
	}
	wait := float64(ahead+1) * float64(o.Pace()) / (1 - max(0, load))
	return time.Duration(min(wait, float64(forever)))
}
