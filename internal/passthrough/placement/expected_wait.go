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
	// equal targets differ by as much. A caller hardly notices the difference, but flows that
	// followed it would move with the noise.
	samePace = 1.6
	// implausiblePace is the factor from which a target that seems faster than the usual one
	// counts as usual: more likely it answers without doing the work.
	implausiblePace = 10
)

// Relate sets the paces of a flow's candidates, which must belong to one service. The usual
// service time is their median, the longer one of two, so that a target that only seems fast
// isn't the measure of another; a target whose service time isn't known has the usual pace.
func Relate(targets []Target) {
	var known [maxRelated]time.Duration
	n := 0
	for i := range targets {
		if targets[i].Service > 0 && n < maxRelated {
			known[n] = targets[i].Service
			n++
		}
	}
	slices.Sort(known[:n])
	for i := range targets {
		targets[i].Pace = 0
		if targets[i].Service > 0 {
			targets[i].Pace = pace(targets[i].Service, known[n/2])
		}
	}
}

// maxRelated bounds the candidates whose median is taken.
const maxRelated = 64

// pace returns how many times longer than usual a target takes, 0 if it takes about as long.
func pace(service, usual time.Duration) float64 {
	p := float64(service) / float64(usual)
	if p < samePace && p > 1/samePace || p < 1.0/implausiblePace {
		return 0
	}
	return p
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
