package flowtable

import (
	"net/netip"
	"time"

	"bergamotstall/internal/pass/packet"
	"bergamotstall/internal/pass/peer"
	"bergamotstall/internal/pass/route"
)

// Admission of new flows at a target that has no room.
//
// The load it answers: after an outage, or in a burst, more flows are opened at
// once than the targets have slots. A target queues a few requests in order of
// arrival and turns the others away. Both hurt: whoever is turned away has spent
// one of its few tries, and the queue makes every later request wait as long as
// the oldest, so that all are late until the backlog is gone, although the
// target could serve what arrives now in time.
//
// So first packets wait here while the target is busy, and the most urgent
// route's newest goes first: its caller can still be answered in time, and the
// older ones are late whatever happens. A caller whose first packet waited for
// MaxWait is told at once, and truly, that nothing ran.
//
// Policy holds the thresholds.
type Policy struct {
	// MaxWait is how long a first packet may wait. Callers give an attempt up
	// after 1.4 s, and some of that may have been spent before.
	MaxWait time.Duration
	// ExpectFor is how long an admitted flow's first request is expected: two
	// round trips to a caller in the same region, with room for a slow one.
	ExpectFor time.Duration
	// Ahead is how many requests more than it has slots a target is given, as a
	// part of the slots, so that none is idle during the handshake of the next
	// flow.
	Ahead float64
	// Unlimited lets all through to the target; OldestFirst admits in the order
	// of arrival; Unranked ignores which routes are urgent.
	Unlimited, OldestFirst, Unranked bool
}

// DefaultPolicy is the policy in use.
func DefaultPolicy() Policy {
	return Policy{MaxWait: 800 * time.Millisecond, ExpectFor: 60 * time.Millisecond, Ahead: 0.5}
}

// maxQueue bounds the first packets that wait at one target.
const maxQueue = 1_024

// firstPacket is a client's first packet of a flow, or a copy of it.
type firstPacket struct {
	flow packet.Flow
	// from is the balancer that sent it.
	from netip.AddrPort
	raw  []byte
	// sentAt is when the client sent it, begunAt when it began to open the flow,
	// as far as is known. After an outage balancers hold many that are old; taken
	// for new they would go before those that can still be answered in time.
	sentAt, begunAt time.Duration
}

func firstOf(p packet.Packet, sentAt time.Duration, from netip.AddrPort, raw []byte) firstPacket {
	return firstPacket{flow: p.FromClient(), from: from, raw: raw, sentAt: sentAt, begunAt: sentAt - p.SinceFirst()}
}

// kept is the packet with bytes of its own.
func (p firstPacket) kept() firstPacket {
	p.raw = append([]byte(nil), p.raw...)
	return p
}

// unanswered is a first packet that the target has had since a moment and hasn't
// answered.
type unanswered struct {
	firstPacket
	since time.Duration
}

// queued is a first packet that waits.
type queued struct {
	firstPacket
	urgency uint32
}

// expected is an admitted flow whose first request hasn't come.
type expected struct {
	flow packet.Flow
	at   time.Duration
}

// admission holds what waits and what is expected.
type admission struct {
	queue    []queued
	expected []expected
}

// SetTable tells the engine which routes are urgent.
func (e *Engine) SetTable(t *route.Table) { e.table = t }

// room is how many requests a target is given at once.
func (p *Policy) room(slots uint32) int {
	n := int(max(slots, 1))
	return n + max(1, int(p.Ahead*float64(n)))
}

// busy tells whether another flow's request would only wait at the target.
func (e *Engine) busy() bool {
	return !e.cfg.Policy.Unlimited && e.load.running+len(e.admission.expected) >= e.cfg.Policy.room(e.target.slots)
}

// queueFirst lets a first packet wait; false if there is no room to.
func (e *Engine) queueFirst(p firstPacket) bool {
	for i := range e.admission.queue {
		if e.admission.queue[i].flow == p.flow {
			return true // a copy
		}
	}
	if len(e.admission.queue) >= maxQueue {
		return false
	}
	e.admission.queue = append(e.admission.queue, queued{firstPacket: p.kept(), urgency: e.table.Priority(p.flow.Service)})
	return true
}

// admitQueued admits what there is room for.
func (e *Engine) admitQueued(now time.Duration) {
	for len(e.admission.queue) > 0 && !e.busy() && !e.target.silent && !e.target.draining {
		q := e.takeNext()
		e.cfg.Out.Admitted(now - q.begunAt)
		e.admit(now, q.firstPacket)
	}
}

// before tells whether one first packet goes before another.
func (p *Policy) before(q, other *queued) bool {
	if q.urgency != other.urgency && !p.Unranked {
		return q.urgency < other.urgency
	}
	if p.OldestFirst {
		return q.begunAt < other.begunAt
	}
	return q.begunAt >= other.begunAt
}

// takeNext removes the newest first packet of the most urgent route.
func (e *Engine) takeNext() queued {
	best := 0
	for i := range e.admission.queue {
		if e.cfg.Policy.before(&e.admission.queue[i], &e.admission.queue[best]) {
			best = i
		}
	}
	q := e.admission.queue[best]
	e.admission.queue = append(e.admission.queue[:best], e.admission.queue[best+1:]...)
	return q
}

// tickAdmission refuses what has waited too long, or waits for a target that
// takes no more, and stops expecting requests that don't come.
func (e *Engine) tickAdmission(now time.Duration) {
	kept := e.admission.queue[:0]
	for _, q := range e.admission.queue {
		why := e.whyNot(now, q)
		if why == 0 {
			kept = append(kept, q)
			continue
		}
		e.refuseFirst(now, q.firstPacket, why)
	}
	e.admission.queue = kept
	still := e.admission.expected[:0]
	for _, x := range e.admission.expected {
		if now-x.at < e.cfg.Policy.ExpectFor {
			still = append(still, x)
		}
	}
	e.admission.expected = still
	e.admitQueued(now)
}

// refuseFirst hands a first packet back.
func (e *Engine) refuseFirst(now time.Duration, p firstPacket, why peer.Reason) {
	e.refuse(now, p.from, p.flow, packet.Packet{Flags: packet.SYN}, why, p.sentAt, p.raw)
}

// whyNot tells why a first packet needn't wait any longer; 0 if it may.
func (e *Engine) whyNot(now time.Duration, q queued) peer.Reason {
	switch {
	case !e.target.known:
		return peer.NoTarget
	case e.target.draining || e.leaving:
		return peer.Draining
	case e.target.silent:
		return peer.Silent
	case now-q.begunAt > e.cfg.Policy.MaxWait:
		return peer.Busy
	}
	return 0
}

// expect notes that an admitted flow's request is about to come.
func (e *Engine) expect(now time.Duration, f packet.Flow) {
	e.admission.expected = append(e.admission.expected, expected{f, now})
}

// came notes that a flow's request has come, or won't.
func (e *Engine) came(f packet.Flow) {
	for i, x := range e.admission.expected {
		if x.flow == f {
			e.admission.expected = append(e.admission.expected[:i], e.admission.expected[i+1:]...)
			return
		}
	}
}
