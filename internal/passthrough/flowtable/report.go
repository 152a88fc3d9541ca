package flowtable

import (
	"time"

	"bergamotstall/internal/passthrough/peer"
)

// Empty reports whether there is certainly no target that could hold flows.
func (e *Engine) Empty(now time.Duration) bool { return e.empty(now) }

// empty reports whether there is certainly no target that could hold flows.
func (e *Engine) empty(now time.Duration) bool {
	return !e.target.known && (e.target.notListening || e.silentFor(now, max(e.target.leftAt, e.startedAt)) >= e.absenceTimeout())
}

// absenceTimeout is how long an agent without a target waits before it reports that there
// is none: a live target announces itself twice in this time. Until the report, balancers
// don't reset flows that no agent holds.
func (e *Engine) absenceTimeout() time.Duration {
	if e.target.leftAt > 0 {
		return 0
	}
	return e.announcementTimeout()
}

// announcementTimeout is the age of an announcement at which two more should have
// arrived.
func (e *Engine) announcementTimeout() time.Duration {
	return max(minCrashTimeout, 2*e.cfg.Heartbeat+e.cfg.Heartbeat/4)
}

// Report returns the next report to balancers.
func (e *Engine) Report(now time.Duration) peer.Report {
	e.reportNumber++
	t := &e.target
	r := peer.Report{
		Process: e.cfg.Process, Sequence: e.reportNumber, Zone: e.cfg.Zone, Leaving: e.leaving,
		Slots: t.slots, Running: uint32(e.load.running + len(e.admission.queue)), Load: uint32(e.load.meanRunning * 100), Flows: uint32(e.load.flows),
	}
	if t.known {
		r.Service = uint64(t.service)
		r.Incarnation = t.born
		r.AcceptsFlows = !t.draining && !t.silent && !e.leaving && !e.evacuated && !e.coldFull(now)
	}
	r.NoTarget = e.empty(now)
	r.Unsteady = e.outcomes.unsteady(now)
	if e.cfg.Overload.CallerGoals || e.cfg.Overload.FairShares {
		r.WaitMS = uint32(e.expectedWait(now).Milliseconds())
		r.Waiting = e.appendWaiting(nil)
	}
	e.reportLearned(now, &r)
	if t.coldUntil > now {
		r.ColdMS = uint32((t.coldUntil - now).Milliseconds())
	}
	return r
}
