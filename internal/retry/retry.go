// Package retry decides whether a request that got no answer is attempted once more. It
// has no network and no clock; the caller passes the time, as a duration since any fixed
// origin.
//
// Load patterns and rules:
//
//   - A target fails or cuts connections: one more attempt at another target hides this
//     from the caller. Without retries each such failure is an error for every request in
//     progress there.
//   - Saturation: every retry of a refused request adds load to a service that has too
//     much. Without a budget, three attempts for each request turn an overload of a third
//     into one of three times the capacity, which persists after its cause is gone. So a
//     service's retries are limited to a fraction of its new requests.
//   - A slow target: an attempt that can't end before the deadline is wasted work, so
//     none is started.
//   - A request that may not be repeated is retried only if no target has received a byte
//     of it.
//
// A 503 of a target doesn't say what ran before it, so only a repeatable request is
// retried elsewhere; for others that answer is returned.
package retry

import "time"

const (
	// MaxAttempts bounds the attempts of one request. With two targets that fail
	// independently one time in ten, a third attempt leaves one error in a thousand; a
	// fourth would help only where the whole service is failing.
	MaxAttempts = 3
	// DefaultPercent is the budget where the service sets none, in retries per hundred
	// new requests; see docs/PLACEMENT.md.
	DefaultPercent = 20
	// minRetriesPerSecond is added to the budget, so that a service with little traffic
	// can retry: the share of a few requests a minute would never amount to a whole
	// retry.
	minRetriesPerSecond = 1.0
	// maxTokens is the size of the token bucket, so that the failure of a target with all
	// slots taken (at most 7) is covered at once.
	maxTokens = 10.0
)

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of attempts without a final answer.
const (
	// NotRun: no target received a byte.
	NotRun Outcome = iota + 1
	// Shed: the target rejected the request because of load.
	Shed
	// NoAnswer: a target received some or all of the request, but no answer came.
	NoAnswer
)

// Reason says why there is no further attempt. Its text is part of counter names.
type Reason string

// Reasons for no further attempt.
const (
	TooManyAttempts Reason = "attempts"
	NotRepeatable   Reason = "not-repeatable"
	NoTime          Reason = "no-time"
	OverBudget      Reason = "over-budget"
)

// Attempt describes the attempt that failed.
type Attempt struct {
	Outcome Outcome
	// Repeatable is set if running the request twice does no harm.
	Repeatable bool
	// Attempts counts the attempts so far, this one included.
	Attempts int
	// Deadline is when the answer is no longer useful; 0 means never.
	Deadline time.Duration
	// TypicalDuration is how long an attempt usually takes.
	TypicalDuration time.Duration
}

// Budget is a service's token bucket at one agent. It isn't safe for concurrent
// use.
type Budget struct {
	percent    int
	tokens     float64
	refilledAt time.Duration
}

// NewBudget returns a full bucket. percent is the number of retries per hundred new
// requests; 0 means DefaultPercent.
func NewBudget(percent int) *Budget {
	b := &Budget{tokens: maxTokens}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the number of retries per hundred new requests.
func (b *Budget) SetPercent(percent int) {
	if percent <= 0 {
		percent = DefaultPercent
	}
	b.percent = percent
}

// RecordRequest counts a caller's new request, which adds a fraction of a retry to the budget.
func (b *Budget) RecordRequest(now time.Duration) {
	b.refill(now)
	b.tokens = min(b.tokens+float64(b.percent)/100, maxTokens)
}

func (b *Budget) refill(now time.Duration) {
	if now > b.refilledAt {
		b.tokens = min(b.tokens+minRetriesPerSecond*(now-b.refilledAt).Seconds(), maxTokens)
		b.refilledAt = now
	}
}

// TakeRetry tells whether one more attempt may be made, and takes it from the budget. If it
// may not, the reason is set.
func (b *Budget) TakeRetry(now time.Duration, a Attempt) (Reason, bool) {
	if a.Outcome != NotRun && !a.Repeatable {
		return NotRepeatable, false
	}
	if a.Attempts >= MaxAttempts {
		return TooManyAttempts, false
	}
	if a.Deadline != 0 && now+a.TypicalDuration >= a.Deadline {
		return NoTime, false
	}
	b.refill(now)
	if b.tokens < 1 {
		return OverBudget, false
	}
	b.tokens--
	return "", true
}
