// Package placement selects the target of a new pass-through flow. It does no network I/O
// and reads no clock; loads and the random source are arguments.
//
// The load patterns and the rules that answer them:
//
//   - Long flows: each choice has lasting effects. A target is judged by what its open
//     flows requested recently, not only by what runs at the moment, and of two targets
//     the one with fewer open flows is preferred, because flows that are idle now will
//     send requests later.
//   - Many balancers with the same reports: of two targets drawn at random the better one
//     is taken (power of two choices). If the best of all targets were taken, every
//     balancer would send its next flows to the same target until its next report.
//   - A burst between two reports: flows sent since the last report count.
//   - A target that has just started is slow and counts as smaller until it is warm.
//   - An outage or a burst that leaves one service of a route without a free slot while
//     another service of the route has many idle ones: flows overflow to the other
//     service (Policy.Overflow), even to busy targets if callers wait much less there
//     (Policy.TakesOverflow). Weights say how the operator divides the load while there is
//     room; no caller waits to keep to them. Without overflow, callers queue at every
//     target of one service next to free targets of the other.
//   - A target that goes down and up, or breaks requests off: as nothing is in progress
//     there, its load looks best, and the flows that it gets are lost. Such targets only
//     get the overflow of the others for a while.
//   - Targets that differ in speed, or turn slow: flows go where the answer is expected first,
//     by service times that agents learn (expected_wait.go). A target that slows down before
//     its slots are taken counts for fewer slots.
//   - Distance: targets of the same data centre come first. Another data centre's target
//     is taken only if the near ones are busy and it clearly isn't. Traffic between data
//     centres costs money, and adds the distance to each packet and to its answer.
package placement

import (
	"math/rand/v2"
	"time"
)

// Policy holds the thresholds of placement.
type Policy struct {
	// FlowShare is the fraction of a slot that an open flow counts for, in addition to
	// its requests, when two targets are compared: a flow that is idle now will send
	// requests later. It isn't part of the score, because the mean load has the flows'
	// requests already, and targets with many long flows would all look saturated.
	FlowShare float64
	// SentShare is the fraction of a slot that a flow sent since the last report counts
	// for: its first request runs, or waits, at the target at once.
	SentShare float64
	// SpillFrom is the load, as a fraction of the slots, above which a far target is
	// considered. Below it the near target almost certainly has a free slot.
	SpillFrom float64
	// SpillGain is by how much a far target's load must be lower. With less, flows would
	// move back and forth between data centres on the noise of reports.
	SpillGain float64
	// ColdSlowdown is how many times longer requests take at a target that has just
	// started. It applies where nothing was observed yet.
	ColdSlowdown float64
	// Saturated is the load, as a fraction of the slots, from which a flow's request
	// waits for others at the target.
	Saturated float64
	// Idle is the load below which a target takes the overflow of other services: the
	// rest of its slots stays free for its own service.
	Idle float64
	// OverflowGain is by how much the load of a target that isn't idle must be lower than
	// that of all targets of a flow's own service to take the flow. With less, services
	// would fill each other's queues.
	OverflowGain float64
	// Draws is 2 to take the less loaded of two targets drawn at random, 1 to take any.
	Draws int
	// IgnoreDistance turns off the preference for targets in the same data centre; IgnoreUnsteady
	// treats unsteady targets like others; NoOverflow turns off the overflow to other
	// services.
	IgnoreDistance, IgnoreUnsteady, NoOverflow bool
	// IgnorePace compares targets by their slots alone, whatever was learned of them.
	IgnorePace bool
}

// DefaultPolicy returns the policy used in production.
func DefaultPolicy() Policy {
	return Policy{
		FlowShare: 0.05, SentShare: 1, SpillFrom: 0.7, SpillGain: 0.25, ColdSlowdown: 1.6,
		Saturated: 1, Idle: 0.5, OverflowGain: 1, Draws: 2,
	}
}

// Target is a candidate for a flow.
type Target struct {
	// Near is set for targets in the balancer's data centre.
	Near bool
	// Slots is how many requests the target runs at once; 0 counts as 1.
	Slots uint32
	// Running is the number of running requests in its last report, Mean their mean over
	// the last second.
	Running, Mean float64
	// Flows is the number of flows that it holds, Sent the number sent to it since the
	// report.
	Flows, Sent uint32
	// Cold is set while the target is warming up after its start.
	Cold bool
	// Capacity is how many requests the target runs at full speed, if that is known to be
	// fewer than its slots; 0 if not. Service is its service time for requests of Route, 0
	// if unknown.
	Capacity float64
	Service  time.Duration
	Route    uint64
	// Pace is how many times longer than usual the target takes for a request, 0 if about as
	// long or if unknown. Relate sets it.
	Pace float64
	// Unsteady is set while the target is likely to break requests off.
	Unsteady bool
}

// Score returns a target's expected load as a fraction of its slots.
func (p *Policy) Score(t *Target) float64 {
	load := max(t.Mean, (t.Mean+t.Running)/2)
	return (load + p.SentShare*float64(t.Sent)) / p.effectiveSlots(t)
}

// effectiveSlots returns a target's slots, reduced to its capacity and while it is cold.
func (p *Policy) effectiveSlots(t *Target) float64 {
	slots := float64(max(t.Slots, 1))
	if t.Capacity > 0 && !p.IgnorePace {
		slots = min(slots, t.Capacity)
	}
	if t.Cold {
		slots /= p.ColdSlowdown
	}
	return slots
}

// preference ranks two drawn targets; the one with the lower value is taken.
func (p *Policy) preference(t *Target) float64 {
	return p.expected(t, p.Score(t)+p.FlowShare*float64(t.Flows)/p.effectiveSlots(t))
}

// Overflow reports whether a flow should go to another service of its route: all targets
// of its own service are saturated. Paces don't matter: it asks for slots.
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

// HasSlot reports whether one of the near targets is steady and almost certainly has a
// free slot, whatever its pace, so that other data centres needn't be considered.
func (p *Policy) HasSlot(near []Target) bool {
	if p.IgnoreDistance {
		return false
	}
	for i := range near {
		if (p.IgnoreUnsteady || !near[i].Unsteady) && p.hasSlot(p.Score(&near[i])) {
			return true
		}
	}
	return false
}

// hasSlot reports whether a load leaves a free slot. A saturated target has none, also where
// flows stay near until then.
func (p *Policy) hasSlot(load float64) bool { return load <= p.SpillFrom && load < p.Saturated }

// HasRoom reports whether a target has room for the overflow of another service.
func (p *Policy) HasRoom(t *Target) bool { return p.Score(t) < p.Idle }

// TakesOverflow reports whether a target takes a flow of another service whose targets are all
// saturated: it has room, or callers wait much less there.
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

// Pick returns the index of the selected target, and false if there is none.
func (p *Policy) Pick(rng *rand.Rand, targets []Target) (int, bool) {
	steady := p.pickAmong(rng, targets, false)
	if steady >= 0 && (p.Score(&targets[steady]) < p.Saturated || p.paceDecides(targets)) {
		return steady, true
	}
	unsteady := p.pickAmong(rng, targets, true)
	if steady < 0 || unsteady >= 0 && p.HasRoom(&targets[unsteady]) {
		return unsteady, unsteady >= 0
	}
	return steady, true
}

// paceDecides reports whether a steady target has room, although the one that was picked by
// its pace has none.
func (p *Policy) paceDecides(targets []Target) bool {
	paced, room := false, false
	for i := range targets {
		t := &targets[i]
		if t.Unsteady && !p.IgnoreUnsteady {
			continue
		}
		paced = paced || t.Pace != 0
		room = room || p.Score(t) < p.Saturated
	}
	return paced && room && !p.IgnorePace
}

// pickAmong picks among the steady or the unsteady targets and prefers near ones. It
// returns -1 if there are none.
func (p *Policy) pickAmong(rng *rand.Rand, targets []Target, unsteady bool) int {
	near, far := p.draw(rng, targets, unsteady, true), p.draw(rng, targets, unsteady, false)
	switch {
	case near < 0:
		return far
	case far < 0:
		return near
	}
	n, f := p.Score(&targets[near]), p.Score(&targets[far])
	if n > p.SpillFrom && p.expected(&targets[far], f) < p.expected(&targets[near], n)-p.SpillGain && p.mayCross(n, f) {
		return far
	}
	return near
}

// mayCross reports whether a far target may take a flow from a near one, by their loads. A
// pace alone sends nothing to a far target that is full.
func (p *Policy) mayCross(n, f float64) bool { return f < n-p.SpillGain || f < p.Saturated }

// draw returns the less loaded of two targets drawn at random, among those that are
// steady or unsteady, and near or far, as given. It returns -1 if there are none.
func (p *Policy) draw(rng *rand.Rand, targets []Target, unsteady, near bool) int {
	first, second, seen := -1, -1, 0
	for i := range targets {
		if (targets[i].Near || p.IgnoreDistance) != near || (targets[i].Unsteady && !p.IgnoreUnsteady) != unsteady {
			continue
		}
		seen++
		// Reservoir sampling of two targets.
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
	// A random choice between equal targets, because the two places of the reservoir
	// aren't equally likely for each target.
	if a < b || a == b && rng.IntN(2) == 0 {
		return first
	}
	return second
}
