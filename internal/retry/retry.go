// Package retry decides whether a request that got no answer is tried once
// more. It has no network and no clock; the caller passes the time, as a
// duration since any fixed origin.
//
// Load patterns and rules:
//
//   - A target dies or cuts connections: one more attempt elsewhere hides it
//     from the caller. Without retries each such death is an error per request.
//   - Saturation: every refusal that is tried again is more load on a service
//     that has too much. Without a budget, three attempts for each request turn
//     an overload of a third into one of three times the capacity, and it stays
//     when its cause is gone. So a service's retries are a fraction of its fresh
//     requests.
//   - A slow target: an attempt that can't end before the deadline is work for
//     nobody, so none is begun then.
//   - Work that may not be repeated is tried again only while no target has
//     seen a byte of it.
//
// A shed answer (503) of a target says nothing about what ran before it, so
// only a repeatable request is tried elsewhere; others get that answer.
package retry

import "time"

const (
	// MaxAttempts bounds the attempts of one request. With two peers that fail
	// independently one time in ten, a third attempt leaves one error in a
	// thousand; a fourth would help only where all of the service is ill.
	MaxAttempts = 3
	// DefaultPercent is the budget where the service sets none; see the sweep in
	// docs/PLACEMENT.md.
	DefaultPercent = 20
	// perSecond lets a service with little traffic try again: a tenth of a
	// request a minute would never pay for a whole retry.
	perSecond = 1.0
	// burst is what an unused budget may grow to, so that a target's death with
	// all slots taken (7 at most today) is covered at once.
	burst = 10.0
)

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of attempts without a final answer.
const (
	// NotRun: no target saw a byte.
	NotRun Outcome = iota + 1
	// Shed: the target answered that it takes no work.
	Shed
	// Lost: a target has seen some or all of the request; no answer came.
	Lost
)

// Reason says why there is no further attempt. Its text goes into the names of
// counters.
type Reason string

// Reasons for no further attempt.
const (
	Attempts      Reason = "attempts"
	NotRepeatable Reason = "not-repeatable"
	NoTime        Reason = "no-time"
	OverBudget    Reason = "over-budget"
)

// Attempt is what the decision needs to know about the attempt that failed.
type Attempt struct {
	Outcome Outcome
	// Repeatable is set where running the request twice does no harm.
	Repeatable bool
	// Made counts the attempts so far, this one included.
	Made int
	// Deadline is when the answer is of no more use; 0 is never.
	Deadline time.Duration
	// Need is how long an attempt usually takes.
	Need time.Duration
}

// Budget is a service's token bucket at one agent. It isn't safe for concurrent
// use.
type Budget struct {
	percent int
	tokens  float64
	last    time.Duration
}

// NewBudget returns a full bucket. percent is the share of fresh requests that
// may be tried again; 0 means DefaultPercent.
func NewBudget(percent int) *Budget {
	b := &Budget{tokens: burst}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the share.
func (b *Budget) SetPercent(percent int) {
	if percent <= 0 {
		percent = DefaultPercent
	}
	b.percent = percent
}

// Fresh counts a caller's new request, which earns a part of a retry.
func (b *Budget) Fresh(now time.Duration) {
	b.refill(now)
	b.tokens = min(b.tokens+float64(b.percent)/100, burst)
}

func (b *Budget) refill(now time.Duration) {
	if now > b.last {
		b.tokens = min(b.tokens+perSecond*(now-b.last).Seconds(), burst)
		b.last = now
	}
}

// Again tells whether one more attempt may be made, and takes it from the
// budget. Where it may not, the reason is set.
func (b *Budget) Again(now time.Duration, a Attempt) (Reason, bool) {
	if a.Outcome != NotRun && !a.Repeatable {
		return NotRepeatable, false
	}
	if a.Made >= MaxAttempts {
		return Attempts, false
	}
	if a.Deadline != 0 && now+a.Need >= a.Deadline {
		return NoTime, false
	}
	b.refill(now)
	if b.tokens < 1 {
		return OverBudget, false
	}
	b.tokens--
	return "", true
}
