package patience

import (
	"math"
	"time"
)

// Arrivals estimates how many callers arrive a second, by the priority of their routes. The
// zero value is ready to use.
type Arrivals struct{ rates []arrivalRate }

// arrivalRate is a mean rate as of a time, in callers a second.
type arrivalRate struct {
	priority uint32
	rate     float64
	at       time.Duration
	// timeConstant is the one by which the mean decays.
	timeConstant time.Duration
}

const (
	// minArrivalsTimeConstant is the least time constant of the mean rates: a fraction of
	// any burst that matters.
	minArrivalsTimeConstant = 300 * time.Millisecond
	// arrivalsPaces is the least time constant in answers of a busy target: a single caller
	// must not look like a load that leaves no time for others.
	arrivalsPaces = 10
	// maxArrivalRates bounds the priorities that are told apart; further ones count as the
	// last.
	maxArrivalRates = 16
)

// Add counts a caller of a target with the given pace.
func (a *Arrivals) Add(now time.Duration, priority uint32, pace time.Duration) {
	r := a.rateOf(priority)
	rate := r.decayed(now)
	r.timeConstant = max(minArrivalsTimeConstant, arrivalsPaces*pace)
	r.rate = rate + 1/r.timeConstant.Seconds()
	r.at = now
}

func (a *Arrivals) rateOf(priority uint32) *arrivalRate {
	for i := range a.rates {
		if a.rates[i].priority == priority {
			return &a.rates[i]
		}
	}
	if len(a.rates) < maxArrivalRates {
		a.rates = append(a.rates, arrivalRate{priority: priority})
	}
	return &a.rates[len(a.rates)-1]
}

func (r *arrivalRate) decayed(now time.Duration) float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate * math.Exp(-float64(now-r.at)/float64(r.timeConstant))
}

// Load returns the part of a target's time that callers of routes more urgent than the
// given priority take, and that of those at least as urgent, at a pace; above 1 there are
// more than the target can serve.
func (a *Arrivals) Load(now time.Duration, priority uint32, pace time.Duration) (moreUrgent, asUrgent float64) {
	for i := range a.rates {
		r := &a.rates[i]
		load := r.decayed(now) * pace.Seconds()
		if r.priority < priority {
			moreUrgent += load
		}
		if r.priority <= priority {
			asUrgent += load
		}
	}
	return moreUrgent, asUrgent
}
