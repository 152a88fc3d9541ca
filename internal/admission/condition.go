package admission

import "time"

const (
	// unhealthyAfterFailures is how many failures in a row make a target unhealthy. One
	// or two may be a cut connection or an unlucky request; a healthy target that fails
	// one request in a hundred fails three in a row once in a million.
	unhealthyAfterFailures = 3
	// trialInterval is how often an unhealthy target gets a trial request: one caller a
	// second risks an error, and recovery is detected within a second.
	trialInterval = time.Second
	// outcomeTTL is how long the outcomes of requests override the health endpoint.
	outcomeTTL = 5 * time.Second
)

// Condition is passive health checking of one target: it judges from the outcomes of
// requests whether the target answers. The health endpoint is a hint that counts only
// where there are no recent requests: an endpoint that reports healthy while requests
// fail would keep a dead target in service, and one that reports unhealthy while they
// succeed would remove a working one. The zero value is a healthy target. It isn't safe
// for concurrent use.
type Condition struct {
	failures      int
	lastOutcomeAt time.Duration
	hasOutcome    bool
	lastTrialAt   time.Duration
	hintUnhealthy bool
}

// Answered records an answer of any status.
func (c *Condition) Answered(now time.Duration) {
	c.failures = 0
	c.lastOutcomeAt, c.hasOutcome = now, true
}

// Failed records a request without an answer: the connection failed, was cut, or timed
// out.
func (c *Condition) Failed(now time.Duration) {
	c.failures++
	c.lastOutcomeAt, c.hasOutcome = now, true
}

// Hint records the health endpoint's state.
func (c *Condition) Hint(well bool) { c.hintUnhealthy = !well }

// Ill tells whether the target is unhealthy, so that new requests should go elsewhere.
func (c *Condition) Ill(now time.Duration) bool {
	if c.failures >= unhealthyAfterFailures {
		return true
	}
	recent := c.hasOutcome && now-c.lastOutcomeAt < outcomeTTL
	return c.hintUnhealthy && !recent
}

// Trial tells whether one request may go to an unhealthy target now, and counts it as
// sent. The first trial comes a whole interval after the last outcome.
func (c *Condition) Trial(now time.Duration) bool {
	if now-max(c.lastTrialAt, c.lastOutcomeAt) < trialInterval {
		return false
	}
	c.lastTrialAt = now
	return true
}
