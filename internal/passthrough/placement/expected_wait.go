package placement

import (
	"slices"
	"time"
)

// Placement by expected response times. Where the targets of a service differ in speed, equal
// loads mean unequal waits: a request that finds three ahead at a fast target is answered
// sooner than one that finds two at a slow one. The load of a target in slots then stands for
// the wait in units of its own service time, and two targets are compared by
//
//	pace × (1 + load)
//
// where the pace is the target's service time relative to the usual one of the candidates.
// Among targets of the same pace that is the order of their loads, so it decides nothing
// there.

const (
	// samePace is the factor up to which two service times count as the same: estimates of
	// equal targets differ by less. A caller hardly notices the difference, but flows that
	// followed it would move with the noise.
	samePace = 1.8
	// fastPace is the pace of all targets that seem at least that fast: one that seems
	// faster still may answer without doing the work.
	fastPace = 0.5
)

// Relate sets the paces of a flow's candidates, which must belong to one service. A target is
// compared with those that state the service time of the same route. The usual service time
// is their median, the longer one of two, so that a target that only seems fast isn't the
// measure of another; a target whose service time isn't known has the usual pace.
func Relate(targets []Target) {
	for i := range targets {
		t := &targets[i]
		t.Pace = 0
		if t.Service > 0 {
			t.Pace = pace(t.Service, usual(targets, t.Route))
		}
	}
}

// usual returns the median of the service times of a route.
func usual(targets []Target, route uint64) time.Duration {
	var known [maxRelated]time.Duration
	n := 0
	for i := range targets {
		if targets[i].Service > 0 && targets[i].Route == route && n < maxRelated {
			known[n] = targets[i].Service
			n++
		}
	}
	slices.Sort(known[:n])
	return known[n/2]
}

// maxRelated bounds the candidates whose median is taken.
const maxRelated = 64

// pace returns how many times longer than usual a target takes, 0 if it takes about as long.
func pace(service, usual time.Duration) float64 {
	p := float64(service) / float64(usual)
	if p < samePace && p > fastPace {
		return 0
	}
	return max(p, fastPace)
}

// expected returns the expected response time at a target with a load in slots, in the usual
// service times beyond a first one. At a target of the usual pace that is the load.
func (p *Policy) expected(t *Target, load float64) float64 {
	pace := t.Pace
	if pace > 1 && t.Cold {
		pace = max(1, pace/p.ColdSlowdown) // the load accounts for it already
	}
	if pace == 0 || p.IgnorePace {
		return load
	}
	return pace*(1+load) - 1
}
