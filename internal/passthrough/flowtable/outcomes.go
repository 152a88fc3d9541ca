package flowtable

import "time"

// A target that goes down and up, or that breaks requests off while its announcements
// look healthy, has next to nothing in progress. Placement by load alone would send it
// more than its share, and callers would spend all their attempts there. The agent sees
// each request and whether its answer begins, so it tells balancers when too many
// requests end without one.
const (
	// outcomesWindow is the interval over which outcomes are counted: a target of two
	// slots finishes some thirty requests in it.
	outcomesWindow = time.Second
	// minBroken is how many requests must have been broken off to make a target unsteady,
	// and brokenRatio is how many requests there may be for each of them: three in a row
	// on a quiet target, a quarter of all on a busy one. Healthy targets break none off.
	minBroken   = 3
	brokenRatio = 4
	// unsteadyPeriod is how long a target counts as unsteady after these limits were last
	// reached. A target that goes down and up every second or two stays unsteady through
	// the times when it is up.
	unsteadyPeriod = 3 * time.Second
)

// outcomes counts how the target's requests end.
type outcomes struct {
	since            time.Duration
	answered, broken int
	unsteadyUntil    time.Duration
}

// add counts answered and broken requests. It reports whether the target has just become
// unsteady.
func (o *outcomes) add(now time.Duration, answered, broken int) bool {
	if now-o.since > outcomesWindow {
		o.since = now
		o.answered, o.broken = 0, 0
	}
	o.answered += answered
	o.broken += broken
	if o.broken < minBroken || o.broken*brokenRatio < o.answered+o.broken {
		return false
	}
	before := o.unsteady(now)
	o.unsteadyUntil = now + unsteadyPeriod
	return !before
}

// unsteady reports whether too many requests were broken off recently.
func (o *outcomes) unsteady(now time.Duration) bool { return now < o.unsteadyUntil }

// countLost counts the requests in progress as broken off when the target has died,
// unless it had announced that it leaves.
func (e *Engine) countLost(now time.Duration) {
	if !e.target.draining {
		e.countBroken(now, e.load.running+e.load.uploads)
	}
}

// countBroken counts requests that ended without an answer.
func (e *Engine) countBroken(now time.Duration, n int) {
	if !e.outcomes.add(now, 0, n) {
		return
	}
	e.noteDecision(now, Decision{Verdict: TargetUnsteady, AnsweredRequests: e.outcomes.answered, BrokenRequests: e.outcomes.broken})
	e.cfg.Out.Report()
}
