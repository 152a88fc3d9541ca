package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestChooser(name string, vms int) *chooser {
	var controls []string
	for i := range vms {
		controls = append(controls, fmt.Sprintf("127.0.0.%d:7500", i+1))
	}
	return newChooser(controls, name, rand.New(rand.NewPCG(1, uint64(len(name)))))
}

// A control VM dies with a third of the subscribers on it. They spread over
// both others instead of falling on one, and within the first quarter second
// instead of at once.
func TestSubscribersOfADeadVMSpread(t *testing.T) {
	is := is.New(t)
	first, second := map[string]int{}, map[string]int{}
	var early int
	for i := range 3000 {
		c := newTestChooser(fmt.Sprintf("agent-%d", i), 3)
		c.random = rand.New(rand.NewPCG(7, uint64(i)))
		a, wait := c.next(epoch)
		is.True(wait <= retryBase)
		if wait < retryBase/2 {
			early++
		}
		first[a]++
		c.good()
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

// Control is gone for an hour. Each subscriber goes on trying, at random within
// five seconds, so that all are back within nine once control is.
func TestWaitsGrowToTheCapOnly(t *testing.T) {
	is := is.New(t)
	c := newTestChooser("agent-1", 3)
	var longest time.Duration
	for range 500 {
		_, wait := c.next(epoch)
		longest = max(longest, wait)
	}
	is.True(longest > retryCap/2)
	is.True(longest <= retryCap)
	c.good()
	_, wait := c.next(epoch)
	is.True(wait <= retryBase) // one good word and the next loss is met quickly
}

// A VM that is busy asks to be left alone for a while: the others are tried
// meanwhile, and if all are busy the subscriber waits for the first.
func TestRefusalsAreRespected(t *testing.T) {
	is := is.New(t)
	c := newTestChooser("agent-1", 3)
	a, _ := c.next(epoch)
	c.refused(a, 10*time.Second, epoch)
	for range 10 {
		b, _ := c.next(epoch)
		is.True(b != a)
	}
	for _, vm := range c.vms {
		if vm.address != a {
			c.refused(vm.address, 30*time.Second, epoch)
		}
	}
	b, wait := c.next(epoch)
	is.Equal(b, a)
	is.True(wait >= 10*time.Second && wait <= 15*time.Second)
}

// The cluster has lost its quorum: every VM is stale. A subscriber looks at each
// once and then stays for a while, instead of going round with handshakes.
func TestNobodyRunsInCirclesWhileAllVMsAreStale(t *testing.T) {
	is := is.New(t)
	c := newTestChooser("agent-1", 3)
	moves := 0
	for second := range 600 {
		if c.leave(epoch.Add(time.Duration(second) * time.Second)) {
			moves++
		}
	}
	is.True(moves >= 2)   // it did look
	is.True(moves <= 240) // two moves a round, a round at most every five seconds
	c.good()
	is.True(c.leave(epoch.Add(700 * time.Second))) // one stale VM among fresh ones is left at once
}

// A hundred subscribers want a whole table at once: a few get it, a few wait,
// the others are told when to come, later the longer the line is.
func TestLineIsBounded(t *testing.T) {
	is := is.New(t)
	l := newLine(4, 8)
	admitted, waiting, turned := 0, 0, 0
	for range 100 {
		if !l.join() {
			turned++
			continue
		}
		select {
		case l.places <- struct{}{}:
			l.left()
			admitted++
		default:
			waiting++
		}
	}
	is.Equal(admitted, 4)
	is.Equal(waiting, 8)
	is.Equal(turned, 88)
	is.Equal(l.retryAfter(2*time.Second), 6*time.Second)
	l.done()
	l.places <- struct{}{}
	l.left()
	is.True(l.join())
}
