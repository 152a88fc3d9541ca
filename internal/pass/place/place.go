// Package place decides which target gets a new pass-through flow. It has no
// network and no clock; loads and randomness come in as arguments.
//
// Load patterns and rules:
//
//   - Long flows make early choices last: a target is judged by what its open
//     flows ask for and by how many they are, not only by what runs just now.
//     Flows that are idle at the moment of choice ask again later.
//   - Many balancers with the same reports: of two targets drawn at random the
//     better one is taken. With the best of all, every balancer sends its next
//     flows to the same target until its next report.
//   - A burst between two reports: flows sent since the last report count.
//   - A target that has just started is slow and counts as smaller until warm.
//   - An outage or a burst that leaves one service of a route without a free slot
//     while another one of the same route has many idle: flows overflow to it
//     (Overflow). The weights say how the operator shares the work out while
//     there is room; nobody waits for a share. Without it, 60 to 150 callers waited
//     at each of seven targets for 1.2 s after an outage beside three idle ones.
//   - A target that goes down and up, or breaks requests off: with nothing in
//     progress it looks best, and what it gets is lost. Such targets are left to the
//     others' overflow for a while.
//   - Distance: targets of the same data centre first; another one's only while
//     the near ones are busy and the far one clearly isn't. Bytes between data
//     centres are paid for, and each packet pays the way both ways.
package place

import "math/rand/v2"

const (
	// flowShare is the part of a slot that an open flow counts for besides what
	// it runs. A feed that asks once a second for 50 ms takes a twentieth.
	flowShare = 0.05
	// sentShare is the part of a slot that a flow sent since the last report
	// counts for: its first request runs at once more often than not.
	sentShare = 0.5
	// spillFrom is the load, as a part of the slots, from which on a far target
	// is looked at. Under it a slot is free with the near one almost surely.
	spillFrom = 0.7
	// spillGain is how much less loaded a far target must be; under it flows
	// would move back and forth between data centres on the noise of reports.
	spillGain = 0.25
	// coldSlowdown is how much longer a target takes that has just started.
	// Platforms state the time it lasts but not the factor; 1.6 is what their
	// targets show.
	coldSlowdown = 1.6
)

const (
	// saturated is the load, as a part of the slots, from which on a flow's request
	// waits for others at the target.
	saturated = 1.0
	// idle is the load under which a target takes the overflow of others: half its
	// slots stay free for what it is meant for.
	idle = 0.5
)

// Target is one that may get the flow.
type Target struct {
	// Near is set for targets of the same data centre.
	Near bool
	// Slots is how many requests it runs at once; 0 counts as 1.
	Slots uint32
	// Running is what runs there by its last report, Mean the mean of the last
	// second.
	Running, Mean float64
	// Flows is how many flows it holds, Sent how many more it was sent since.
	Flows, Sent uint32
	// Cold is set while it is slow after its start.
	Cold bool
	// Unsteady is set while it is likely to break requests off.
	Unsteady bool
}

// Score is the target's expected load as a part of its slots.
func (t Target) Score() float64 {
	slots := float64(max(t.Slots, 1))
	if t.Cold {
		slots /= coldSlowdown
	}
	load := max(t.Mean, (t.Mean+t.Running)/2)
	return (load + flowShare*float64(t.Flows) + sentShare*float64(t.Sent)) / slots
}

// Overflow tells whether a flow should go to another service of its route: all
// targets of its own are saturated.
func Overflow(own []Target) bool {
	for i := range own {
		if own[i].Score() < saturated {
			return false
		}
	}
	return true
}

// Idle tells whether the target has room for the overflow of another service.
func (t Target) Idle() bool { return t.Score() < idle }

// Pick returns the index of the chosen target, false if there is none.
func Pick(rng *rand.Rand, targets []Target) (int, bool) {
	steady := pickAmong(rng, targets, false)
	if steady >= 0 && targets[steady].Score() < saturated {
		return steady, true
	}
	unsteady := pickAmong(rng, targets, true)
	if steady < 0 || unsteady >= 0 && targets[unsteady].Idle() {
		return unsteady, unsteady >= 0
	}
	return steady, true
}

// pickAmong picks among the steady or the unsteady targets, near ones first; -1 if
// there are none.
func pickAmong(rng *rand.Rand, targets []Target, unsteady bool) int {
	near, far := drawTwo(rng, targets, unsteady, true), drawTwo(rng, targets, unsteady, false)
	switch {
	case near < 0:
		return far
	case far < 0:
		return near
	}
	n, f := targets[near].Score(), targets[far].Score()
	if n > spillFrom && f < n-spillGain {
		return far
	}
	return near
}

// drawTwo returns the less loaded of two targets drawn at random among those that
// are unsteady, or steady, and near, or far; -1 if there are none.
func drawTwo(rng *rand.Rand, targets []Target, unsteady, near bool) int {
	first, second, seen := -1, -1, 0
	for i := range targets {
		if targets[i].Near != near || targets[i].Unsteady != unsteady {
			continue
		}
		seen++
		// A reservoir of two.
		switch {
		case first < 0:
			first = i
		case second < 0:
			second = i
		default:
			if at := rng.IntN(seen); at == 0 {
				first = i
			} else if at == 1 {
				second = i
			}
		}
	}
	if second < 0 {
		return first
	}
	a, b := targets[first].Score(), targets[second].Score()
	// Equal ones share: the places of the reservoir aren't drawn alike.
	if a < b || a == b && rng.IntN(2) == 0 {
		return first
	}
	return second
}
