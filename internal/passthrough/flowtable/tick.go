package flowtable

import (
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// Tick lets time pass.
func (e *Engine) Tick(now time.Duration) {
	e.load.settle(now)
	e.rescue(now)
	e.tickAdmission(now)
	e.settleRecall(now)
	t := &e.target
	if t.known && t.leftAt > 0 && now-t.leftAt > afterLeft {
		e.resetAll(now)
		t.known = false
		e.cfg.Out.Report()
	}
	if t.known && t.silent && e.dead(now) {
		e.note(now, Decision{Verdict: TargetDead, Flows: e.load.flows})
		e.resetAll(now)
	}
	if now >= e.sweepAt {
		e.sweepAt = now + time.Second
		e.sweep(now)
	}
}

// dead tells whether the target is gone for sure: it owes an answer, and its
// announcements have stopped too. A target that is only slow still announces
// itself.
func (e *Engine) dead(now time.Duration) bool {
	return len(e.flows) > 0 && now-e.target.announcedAt > e.overdue() && now-e.target.lifeAt > crashPatience
}

// rescue hands first packets back that the target hasn't answered in time, so
// that another target answers the caller well within its patience.
func (e *Engine) rescue(now time.Duration) {
	for f, w := range e.waiting {
		if now-w.since < firstPatience {
			continue
		}
		delete(e.waiting, f)
		e.came(f)
		e.remove(f)
		if !e.target.silent && e.target.lifeAt < w.since {
			e.target.silent = true
			e.note(now, Decision{Verdict: TargetSilent, Flow: f})
			e.cfg.Out.Report()
		}
		e.cfg.Codec.SetTag(w.raw, 0)
		e.refuseFirst(now, w.arrival, peer.Silent)
	}
}

// resetAll resets the flows of a target that is gone, so that callers needn't
// wait for their deadline.
func (e *Engine) resetAll(now time.Duration) {
	e.resetFlows(now, func(flow) bool { return true })
	e.waiting = map[packet.Flow]unanswered{}
	e.admission.expected = nil
}

// resetFlows resets and forgets the flows that are gone.
func (e *Engine) resetFlows(now time.Duration, gone func(flow) bool) {
	n := 0
	for f, x := range e.flows {
		if !gone(x) {
			continue
		}
		if x.stage == open || x.stage == opening {
			e.cfg.Out.Reset(f, x.ack)
			n++
		}
		e.came(f)
		e.remove(f)
	}
	if n > 0 {
		e.note(now, Decision{Verdict: FlowsReset, Flows: n})
	}
}

const (
	// unknownTimeout stands for the timeout of a route that the agent doesn't
	// know yet.
	unknownTimeout = 10 * time.Second
	// overtime is how much longer than its route's timeout a request may count as
	// in progress: its caller has left by then, and so will the target.
	overtime = time.Second
)

// longest is how long a request of the flow can be in progress.
func (e *Engine) longest(f packet.Flow) time.Duration {
	if timeout := e.table.Timeout(f.Service); timeout > 0 {
		return timeout + overtime
	}
	return unknownTimeout
}

// sweep forgets what is long over.
func (e *Engine) sweep(now time.Duration) {
	for f, x := range e.flows {
		kept := openKept
		switch x.stage {
		case opening:
			kept = halfOpenKept
		case ended:
			kept = endedKept
		case lacking:
			kept = lacksKept
		}
		switch {
		case now-x.seenAt > kept:
			e.remove(f)
		case x.running && now-x.runningAt > e.longest(f):
			x.running = false
			e.put(f, x)
		}
	}
}
