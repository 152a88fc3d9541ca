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
}

const (
	// arrivalsTimeConstant is the time constant of the mean rates: long enough for some
	// twenty callers of a small target, and a fraction of any burst that matters.
	arrivalsTimeConstant = 300 * time.Millisecond
	// maxArrivalRates bounds the priorities that are told apart; further ones count as the
	// last.
	maxArrivalRates = 16
)

// Add counts a caller.
func (a *Arrivals) Add(now time.Duration, priority uint32) {
	r := a.rateOf(priority)
	r.rate = r.decayed(now) + 1/arrivalsTimeConstant.Seconds()
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
	return r.rate * math.Exp(-float64(now-r.at)/float64(arrivalsTimeConstant))
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
