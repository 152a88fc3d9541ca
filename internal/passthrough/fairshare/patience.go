package fairshare

import "time"

const (
	// patienceShare is the part of its response-time goal, as a divisor, for which a caller may
	// wait for a slot: the handshake and a request that takes longer than the mean have to fit
	// into the rest.
	patienceShare = 4
	// defaultPatience is that of callers without a goal: the platform's clients repeat a first
	// packet after that time.
	defaultPatience = 200 * time.Millisecond
)

// Patience is how long a caller with the given response-time goal can wait for a slot; the
// goal is 0 if it isn't known.
func Patience(goal time.Duration) time.Duration {
	if goal <= 0 {
		return defaultPatience
	}
	return goal / patienceShare
}
