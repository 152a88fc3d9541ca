package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestChooser(name string, vms int) *controlSelector {
	var controls []string
	for i := range vms {
		controls = append(controls, fmt.Sprintf("127.0.0.%d:7500", i+1))
	}
	return newControlSelector(controls, name, rand.New(rand.NewPCG(1, uint64(len(name)))))
}

// When a control VM with a third of the subscribers dies, they must spread over both other
// VMs instead of one, and over a quarter of a second instead of reconnecting at once.
func TestSubscribersOfADeadVMSpreadOut(t *testing.T) {
	is := is.New(t)
	first, second := map[string]int{}, map[string]int{}
	var early int
	for i := range 3000 {
		c := newTestChooser(fmt.Sprintf("agent-%d", i), 3)
		c.random = rand.New(rand.NewPCG(7, uint64(i)))
		a, wait := c.next(epoch)
		is.True(wait <= retryBaseDelay)
		if wait < retryBaseDelay/2 {
			early++
		}
		first[a]++
		c.recordGood()
		b, _ := c.next(epoch)
		is.True(a != b)
		if a == "127.0.0.1:7500" {
			second[b]++
		}
	}
	for _, n := range first {
		is.True(n > 850 && n < 1150)
	}
	is.Equal(len(second), 2)
	for _, n := range second {
		is.True(n > 400)
	}
	is.True(early > 1300 && early < 1700)
}

// During a long outage of control, each subscriber must retry after random delays of at most
// five seconds, so that all are back within nine seconds after it.
func TestRetryDelayIsBounded(t *testing.T) {
	is := is.New(t)
	c := newTestChooser("agent-1", 3)
	var longest time.Duration
	for range 500 {
		_, wait := c.next(epoch)
		longest = max(longest, wait)
	}
	is.True(longest > retryMaxDelay/2)
	is.True(longest <= retryMaxDelay)
	c.recordGood()
	_, wait := c.next(epoch)
	is.True(wait <= retryBaseDelay) // after a good contact the next loss is retried quickly
}

// A busy VM asks subscribers to retry later: the other VMs must be tried meanwhile. If all
// are busy, the subscriber waits for the one that is due first.
func TestRefusalsAreRespected(t *testing.T) {
	is := is.New(t)
	c := newTestChooser("agent-1", 3)
	a, _ := c.next(epoch)
	c.recordRefusal(a, 10*time.Second, epoch)
	for range 10 {
		b, _ := c.next(epoch)
		is.True(b != a)
	}
	for _, vm := range c.candidates {
		if vm.address != a {
			c.recordRefusal(vm.address, 30*time.Second, epoch)
		}
	}
	b, wait := c.next(epoch)
	is.Equal(b, a)
	is.True(wait >= 10*time.Second && wait <= 15*time.Second)
}

// In a cluster without a quorum every VM is stale. A subscriber must try each VM once and
// then stay for a while, instead of cycling through them with handshakes.
func TestSubscriberStaysWhileAllVMsAreStale(t *testing.T) {
	is := is.New(t)
	c := newTestChooser("agent-1", 3)
	moves := 0
	for second := range 600 {
		if c.shouldLeave(epoch.Add(time.Duration(second) * time.Second)) {
			moves++
		}
	}
	is.True(moves >= 2)   // it tried the others
	is.True(moves <= 240) // two moves per cycle, a cycle at most every five seconds
	c.recordGood()
	is.True(c.shouldLeave(epoch.Add(700 * time.Second))) // a single stale VM is left at once
}

// When a hundred subscribers need a snapshot at once, a few must get it, a few wait, and
// the others be told when to retry; the longer the queue, the later.
func TestSnapshotQueueIsBounded(t *testing.T) {
	is := is.New(t)
	l := newSnapshotQueue(4, 8)
	admitted, waiting, refused := 0, 0, 0
	for range 100 {
		if !l.join() {
			refused++
			continue
		}
		select {
		case l.slots <- struct{}{}:
			l.leave()
			admitted++
		default:
			waiting++
		}
	}
	is.Equal(admitted, 4)
	is.Equal(waiting, 8)
	is.Equal(refused, 88)
	is.Equal(l.retryAfter(2*time.Second), 6*time.Second)
	l.release()
	l.slots <- struct{}{}
	l.leave()
	is.True(l.join())
}
