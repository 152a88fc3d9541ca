package distribution

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retryBase bounds the first wait, so that the subscribers of a dead VM spread
	// over a quarter of a second and are back within liveness.Config.Grace.
	retryBase = 250 * time.Millisecond
	// retryCap bounds every wait: control that comes back after an hour must have
	// its subscribers back within the nine seconds a change may take.
	retryCap = 5 * time.Second
	// settleTime is how long a subscriber stays with a stale VM once it has found
	// every VM stale. Without it all subscribers of a cluster that lost its quorum
	// would go round the VMs with a handshake every few seconds.
	settleTime = 10 * time.Second
)

// chooser decides which control VM a subscriber tries next and how long it waits
// first. It answers two patterns: every subscriber of a VM, or of all VMs,
// reconnecting at the same moment, and a VM that answers but has lost its
// quorum. It has no clock of its own.
type chooser struct {
	vms    []candidate
	index  int
	random *rand.Rand
	// attempts counts tries since a stream was last good.
	attempts int
	// stale counts the VMs left as stale since control's word was last fresh.
	stale        int
	settledUntil time.Time
}

type candidate struct {
	address string
	// notBefore is what the VM asked for when it refused a stream.
	notBefore time.Time
}

// newChooser orders the VMs by a hash of subscriber and address. Each subscriber
// has its own order, so the load of a lost VM spreads over all others, and keeps
// it across restarts, so that it finds the VM that still remembers it.
func newChooser(controls []string, name string, random *rand.Rand) *chooser {
	c := &chooser{random: random}
	for _, address := range controls {
		c.vms = append(c.vms, candidate{address: address})
	}
	slices.SortFunc(c.vms, func(a, b candidate) int {
		return cmp.Compare(xxhash.Sum64String(name+"\x00"+a.address), xxhash.Sum64String(name+"\x00"+b.address))
	})
	return c
}

// next returns the VM to try and the wait before it.
func (c *chooser) next(now time.Time) (address string, wait time.Duration) {
	best := c.index
	for i := range c.vms {
		k := (c.index + i) % len(c.vms)
		if !now.Before(c.vms[k].notBefore) {
			best = k
			break
		}
		if c.vms[k].notBefore.Before(c.vms[best].notBefore) {
			best = k
		}
	}
	c.index = (best + 1) % len(c.vms)
	// Full jitter: waits that only grow would keep the subscribers in step.
	bound := min(retryCap, retryBase<<min(c.attempts, 10))
	wait = time.Duration(c.random.Float64() * float64(bound))
	c.attempts++
	return c.vms[best].address, max(wait, c.vms[best].notBefore.Sub(now))
}

// refused notes a VM's wish to be left alone. Half as much again is added at
// random, or all that were refused together would be back together.
func (c *chooser) refused(address string, after time.Duration, now time.Time) {
	after += time.Duration(c.random.Float64() * 0.5 * float64(after))
	for i := range c.vms {
		if c.vms[i].address == address {
			c.vms[i].notBefore = now.Add(after)
		}
	}
}

// good notes that control's word is fresh.
func (c *chooser) good() {
	c.attempts = 0
	c.stale = 0
	c.settledUntil = time.Time{}
}

// leave decides whether to leave a VM that is stale. After every VM has been
// found stale there is nothing better to go to, so the subscriber stays a while.
func (c *chooser) leave(now time.Time) bool {
	if now.Before(c.settledUntil) {
		return false
	}
	c.stale++
	if c.stale < len(c.vms) {
		return true
	}
	c.stale = 0
	c.settledUntil = now.Add(settleTime/2 + time.Duration(c.random.Float64()*float64(settleTime)))
	return false
}
