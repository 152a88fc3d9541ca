// Package placement decides which target gets a new pass-through flow. It has no
// network and no clock; loads and randomness come in as arguments.
//
// Load patterns and rules:
//
//   - Long flows make early choices last: a target is judged by what its open
//     flows asked for lately, not only by what runs just now, and of two targets
//     the one with fewer open flows is preferred: those that are idle at the moment
//     of choice ask again later.
//   - Many balancers with the same reports: of two targets drawn at random the
//     better one is taken. With the best of all, every balancer sends its next
//     flows to the same target until its next report.
//   - A burst between two reports: flows sent since the last report count.
//   - A target that has just started is slow and counts as smaller until warm.
//   - An outage or a burst that leaves one service of a route without a free slot
//     while another one of the same route has many idle: flows overflow to it
//     (Policy.Overflow), and to busy ones where callers wait for much less
//     (Policy.TakesOverflow). The weights say how the operator shares the work out while
//     there is room; nobody waits for a share. Without it callers queue
//     at every target of one service beside free ones of the other.
//   - A target that goes down and up, or breaks requests off: with nothing in
//     progress it looks best, and what it gets is lost. Such targets are left to the
//     others' overflow for a while.
//   - Distance: targets of the same data centre first; another one's only while
//     the near ones are busy and the far one clearly isn't. Bytes between data
//     centres are paid for, and each packet pays the way both ways.
package placement

import "math/rand/v2"

// Policy holds the thresholds of placing.
type Policy struct {
	// FlowShare is the part of a slot that an open flow counts for, besides what it
	// runs, where one of two targets is taken: one that is idle just now asks again
	// later. What flows ask for on the mean shows in the load; counted there again,
	// targets with many long flows would all look saturated.
	FlowShare float64
	// SentShare is the part of a slot that a flow sent since the last report
	// counts for: its first request runs at once, or waits there.
	SentShare float64
	// SpillFrom is the load, as a part of the slots, from which on a far target
	// is looked at. Under it a slot is free with the near one almost surely.
	SpillFrom float64
	// SpillGain is how much less loaded a far target must be; under it flows
	// would move back and forth between data centres on the noise of reports.
	SpillGain float64
	// ColdSlowdown is how much longer a target takes that has just started, where
	// nothing was observed yet.
	ColdSlowdown float64
	// Saturated is the load, as a part of the slots, from which on a flow's request
	// waits for others at the target.
	Saturated float64
	// Idle is the load under which a target takes the overflow of others: the rest
	// of its slots stay free for what it is meant for.
	Idle float64
	// OverflowGain is how much less loaded than all targets of a flow's own service
	// one that isn't idle must be to take the overflow all the same. Under it services
	// would fill each other's queues.
	OverflowGain float64
	// Draws is 2 to take the less loaded of two targets drawn, 1 to take any.
	Draws int
	// IgnoreDistance gives up the preference for the own data centre; IgnoreUnsteady
	// ignores that targets are unsteady; NoOverflow never lets a service's flows overflow to another.
	IgnoreDistance, IgnoreUnsteady, NoOverflow bool
}

// DefaultPolicy is the policy in use.
func DefaultPolicy() Policy {
	return Policy{
		FlowShare: 0.05, SentShare: 1, SpillFrom: 0.7, SpillGain: 0.25, ColdSlowdown: 1.6,
		Saturated: 1, Idle: 0.5, OverflowGain: 1, Draws: 2,
	}
}

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

// Score is a target's expected load as a part of its slots.
func (p *Policy) Score(t *Target) float64 {
	load := max(t.Mean, (t.Mean+t.Running)/2)
	return (load + p.SentShare*float64(t.Sent)) / p.slots(t)
}

// slots is how many slots a target counts as.
func (p *Policy) slots(t *Target) float64 {
	slots := float64(max(t.Slots, 1))
	if t.Cold {
		slots /= p.ColdSlowdown
	}
	return slots
}

// preference orders two targets drawn; the lower one is taken.
func (p *Policy) preference(t *Target) float64 {
	return p.Score(t) + p.FlowShare*float64(t.Flows)/p.slots(t)
}

// Overflow tells whether a flow should go to another service of its route: all
// targets of its own are saturated.
func (p *Policy) Overflow(own []Target) bool {
	if p.NoOverflow {
		return len(own) == 0
	}
	for i := range own {
		if p.Score(&own[i]) < p.Saturated {
			return false
		}
	}
	return true
}

// HasSlot tells whether a steady target among near ones has a slot free almost surely,
// so that no other data centre's need be looked at.
func (p *Policy) HasSlot(near []Target) bool {
	if p.IgnoreDistance {
		return false
	}
	for i := range near {
		if (p.IgnoreUnsteady || !near[i].Unsteady) && p.Score(&near[i]) <= p.SpillFrom {
			return true
		}
	}
	return false
}

// HasRoom tells whether a target has room for the overflow of another service.
func (p *Policy) HasRoom(t *Target) bool { return p.Score(t) < p.Idle }

// TakesOverflow tells whether a target takes a flow of another service, all of whose targets
// are saturated: it has room, or its callers wait for much less.
func (p *Policy) TakesOverflow(t *Target, own []Target) bool {
	if p.HasRoom(t) {
		return true
	}
	for i := range own {
		if p.Score(t) > p.Score(&own[i])-p.OverflowGain {
			return false
		}
	}
	return true
}

// Pick returns the index of the chosen target, false if there is none.
func (p *Policy) Pick(rng *rand.Rand, targets []Target) (int, bool) {
	steady := p.pickAmong(rng, targets, false)
	if steady >= 0 && p.Score(&targets[steady]) < p.Saturated {
		return steady, true
	}
	unsteady := p.pickAmong(rng, targets, true)
	if steady < 0 || unsteady >= 0 && p.HasRoom(&targets[unsteady]) {
		return unsteady, unsteady >= 0
	}
	return steady, true
}

// pickAmong picks among the steady or the unsteady targets, near ones first; -1 if
// there are none.
func (p *Policy) pickAmong(rng *rand.Rand, targets []Target, unsteady bool) int {
	near, far := p.draw(rng, targets, unsteady, true), p.draw(rng, targets, unsteady, false)
	switch {
	case near < 0:
		return far
	case far < 0:
		return near
	}
	n, f := p.Score(&targets[near]), p.Score(&targets[far])
	if n > p.SpillFrom && f < n-p.SpillGain {
		return far
	}
	return near
}

// draw returns the less loaded of two targets drawn at random among those that
// are unsteady, or steady, and near, or far; -1 if there are none.
func (p *Policy) draw(rng *rand.Rand, targets []Target, unsteady, near bool) int {
	first, second, seen := -1, -1, 0
	for i := range targets {
		if (targets[i].Near || p.IgnoreDistance) != near || (targets[i].Unsteady && !p.IgnoreUnsteady) != unsteady {
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
	if second < 0 || p.Draws < 2 && rng.IntN(2) == 0 {
		return first
	}
	if p.Draws < 2 {
		return second
	}
	a, b := p.preference(&targets[first]), p.preference(&targets[second])
	// Equal ones share: the places of the reservoir aren't drawn alike.
	if a < b || a == b && rng.IntN(2) == 0 {
		return first
	}
	return second
}
