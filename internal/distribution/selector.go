package distribution

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retryBaseDelay bounds the first delay, so that the subscribers of a dead VM spread
	// over a quarter of a second and are back within liveness.Config.Grace.
	retryBaseDelay = 250 * time.Millisecond
	// retryMaxDelay bounds every delay. After an outage of any length, subscribers must be
	// back within the nine seconds that a change may take to be in force.
	retryMaxDelay = 5 * time.Second
	// staleStayTime is the mean time that a subscriber stays with a stale VM after it
	// found every VM stale. Without it, all subscribers of a cluster without a quorum
	// would cycle through the VMs with a handshake every few seconds.
	staleStayTime = 10 * time.Second
)

// controlSelector selects the control VM that a subscriber tries next, and the delay
// before it. It spreads the load when all subscribers of one or all VMs reconnect at the
// same time, and handles a VM that answers but lost its quorum. It reads no clock.
type controlSelector struct {
	candidates []candidate
	nextIndex  int
	random     *rand.Rand
	// attempts counts the attempts since the last call of recordGood.
	attempts int
	// staleCount counts the VMs found stale since the last call of recordGood.
	staleCount int
	stayUntil  time.Time
}

type candidate struct {
	address string
	// notBefore is the earliest next attempt, set when the VM refused a stream.
	notBefore time.Time
}

// newControlSelector orders the VMs by a hash of subscriber name and address. Orders
// differ between subscribers, so the load of a lost VM spreads over all others. A
// subscriber's order is the same after a restart, so it returns to the VM that knows it.
func newControlSelector(controls []string, name string, random *rand.Rand) *controlSelector {
	c := &controlSelector{random: random}
	for _, address := range controls {
		c.candidates = append(c.candidates, candidate{address: address})
	}
	slices.SortFunc(c.candidates, func(a, b candidate) int {
		return cmp.Compare(xxhash.Sum64String(name+"\x00"+a.address), xxhash.Sum64String(name+"\x00"+b.address))
	})
	return c
}

// next returns the VM to try next and the delay before the attempt.
func (c *controlSelector) next(now time.Time) (address string, wait time.Duration) {
	best := c.nextIndex
	for i := range c.candidates {
		k := (c.nextIndex + i) % len(c.candidates)
		if !now.Before(c.candidates[k].notBefore) {
			best = k
			break
		}
		if c.candidates[k].notBefore.Before(c.candidates[best].notBefore) {
			best = k
		}
	}
	c.nextIndex = (best + 1) % len(c.candidates)
	// Full jitter, as growing delays alone would keep the subscribers synchronized.
	bound := min(retryMaxDelay, retryBaseDelay<<min(c.attempts, 10))
	wait = time.Duration(c.random.Float64() * float64(bound))
	c.attempts++
	return c.candidates[best].address, max(wait, c.candidates[best].notBefore.Sub(now))
}

// recordRefusal records that a VM refused a stream and asked for a delay. Up to half the
// delay is added at random, so that subscribers refused together don't return together.
func (c *controlSelector) recordRefusal(address string, after time.Duration, now time.Time) {
	after += time.Duration(c.random.Float64() * 0.5 * float64(after))
	for i := range c.candidates {
		if c.candidates[i].address == address {
			c.candidates[i].notBefore = now.Add(after)
		}
	}
}

// recordGood records contact with a VM that is in contact with a quorum and up to date.
func (c *controlSelector) recordGood() {
	c.attempts = 0
	c.staleCount = 0
	c.stayUntil = time.Time{}
}

// shouldLeave reports whether to leave a stale VM. Once every VM has been found stale, no
// other is better, so the subscriber stays for about staleStayTime.
func (c *controlSelector) shouldLeave(now time.Time) bool {
	if now.Before(c.stayUntil) {
		return false
	}
	c.staleCount++
	if c.staleCount < len(c.candidates) {
		return true
	}
	c.staleCount = 0
	c.stayUntil = now.Add(staleStayTime/2 + time.Duration(c.random.Float64()*float64(staleStayTime)))
	return false
}
