package flowtable

import (
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/patience"
	"bergamotstall/internal/passthrough/route"
)

// Admission control for a target that has no room.
//
// After an outage, in a burst, or while targets are slow, callers ask for more than the
// targets can run. A target queues some requests in order of arrival and rejects the
// others. Both hurt: a rejected caller has spent one of its few attempts, and behind the
// queue every request waits as long as the oldest one, so that all are late, although the
// target could serve most of what arrives now in time. Requests over open flows don't
// pass the balancers' placement of new flows; they are most of the load and fill the
// target's queue alone.
//
// Therefore the agent holds what the target has no slot for: first packets of new flows,
// and requests over open ones. The newest entry of the most urgent route goes first. A
// caller whose first packet was held for MaxWait is told at once that nothing ran, which
// is true. A request over an open flow is never refused: a reset wouldn't tell its caller
// whether the request ran, and a submission would be lost for good.
//
// Where a route states a goal and goals are in force (goals.go), they replace MaxWait and the
// order within a route, and a caller without a turn in its time is refused on arrival.

// Policy holds the thresholds of admission, and switches that turn single mechanisms off
// to compare the results without them.
type Policy struct {
	// MaxWait is how long a first packet may be held. Callers give an attempt up after
	// 1.4 s, part of which may have passed before the packet arrived.
	MaxWait time.Duration
	// ExpectFor is how long an admitted flow's first request is expected as long as no
	// handshake was observed. After that, if ExpectTimes is above 0, it is expected for
	// ExpectTimes times the mean handshake time. Callers that have given up send nothing,
	// and each keeps a slot free until then.
	ExpectFor   time.Duration
	ExpectTimes float64
	// ExtraRequests, if above 0, is how many requests beyond its slots a target is given, as a
	// fraction of the slots. It replaces the number that follows from observed latencies.
	ExtraRequests float64
	// Unlimited passes everything to the target; PassOpenFlows passes the requests of open
	// flows; OldestFirst admits in order of arrival; IgnorePriority ignores the routes'
	// priorities; IgnoreCapacity gives the target as many requests as it has slots, however
	// few it was learned to run well.
	Unlimited, PassOpenFlows, OldestFirst, IgnorePriority, IgnoreCapacity bool
}

// DefaultPolicy returns the policy used in production.
func DefaultPolicy() Policy {
	return Policy{MaxWait: 800 * time.Millisecond, ExpectFor: 60 * time.Millisecond, ExpectTimes: 3}
}

// admission is the state of admission control: what is held and what is expected.
type admission struct {
	queue    []queueEntry
	expected []expectedRequest
	// heldRequestPackets is the number of held packets of open flows.
	heldRequestPackets int
	// arrivals are the rates of callers whose answers could still be in time.
	arrivals patience.Arrivals
}

// minExpectTime is the least time for which a first request is expected: on shared
// processors a caller may have to wait for its turn to run.
const minExpectTime = 5 * time.Millisecond

// expectedRequest is an admitted flow whose first request hasn't arrived.
type expectedRequest struct {
	flow  packet.Flow
	since time.Duration
}

// SetTable sets the route table, which has the routes' priorities, timeouts and regions.
func (e *Engine) SetTable(t *route.Table) { e.table = t }

// capacity is how many requests a target is given at once: as many as it has slots to use, plus
// as many as finish during the handshake of a new flow, so that no slot is idle
// meanwhile. More would wait in the target's own queue, in order of arrival.
func (e *Engine) capacity() int {
	slots := e.slotsToUse()
	if e.cfg.Policy.ExtraRequests > 0 {
		return slots + max(1, int(e.cfg.Policy.ExtraRequests*float64(slots)))
	}
	return slots + max(1, e.latencies.completionsPerHandshake(slots))
}

// busy reports whether one more request would only wait at the target. Hung requests
// don't count: a target that hangs on some requests still runs others in the slots that
// it has given up, and if hung ones counted until their timeout, all others would have to
// wait.
func (e *Engine) busy(now time.Duration) bool {
	e.expireExpected(now)
	running := max(0, e.load.running-e.load.hung)
	return !e.cfg.Policy.Unlimited && running+len(e.admission.expected) >= e.capacity()
}

// countHung counts the requests that take many times the mean.
func (e *Engine) countHung(now time.Duration) {
	if now < e.load.nextHungScan {
		return
	}
	e.load.nextHungScan = now + hungScanInterval
	e.load.hung = 0
	after := e.latencies.hungAfter()
	for f, x := range e.flows {
		if x.running && !x.bulk && now-x.runningAt > after {
			e.load.hung++
			e.learner.Overdue(now, f)
		}
	}
}

// tickAdmission refuses first packets that were held for too long or can't be admitted
// any more, stops expecting requests that don't arrive, and admits what there is room
// for.
func (e *Engine) tickAdmission(now time.Duration) {
	e.removeExpired(now)
	e.countHung(now)
	e.expireExpected(now)
	e.admitQueued(now)
}

// expectTimeout is how long an admitted flow's first request is expected.
func (e *Engine) expectTimeout() time.Duration {
	times, handshake := e.cfg.Policy.ExpectTimes, e.latencies.handshake
	if times <= 0 || handshake == 0 {
		return e.cfg.Policy.ExpectFor
	}
	return max(minExpectTime, time.Duration(times*float64(handshake)))
}

// expireExpected stops expecting requests that haven't arrived in time.
func (e *Engine) expireExpected(now time.Duration) {
	after := e.expectTimeout()
	e.admission.expected = slices.DeleteFunc(e.admission.expected, func(x expectedRequest) bool { return now-x.since >= after })
}

// NextTick returns the time until the next call of Tick: the usual interval, or less
// while something is held for an expected request that may not arrive.
func (e *Engine) NextTick(usual time.Duration) time.Duration {
	if len(e.admission.queue) == 0 || len(e.admission.expected) == 0 {
		return usual
	}
	return min(usual, e.expectTimeout())
}

// expect records that an admitted flow's request is about to arrive.
func (e *Engine) expect(now time.Duration, f packet.Flow) {
	e.admission.expected = append(e.admission.expected, expectedRequest{f, now})
}

// stopExpecting records that a flow's request has arrived, or won't. It returns since
// when the request was expected, and false if it wasn't.
func (e *Engine) stopExpecting(f packet.Flow) (time.Duration, bool) {
	for i, x := range e.admission.expected {
		if x.flow == f {
			e.admission.expected = append(e.admission.expected[:i], e.admission.expected[i+1:]...)
			return x.since, true
		}
	}
	return 0, false
}
