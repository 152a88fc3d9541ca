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

// TargetHealth is passive health checking of one target: it judges from the outcomes of
// requests whether the target answers. The health endpoint is a hint that counts only
// where there are no recent requests: an endpoint that reports healthy while requests
// fail would keep a dead target in service, and one that reports unhealthy while they
// succeed would remove a working one. The zero value is a healthy target. It isn't safe
// for concurrent use.
type TargetHealth struct {
	failures      int
	lastOutcomeAt time.Duration
	hasOutcome    bool
	lastTrialAt   time.Duration
	hintUnhealthy bool
}

// RecordSuccess records an answer of any status.
func (h *TargetHealth) RecordSuccess(now time.Duration) {
	h.failures = 0
	h.lastOutcomeAt, h.hasOutcome = now, true
}

// RecordFailure records a request without an answer: the connection failed, was cut, or timed
// out.
func (h *TargetHealth) RecordFailure(now time.Duration) {
	h.failures++
	h.lastOutcomeAt, h.hasOutcome = now, true
}

// RecordEndpoint records the health endpoint's state.
func (h *TargetHealth) RecordEndpoint(well bool) { h.hintUnhealthy = !well }

// Unhealthy tells whether the target is unhealthy, so that new requests should go elsewhere.
func (h *TargetHealth) Unhealthy(now time.Duration) bool {
	if h.failures >= unhealthyAfterFailures {
		return true
	}
	recent := h.hasOutcome && now-h.lastOutcomeAt < outcomeTTL
	return h.hintUnhealthy && !recent
}

// AllowTrial tells whether one request may go to an unhealthy target now, and counts it as
// sent. The first trial comes a whole interval after the last outcome.
func (h *TargetHealth) AllowTrial(now time.Duration) bool {
	if now-max(h.lastTrialAt, h.lastOutcomeAt) < trialInterval {
		return false
	}
	h.lastTrialAt = now
	return true
}
