package flowtable

import (
	"time"

	"bergamotstall/internal/passthrough/peer"
)

// Empty tells whether no target is there that could hold flows.
func (e *Engine) Empty(now time.Duration) bool { return e.empty(now) }

// empty tells whether no target is there that could hold flows.
func (e *Engine) empty(now time.Duration) bool {
	return !e.target.known && (e.target.absent || now-max(e.target.leftAt, e.startedAt) >= e.unannounced())
}

// unannounced is how long an agent without a target waits before it says that
// there is none: a target that lives announces itself twice meanwhile. Until
// then a balancer doesn't reset flows that nobody claims.
func (e *Engine) unannounced() time.Duration {
	if e.target.leftAt > 0 {
		return 0
	}
	return e.overdue()
}

// overdue is the age of an announcement at which two more should have come.
func (e *Engine) overdue() time.Duration {
	return max(crashPatience, 2*e.cfg.Heartbeat+e.cfg.Heartbeat/4)
}

// Report returns what balancers are told now.
func (e *Engine) Report(now time.Duration) peer.Report {
	e.number++
	t := &e.target
	r := peer.Report{
		Process: e.cfg.Process, Sequence: e.number, Zone: e.cfg.Zone, Leaving: e.leaving,
		Slots: t.slots, Running: uint32(e.load.running + len(e.admission.queue)), Load: uint32(e.load.mean * 100), Flows: uint32(e.load.flows),
	}
	if t.known {
		r.Service = uint64(t.service)
		r.Incarnation = t.born
		r.AcceptsFlows = !t.draining && !t.silent && !e.leaving && !e.evacuated && !e.coldFull(now)
	}
	r.NoTarget = e.empty(now)
	r.Unsteady = e.outcomes.unsteady(now)
	if t.coldTill > now {
		r.ColdMS = uint32((t.coldTill - now).Milliseconds())
	}
	return r
}
