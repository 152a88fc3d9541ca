package admission

import "time"

const (
	// illAfter failures in a row make a target ill. One or two are a cut
	// connection or an unlucky request; a sound target that fails one in a
	// hundred fails three in a row once in a million requests.
	illAfter = 3
	// trialEvery is how often an ill target gets a request to prove itself: a
	// caller a second risks an error, and recovery is seen within a second.
	trialEvery = time.Second
	// evidenceFor is how long outcomes of requests outweigh the health endpoint.
	evidenceFor = 5 * time.Second
)

// Condition judges whether a target answers, from the outcomes of requests it
// was given. Its health endpoint is a hint that counts only where requests say
// nothing: an endpoint that says well while requests fail would keep a dead
// target in service, and one that says ill while they pass would empty a sound
// one. The zero value is a sound target. It isn't safe for concurrent use.
type Condition struct {
	failures int
	last     time.Duration // of the last outcome
	seen     bool
	trial    time.Duration
	hintIll  bool
}

// Answered notes an answer, of whatever status.
func (c *Condition) Answered(now time.Duration) {
	c.failures = 0
	c.last, c.seen = now, true
}

// Failed notes a request without an answer: not connected, cut or silent.
func (c *Condition) Failed(now time.Duration) {
	c.failures++
	c.last, c.seen = now, true
}

// Hint notes what the health endpoint says.
func (c *Condition) Hint(well bool) { c.hintIll = !well }

// Ill tells whether new requests should rather go elsewhere.
func (c *Condition) Ill(now time.Duration) bool {
	if c.failures >= illAfter {
		return true
	}
	recent := c.seen && now-c.last < evidenceFor
	return c.hintIll && !recent
}

// Trial tells whether one request may go to an ill target now, and counts it.
// The first trial comes a whole interval after the last outcome.
func (c *Condition) Trial(now time.Duration) bool {
	if now-max(c.trial, c.last) < trialEvery {
		return false
	}
	c.trial = now
	return true
}
