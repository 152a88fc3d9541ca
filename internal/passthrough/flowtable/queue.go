package flowtable

import (
	"net/netip"
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/patience"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

const (
	// maxQueue bounds the flows that are held for one target.
	maxQueue = 1_024
	// maxHeldRequestPackets bounds the held packets of open flows, 1.3 kB each.
	// maxHeldPacketsPerRequest bounds those of one request after its first packet, at the
	// number that a client has in flight. A request's packets beyond that are dropped and retransmitted; further
	// requests go on to the target.
	maxHeldRequestPackets    = 2_048
	maxHeldPacketsPerRequest = 16
)

// arrival is a client's packet that starts something: the first packet of a flow, a
// retransmission of it, or the first packet seen of a request over an open flow.
type arrival struct {
	flow packet.Flow
	// service is the one that a first packet was placed for.
	service route.ServiceID
	// from is the balancer that sent it.
	from netip.AddrPort
	raw  []byte
	// sentAt is when the client sent the packet, firstSentAt when it sent the flow's first
	// packet, or the first one of the request, for the first time, as far as known. After an outage balancers hold many old
	// packets; if these counted as new, they would precede those that can still be
	// answered in time.
	sentAt, firstSentAt time.Duration
}

func newFirst(p packet.Packet, h peer.Header, now time.Duration, from netip.AddrPort, raw []byte) arrival {
	sentAt := now - h.Waited()
	return arrival{flow: p.FromClient(), service: h.Service, from: from, raw: raw, sentAt: sentAt, firstSentAt: sentAt - p.SinceFirst()}
}

// clone returns the packet with its own copy of the bytes.
func (p arrival) clone() arrival {
	p.raw = append([]byte(nil), p.raw...)
	return p
}

// unansweredFirst is a first packet that was sent to the target at since and hasn't been
// answered.
type unansweredFirst struct {
	arrival
	since time.Duration
}

// queueEntry is a held first packet or a held request over an open flow.
type queueEntry struct {
	arrival
	// caller is the one who waits, as package patience judges it.
	caller patience.Caller
	// request is set for a request over an open flow. Then seq is the sequence number of
	// the packet's data, more are the request's other packets, and expiresAt is when its
	// caller gives up.
	request   bool
	seq       uint32
	more      []heldPacket
	expiresAt time.Duration
}

// heldPacket is one packet of a request with the sequence number of its data.
type heldPacket struct {
	seq uint32
	raw []byte
}

// has reports whether the packet with the given sequence number is held already.
func (q *queueEntry) has(seq uint32) bool {
	return q.seq == seq || slices.ContainsFunc(q.more, func(h heldPacket) bool { return h.seq == seq })
}

// precedes reports whether q is admitted before other: the more urgent route first, then the
// client that has had less of its share, and then the newest first, because its caller can
// still be answered in time. In order of arrival a backlog would make all of them late.
func (p *Policy) precedes(q, other *queueEntry) bool {
	if q.caller.Priority != other.caller.Priority {
		return q.caller.Priority < other.caller.Priority
	}
	if q.caller.Share != other.caller.Share {
		return q.caller.Share < other.caller.Share
	}
	if p.OldestFirst {
		return q.firstSentAt < other.firstSentAt
	}
	return q.firstSentAt >= other.firstSentAt
}

// enqueueFirst holds a first packet, or refuses it if the queue is full or its turn would
// come too late.
func (e *Engine) enqueueFirst(now time.Duration, p arrival) {
	if at := e.queueIndex(p.flow); at >= 0 {
		e.noteCopy(now, &e.admission.queue[at], p)
		return
	}
	q := queueEntry{arrival: p, caller: e.openingCaller(now, p)}
	q.caller.Share = e.shareRank(now, p.flow)
	defer e.countArrival(now, q.caller) // its own arrival doesn't come before it
	if len(e.admission.queue) >= maxQueue {
		e.refuseFirst(now, p, peer.Full)
		return
	}
	if v := e.judgeNew(now, &q); v != patience.Waits {
		e.turnAway(now, p, v)
		return
	}
	q.arrival = p.clone()
	e.enqueue(now, q)
}

// shouldHold reports whether a request over an open flow should be held.
func (e *Engine) shouldHold(now time.Duration) bool {
	return !e.cfg.Policy.PassOpenFlows && e.busy(now) && !e.target.draining && !e.leaving && len(e.admission.queue) < maxQueue && e.admission.heldRequestPackets < maxHeldRequestPackets
}

// enqueueRequest holds a request over an open flow. Retransmissions that arrive meanwhile
// are dropped: the held packet is sent on in any case.
func (e *Engine) enqueueRequest(now time.Duration, f packet.Flow, from netip.AddrPort, seq uint32, raw []byte) {
	p := arrival{flow: f, from: from, raw: raw, sentAt: now, firstSentAt: now}
	e.admission.heldRequestPackets++
	caller := e.requestCaller(p)
	caller.Share = e.shareRank(now, f)
	e.enqueue(now, queueEntry{arrival: p.clone(), caller: caller, request: true, seq: seq, expiresAt: now + e.maxHoldTime(f)})
}

// enqueue appends an entry to the queue.
func (e *Engine) enqueue(now time.Duration, q queueEntry) {
	if len(e.admission.queue) == 0 {
		e.load.busySince = now
	}
	e.admission.queue = append(e.admission.queue, q)
}

// enqueueMore adds a packet to a held request unless it is a retransmission. A request's
// packets may arrive in any order, so the sequence numbers are compared: if an overtaken
// first packet were taken for a retransmission, the target would lack it until the client
// sends it again.
func (e *Engine) enqueueMore(f packet.Flow, seq uint32, raw []byte) {
	at := e.queueIndex(f)
	if at < 0 {
		return
	}
	q := &e.admission.queue[at]
	if q.has(seq) || len(q.more) >= maxHeldPacketsPerRequest || e.admission.heldRequestPackets >= maxHeldRequestPackets {
		return
	}
	e.admission.heldRequestPackets++
	q.more = append(q.more, heldPacket{seq, append([]byte(nil), raw...)})
}

// admitQueued admits held entries as long as there is room.
func (e *Engine) admitQueued(now time.Duration) {
	for len(e.admission.queue) > 0 && !e.busy(now) && !e.target.silent && !e.target.draining {
		e.rankQueued(now)
		at := e.nextQueued(now)
		if e.hasGivenUp(now, &e.admission.queue[at]) {
			e.removeExpired(now) // all of them at once
			continue
		}
		q := e.dequeue(at)
		if reason := e.wrongTarget(q.service); !q.request && reason != 0 {
			e.refuseFirst(now, q.arrival, reason)
			continue
		}
		if !q.request && e.coldFull(now) {
			e.refuseFirst(now, q.arrival, peer.Cold)
			continue
		}
		e.cfg.Out.Admitted(now - q.firstSentAt)
		e.release(now, q)
	}
}

// release sends a held entry to the target.
func (e *Engine) release(now time.Duration, q queueEntry) {
	if !q.request {
		e.admit(now, q.arrival)
		return
	}
	e.countUse(now, q.flow)
	x := e.flows[q.flow]
	x.held = false
	x.running = true
	x.runningAt = now
	e.storeFlow(q.flow, x)
	e.expectResponse(now)
	e.sendToTarget(q.from, q.raw)
	for _, h := range q.more {
		e.sendToTarget(q.from, h.raw)
	}
}

// releaseRequests sends all held requests over open flows to the target. It is called
// when the target or the agent is about to end, because no other target can run them.
func (e *Engine) releaseRequests(now time.Duration) {
	for i := 0; i < len(e.admission.queue); {
		if !e.admission.queue[i].request {
			i++
			continue
		}
		e.release(now, e.dequeue(i))
	}
}

// nextQueued returns the index of the entry to admit first.
func (e *Engine) nextQueued(now time.Duration) int {
	if e.queueGoesByGoals() {
		return e.nextByGoals(now)
	}
	best := 0
	for i := range e.admission.queue {
		if e.cfg.Policy.precedes(&e.admission.queue[i], &e.admission.queue[best]) {
			best = i
		}
	}
	return best
}

// dequeue removes the entry at an index of the queue.
func (e *Engine) dequeue(at int) queueEntry {
	q := e.admission.queue[at]
	e.admission.queue = append(e.admission.queue[:at], e.admission.queue[at+1:]...)
	e.uncountHeld(q)
	return q
}

func (e *Engine) uncountHeld(q queueEntry) {
	if q.request {
		e.admission.heldRequestPackets -= 1 + len(q.more)
	}
}

// queueIndex returns a flow's index in the queue, -1 if it isn't held.
func (e *Engine) queueIndex(f packet.Flow) int {
	for i := range e.admission.queue {
		if e.admission.queue[i].flow == f {
			return i
		}
	}
	return -1
}

// removeExpired removes entries that must not be held any longer: first packets are
// returned, requests whose callers have given up are dropped.
func (e *Engine) removeExpired(now time.Duration) {
	e.rankQueued(now)
	e.orderByGoals(now)
	o := e.outlook(now)
	kept := e.admission.queue[:0]
	for _, q := range e.admission.queue {
		reason, verdict := e.removalReason(now, &q), patience.Waits
		if reason == 0 {
			verdict = e.judge(now, &q, len(kept), &o)
		}
		if reason == 0 && verdict == patience.Waits {
			kept = append(kept, q)
			continue
		}
		e.uncountHeld(q)
		switch {
		case q.request:
			e.dropRequest(now, q)
		case verdict != patience.Waits:
			e.turnAway(now, q.arrival, verdict)
		default:
			e.refuseFirst(now, q.arrival, reason)
		}
	}
	e.admission.queue = kept
}

// dropRequest drops a held request whose caller has given up.
func (e *Engine) dropRequest(now time.Duration, q queueEntry) {
	x := e.flows[q.flow]
	x.held = false
	e.storeFlow(q.flow, x)
	e.noteDecision(now, Decision{Verdict: RequestDropped, Flow: q.flow})
}

// refuseFirst returns a first packet to its balancer.
func (e *Engine) refuseFirst(now time.Duration, p arrival, reason peer.Reason) {
	e.refuse(now, p.from, p.flow, packet.Packet{Flags: packet.SYN}, reason, p.sentAt, p.raw)
}

// removalReason returns why an entry must not be held any longer; 0 if it may.
func (e *Engine) removalReason(now time.Duration, q *queueEntry) peer.Reason {
	if q.request {
		if now > q.expiresAt {
			return peer.Busy
		}
		return 0
	}
	if reason := e.wrongTarget(q.service); reason != 0 {
		return reason
	}
	switch {
	case e.target.draining || e.leaving:
		return peer.Draining
	case e.evacuated:
		return peer.Evacuated
	case e.target.silent:
		return peer.TargetSilent
	case !e.goesByGoal(q) && now-q.firstSentAt > e.cfg.Policy.MaxWait:
		return peer.Busy
	}
	return 0
}
