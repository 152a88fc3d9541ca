package flowtable

import (
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/route"
)

// Admission of requests at a target that has no room.
//
// The load it answers: after an outage, in a burst, or while targets are slow, more
// is asked for than the targets can run. A target queues some requests in order of
// arrival and turns the others away. Both hurt: whoever is turned away has spent one
// of its few tries, and the queue makes every later request wait as long as the
// oldest, so that all are late, although the target could serve most of what arrives
// now in time. Requests over flows that are open already come past the placing of
// new flows; they are most of the load, and fill the target's queue by themselves.
//
// So what the target has no slot for waits here: first packets of new flows, and
// requests over open ones. The most urgent route's newest goes first. A caller whose
// first packet waited for MaxWait is told at once, and truly, that nothing ran. A
// request over an open flow is never refused: a reset there tells its caller nothing,
// and a submission would be lost for good.

// Policy holds the thresholds of admission, and switches that take mechanisms away,
// to see what they are worth.
type Policy struct {
	// MaxWait is how long a first packet may wait. Callers give an attempt up
	// after 1.4 s, and some of that may have been spent before.
	MaxWait time.Duration
	// ExpectFor is how long an admitted flow's first request is expected while nothing
	// was observed. ExpectTimes, if above 0, is for how many times the mean handshake it
	// is expected otherwise: callers that have given up send nothing, and each keeps a
	// slot free meanwhile.
	ExpectFor   time.Duration
	ExpectTimes float64
	// ExtraRequests, if above 0, is how many requests more than it has slots a target is
	// given, as a part of the slots, in place of what is observed.
	ExtraRequests float64
	// Unlimited lets all through to the target; PassOpenFlows lets the requests of open
	// flows through; OldestFirst admits in the order of arrival; IgnorePriority ignores
	// which routes are urgent.
	Unlimited, PassOpenFlows, OldestFirst, IgnorePriority bool
}

// DefaultPolicy is the policy in use.
func DefaultPolicy() Policy {
	return Policy{MaxWait: 800 * time.Millisecond, ExpectFor: 60 * time.Millisecond, ExpectTimes: 3}
}

// admission holds what waits and what is expected.
type admission struct {
	queue    []queued
	expected []expected
	// held counts the packets of open flows that wait.
	held int
}

// leastExpected is how long a first request is expected at least: processors that are
// shared take turns.
const leastExpected = 5 * time.Millisecond

// expected is an admitted flow whose first request hasn't come.
type expected struct {
	flow packet.Flow
	at   time.Duration
}

// SetTable tells the engine which routes are urgent.
func (e *Engine) SetTable(t *route.Table) { e.table = t }

// room is how many requests a target is given at once: as many as it has slots, and
// as many as end there during a new flow's handshake, so that no slot is idle
// meanwhile. More would wait in the target's own queue, in order of arrival.
func (e *Engine) room() int {
	slots := int(max(e.target.slots, 1))
	if e.cfg.Policy.ExtraRequests > 0 {
		return slots + max(1, int(e.cfg.Policy.ExtraRequests*float64(slots)))
	}
	return slots + max(1, e.pace.endDuringHandshake(slots))
}

// busy tells whether another request would only wait at the target. A target that hangs
// on some requests runs others well in the slots that it has given up; counted as
// running until their timeout, the ones that hang would have all others wait.
func (e *Engine) busy(now time.Duration) bool {
	e.dropOverdueExpected(now)
	running := max(0, e.load.running-e.load.hung)
	return !e.cfg.Policy.Unlimited && running+len(e.admission.expected) >= e.room()
}

// countHung looks for requests that take many times what others take.
func (e *Engine) countHung(now time.Duration) {
	if now < e.load.hungAt {
		return
	}
	e.load.hungAt = now + hungScan
	e.load.hung = 0
	after := e.pace.hungAfter()
	for _, x := range e.flows {
		if x.running && now-x.runningAt > after {
			e.load.hung++
		}
	}
}

// tickAdmission refuses what has waited too long, or waits for a target that
// takes no more, and stops expecting requests that don't come.
func (e *Engine) tickAdmission(now time.Duration) {
	e.dropOverdue(now)
	e.countHung(now)
	e.dropOverdueExpected(now)
	e.admitQueued(now)
}

// expectFor is how long an admitted flow's first request is expected.
func (e *Engine) expectFor() time.Duration {
	times, handshake := e.cfg.Policy.ExpectTimes, e.pace.handshake
	if times <= 0 || handshake == 0 {
		return e.cfg.Policy.ExpectFor
	}
	return max(leastExpected, time.Duration(times*float64(handshake)))
}

// dropOverdueExpected stops expecting requests that don't come.
func (e *Engine) dropOverdueExpected(now time.Duration) {
	after := e.expectFor()
	e.admission.expected = slices.DeleteFunc(e.admission.expected, func(x expected) bool { return now-x.at >= after })
}

// NextTick returns when the engine is to be let know of the time again: after the usual
// interval, or sooner while something waits for a request that may not come.
func (e *Engine) NextTick(usual time.Duration) time.Duration {
	if len(e.admission.queue) == 0 || len(e.admission.expected) == 0 {
		return usual
	}
	return min(usual, e.expectFor())
}

// expect notes that an admitted flow's request is about to come.
func (e *Engine) expect(now time.Duration, f packet.Flow) {
	e.admission.expected = append(e.admission.expected, expected{f, now})
}

// came notes that a flow's request has come, or won't. It returns since when it was
// expected; false if it wasn't.
func (e *Engine) came(f packet.Flow) (time.Duration, bool) {
	for i, x := range e.admission.expected {
		if x.flow == f {
			e.admission.expected = append(e.admission.expected[:i], e.admission.expected[i+1:]...)
			return x.at, true
		}
	}
	return 0, false
}
