package flowtable

import (
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/patience"
	"bergamotstall/internal/passthrough/peer"
)

// Callers' goals: package patience decides who goes first and who may not wait on; the
// functions here give it what the agent knows. Callers of routes without a goal are held
// for Policy.MaxWait, as they are where goals aren't in force.

// openingCaller returns the caller that sent a first packet. Of the packet's copies only
// those are expected here that are sent from now on: the packet may have been held at
// another agent, which got the earlier ones.
func (e *Engine) openingCaller(now time.Duration, p arrival) patience.Caller {
	c := e.requestCaller(p)
	c.Opening = true
	c.LastCopy = now - p.firstSentAt
	return c
}

// noteCopy records that a copy of a held first packet has arrived: its caller still waits. The
// newest copy is the one that goes on, or back to the balancer that sent it: the one before may
// be gone.
func (e *Engine) noteCopy(now time.Duration, q *queueEntry, p arrival) {
	if !e.goesByGoal(q) {
		return
	}
	q.caller.LastCopy = max(q.caller.LastCopy, now-p.firstSentAt)
	if p.sentAt <= q.sentAt {
		return
	}
	firstSentAt := q.firstSentAt
	q.arrival = p.clone()
	q.firstSentAt = firstSentAt
}

// requestCaller returns the caller that sent a request over an open flow.
func (e *Engine) requestCaller(p arrival) patience.Caller {
	d := e.table.Demand(p.flow.Service)
	if e.cfg.Policy.IgnorePriority {
		d.Priority = 0
	}
	return patience.Caller{Priority: d.Priority, FirstSentAt: p.firstSentAt, HeldSince: p.sentAt, Goal: d.Goal, Timeout: d.Timeout}
}

// hasGoal reports whether the goal of a flow's route is in force.
func (e *Engine) hasGoal(f packet.Flow) bool {
	return e.cfg.Overload.CallerGoals && e.table.Demand(f.Service).Goal > 0
}

// queueGoesByGoals reports whether goals decide on the order of held entries.
func (e *Engine) queueGoesByGoals() bool {
	if !e.cfg.Overload.CallerGoals || e.cfg.Policy.OldestFirst {
		return false
	}
	for i := range e.admission.queue {
		if e.admission.queue[i].caller.Goal > 0 {
			return true
		}
	}
	return false
}

// goesByGoal reports whether a held first packet may wait as long as its caller's goal and
// timeout allow. Requests over open flows have a place in the order only.
func (e *Engine) goesByGoal(q *queueEntry) bool {
	return e.cfg.Overload.CallerGoals && !q.request && q.caller.Goal > 0
}

// isTooLate reports whether the caller of a first packet no longer waits for an answer.
func (e *Engine) isTooLate(now time.Duration, p arrival) bool {
	return e.hasGoal(p.flow) && now-p.firstSentAt >= patience.Limit(e.table.Timeout(p.flow.Service), true)
}

// hasGivenUp reports whether the caller of a held first packet no longer waits for an answer.
// Whoever has is removed by removeExpired.
func (e *Engine) hasGivenUp(now time.Duration, q *queueEntry) bool {
	return e.goesByGoal(q) && now-q.firstSentAt > patience.Limit(q.caller.Timeout, true)
}

// countArrival counts a caller whose answer could be in time: those overtake the others.
func (e *Engine) countArrival(now time.Duration, c patience.Caller) {
	if !e.cfg.Overload.CallerGoals {
		return
	}
	if o := e.outlook(now); c.ClassAt(now, &o) == patience.InTime {
		e.admission.arrivals.Add(now, c.Priority, o.SteadyPace())
	}
}

// judgeNew says whether a first packet that has just arrived may wait.
func (e *Engine) judgeNew(now time.Duration, q *queueEntry) patience.Verdict {
	if !e.goesByGoal(q) {
		return patience.Waits
	}
	e.classify(now)
	o := e.outlook(now)
	q.caller.Classify(now, &o)
	ahead := 0
	for i := range e.admission.queue {
		if e.admission.queue[i].caller.Compare(&q.caller) <= 0 {
			ahead++
		}
	}
	return e.judge(now, q, ahead, &o)
}

// judge says whether a held entry may wait on, with a number of others ahead of it.
func (e *Engine) judge(now time.Duration, q *queueEntry, ahead int, o *patience.Outlook) patience.Verdict {
	if !e.goesByGoal(q) {
		return patience.Waits
	}
	moreUrgent, asUrgent := e.admission.arrivals.Load(now, q.caller.Priority, o.Pace())
	return q.caller.Judge(now, o, ahead, moreUrgent, asUrgent)
}

// classify updates what the answers to all held entries are good for.
func (e *Engine) classify(now time.Duration) {
	o := e.outlook(now)
	for i := range e.admission.queue {
		e.admission.queue[i].caller.Classify(now, &o)
	}
}

// orderByGoals sorts the held entries by their turns.
func (e *Engine) orderByGoals(now time.Duration) {
	if !e.queueGoesByGoals() {
		return
	}
	e.classify(now)
	slices.SortStableFunc(e.admission.queue, func(a, b queueEntry) int { return a.caller.Compare(&b.caller) })
}

// nextByGoals returns the index of the entry whose turn it is.
func (e *Engine) nextByGoals(now time.Duration) int {
	e.classify(now)
	best := 0
	for i := range e.admission.queue {
		if e.admission.queue[i].caller.Compare(&e.admission.queue[best].caller) < 0 {
			best = i
		}
	}
	return best
}

// maxHoldTime is how long a request over an open flow is held: until its caller has given
// up.
func (e *Engine) maxHoldTime(f packet.Flow) time.Duration {
	if timeout := e.table.Timeout(f.Service); e.hasGoal(f) && timeout > 0 {
		return timeout
	}
	return e.maxRequestTime(f)
}

// turnAway returns a first packet to its balancer because its caller can't be served here
// in time. That of a silent caller is dropped: a reset could meet a flow that was opened
// elsewhere meanwhile.
func (e *Engine) turnAway(now time.Duration, p arrival, why patience.Verdict) {
	if why == patience.Silent {
		e.noteDecision(now, Decision{Verdict: FirstDropped, Flow: p.flow, Patience: why, Waited: now - p.sentAt})
		return
	}
	e.cfg.Out.Refuse(p.from, peer.Busy, now-p.sentAt, p.raw)
	e.noteDecision(now, Decision{Verdict: RefusedFirst, Flow: p.flow, Reason: peer.Busy, Patience: why, Waited: now - p.sentAt})
}
