package fairshare

import (
	"math"
	"time"
)

// Visit is what a first packet meets at a balancer while callers wait at all targets that it
// could reach.
type Visit struct {
	// Wait is how long it would wait at a target, behind those that aren't less urgent;
	// Patience is how long its caller can wait.
	Wait, Patience time.Duration
	// Excess is its client's usage as a multiple of its share, at least 1.
	Excess float64
}

const (
	// steepness is by how many factors of two the chance falls when the wait grows by the
	// caller's patience. Reports are some 50 ms old: with more, balancers would refuse all and
	// admit all in turn; with less, callers would wait longer the more there are of them.
	steepness = 2
	// minChance is the least chance. It lets callers reach the agents where the wait that
	// balancers know is wrong.
	minChance = 1.0 / 64
)

// PassChance is the probability with which a balancer lets a first packet through; the others
// are refused at once. It falls by degrees as callers wait longer than they can, so that
// targets' queues settle where as many are let through as are served, whatever the excess of
// load, and it is 1 again as soon as the queues are short. All balancers see the same queues,
// and there is no state to lose. Clients above their share have less of a chance than others.
func (v Visit) PassChance() float64 {
	if v.Patience <= 0 {
		return 1
	}
	chance := math.Exp2(steepness * (1 - float64(v.Wait)/float64(v.Patience)))
	return max(minChance, min(1, chance)/max(1, v.Excess))
}
