package flowtable

import (
	"encoding/binary"
	"math"
	"time"

	"bergamotstall/internal/passthrough/capacity"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// What the agent learns of its target (package capacity) does two things: it is reported, so
// that balancers place flows by expected waits, and fewer requests are given to a target that
// slows down before its slots are taken. It never raises what admission allows.

// noteRequest tells the learner that a flow's request has begun or ended at the target. It is
// called for each change of a flow. Requests with large bodies aren't learned from, because
// they take as long as their clients' links need, and neither are those of a cold target,
// whose slowness passes and is accounted for.
func (e *Engine) noteRequest(f packet.Flow, before, after flow) {
	switch {
	case !e.cfg.Overload.LearnedCapacity || before.running == after.running:
	case before.running:
		e.learner.Drop(max(before.seenAt, after.seenAt), f)
	case e.table.Demand(f.Service).Kind.Bulk(), after.runningAt < e.target.coldUntil:
		e.learner.Occupy(after.runningAt, f)
	default:
		e.learner.Begin(after.runningAt, f)
	}
}

// noteAnswer tells the learner that the target has answered a request. Answers of a target
// that breaks many requests off say nothing about how fast it is.
func (e *Engine) noteAnswer(now time.Duration, f packet.Flow) {
	if e.outcomes.unsteady(now) {
		e.learner.Drop(now, f)
		return
	}
	e.learner.Answered(now, f)
	e.noteCapacity(now)
}

// limitLogInterval is the least time between two log lines of the limit.
const limitLogInterval = 10 * time.Second

// noteCapacity logs when the number of requests that the target is given has changed because
// of what was learned.
func (e *Engine) noteCapacity(now time.Duration) {
	limit := e.learner.Limit()
	if limit == e.loggedLimit || e.limitLoggedAt > 0 && now-e.limitLoggedAt < limitLogInterval {
		return
	}
	e.loggedLimit, e.limitLoggedAt = limit, now
	service, _ := e.learner.Service(now)
	e.noteDecision(now, Decision{Verdict: CapacityLearned, Limit: e.usableSlots(), Service: service})
}

// usableSlots is how many of the target's slots are worth using.
func (e *Engine) usableSlots() int {
	slots := int(max(e.target.slots, 1))
	if limit := e.learner.Limit(); limit > 0 && !e.cfg.Policy.IgnoreCapacity {
		return min(slots, limit)
	}
	return slots
}

// slotsToUse is how many slots the target is given requests for now.
func (e *Engine) slotsToUse() int {
	if e.learner.Trial() {
		return int(max(e.target.slots, 1))
	}
	return e.usableSlots()
}

// LearnedCapacity returns what was learned of the target: how many requests it runs at full
// speed, its slots unless fewer, and the service time of a request, 0 if that isn't known.
func (e *Engine) LearnedCapacity(now time.Duration) (requests float64, service time.Duration) {
	requests = e.learner.Capacity()
	if requests == 0 {
		requests = float64(e.target.slots)
	}
	service, _ = e.learner.Service(now)
	return requests, service
}

// reportLearned adds what was learned to a report. While the target breaks many requests off,
// its speed isn't reported: what it does answer, it may answer fast.
func (e *Engine) reportLearned(now time.Duration, r *peer.Report) {
	if !e.target.known {
		return
	}
	r.Capacity = uint32(math.Round(100 * e.learner.Capacity()))
	if !r.Unsteady {
		service, at := e.learner.Service(now)
		r.ServiceMicros, r.ServiceRoute = uint32(min(service.Microseconds(), math.MaxUint32)), routeNumber(at)
	}
}

// routeNumber returns the number that stands for a route in reports.
func routeNumber(at packet.Endpoint) uint64 {
	return uint64(binary.BigEndian.Uint32(at.IP[:]))<<16 | uint64(at.Port)
}

// forgetLearned forgets what was learned of the target's predecessor: another process may be
// faster or slower.
func (e *Engine) forgetLearned() {
	e.learner = capacity.Learner{}
	e.loggedLimit = 0
}
