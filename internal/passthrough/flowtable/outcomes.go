package flowtable

import "time"

// A target that goes down and up, or that breaks requests off while it announces
// itself well, looks best when it is worst: it has next to nothing in progress.
// Placement by load alone would send it more than its share, and callers would
// spend all their tries there. The agent sees each request go in and whether an
// answer begins, so it tells balancers when too many end without one.
const (
	// outcomesWindow is over how long outcomes are counted: a target of two slots
	// ends some thirty requests in it.
	outcomesWindow = time.Second
	// brokenEnough and brokenShare are how many requests, and which part of all,
	// must have been broken off: three in a row of few, a quarter of many. Targets
	// that are well break none off.
	brokenEnough = 3
	brokenShare  = 4
	// unsteadyFor is how long a target counts as unsteady after that. Targets that
	// go down and up by turns of a second or two stay so through their good times.
	unsteadyFor = 3 * time.Second
)

// outcomes counts how the target's requests end.
type outcomes struct {
	since            time.Duration
	answered, broken int
	unsteadyTill     time.Duration
}

// note counts requests that were answered, and that were broken off. It tells
// whether the target has just become unsteady.
func (o *outcomes) note(now time.Duration, answered, broken int) bool {
	if now-o.since > outcomesWindow {
		o.since = now
		o.answered, o.broken = 0, 0
	}
	o.answered += answered
	o.broken += broken
	if o.broken < brokenEnough || o.broken*brokenShare < o.answered+o.broken {
		return false
	}
	before := o.unsteady(now)
	o.unsteadyTill = now + unsteadyFor
	return !before
}

// unsteady tells whether too many requests were broken off of late.
func (o *outcomes) unsteady(now time.Duration) bool { return now < o.unsteadyTill }

// died notes the end of the target here, unless it had said that it leaves: what
// was in progress is lost.
func (e *Engine) died(now time.Duration) {
	if !e.target.draining {
		e.brokeOff(now, e.load.running)
	}
}

// brokeOff notes requests that ended without an answer.
func (e *Engine) brokeOff(now time.Duration, n int) {
	if !e.outcomes.note(now, 0, n) {
		return
	}
	e.note(now, Decision{Verdict: TargetUnsteady, Answered: e.outcomes.answered, Broken: e.outcomes.broken})
	e.cfg.Out.Report()
}
