package flowtable

import (
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// Tick runs the engine's timers. It must be called regularly, see NextTick.
func (e *Engine) Tick(now time.Duration) {
	if e.pauses.tick(now) {
		e.sweepAt = now + sweepInterval // packets of old flows may wait to be read
	}
	e.load.updateMean(now)
	e.expireUnanswered(now)
	e.tickAdmission(now)
	e.tickShares(now)
	e.applyRecalls(now)
	t := &e.target
	if t.known && t.leftAt > 0 && e.silentFor(now, t.leftAt) > exitGrace {
		e.resetAll(now)
		t.known = false
		e.cfg.Out.Report()
	}
	if t.known && t.silent && e.dead(now) {
		e.noteDecision(now, Decision{Verdict: TargetDead, Flows: e.load.flows})
		e.resetAll(now)
	}
	if now >= e.sweepAt {
		e.sweepAt = now + sweepInterval
		e.sweep(now)
	}
}

// dead reports whether a target that owes an answer is certainly gone: its announcements
// have stopped too. A target that is only slow still announces itself.
func (e *Engine) dead(now time.Duration) bool {
	return len(e.flows) > 0 && e.announcementsOverdue(now) && e.silentFor(now, e.target.lastSeenAt) > minCrashTimeout
}

// expireUnanswered returns the first packets that the target hasn't answered in time, so
// that another target can answer well before the caller gives up.
func (e *Engine) expireUnanswered(now time.Duration) {
	for f, w := range e.unanswered {
		if e.silentFor(now, w.since) < firstPacketTimeout {
			continue
		}
		delete(e.unanswered, f)
		e.stopExpecting(f)
		e.removeFlow(f)
		if !e.target.silent && e.target.lastSeenAt < w.since {
			e.target.silent = true
			e.noteDecision(now, Decision{Verdict: TargetSilent, Flow: f})
			e.cfg.Out.Report()
		}
		e.cfg.Codec.SetTag(w.raw, 0)
		e.refuseFirst(now, w.arrival, peer.TargetSilent)
	}
}

// resetAll resets all flows of a target that is gone, so that callers don't wait until
// their deadline.
func (e *Engine) resetAll(now time.Duration) {
	e.resetFlows(now, func(flow) bool { return true })
	e.unanswered = map[packet.Flow]unansweredFirst{}
	e.admission.expected = nil
}

// resetFlows resets and forgets the flows for which gone returns true.
func (e *Engine) resetFlows(now time.Duration, gone func(flow) bool) {
	n := 0
	for f, x := range e.flows {
		if !gone(x) {
			continue
		}
		if x.stage == open || x.stage == halfOpen {
			e.cfg.Out.Reset(f, x.clientAck)
			n++
		}
		e.stopExpecting(f)
		e.removeFlow(f)
	}
	if n > 0 {
		e.noteDecision(now, Decision{Verdict: FlowsReset, Flows: n})
	}
}

// sweepInterval is the time between two sweeps.
const sweepInterval = time.Second

const (
	// defaultRequestTimeout is used for a route that the agent doesn't know yet.
	defaultRequestTimeout = 10 * time.Second
	// requestGrace is how much longer than its route's timeout a request may count as in
	// progress: by then its caller has given up, and so will the target.
	requestGrace = time.Second
)

// maxRequestTime is how long a request of the flow can be in progress.
func (e *Engine) maxRequestTime(f packet.Flow) time.Duration {
	if timeout := e.table.Timeout(f.Service); timeout > 0 {
		return timeout + requestGrace
	}
	return defaultRequestTimeout
}

// sweep forgets flows whose time to live has passed and ends requests that ran for too
// long.
func (e *Engine) sweep(now time.Duration) {
	for f, x := range e.flows {
		ttl := openFlowTTL
		switch x.stage {
		case halfOpen:
			ttl = halfOpenFlowTTL
		case ended:
			ttl = endedFlowTTL
		case notHeld:
			ttl = notHeldTTL
		}
		switch {
		case now-x.seenAt > ttl:
			e.removeFlow(f)
		case x.running && now-x.runningAt > e.maxRequestTime(f):
			x.running = false
			e.storeFlow(f, x)
		}
	}
}
