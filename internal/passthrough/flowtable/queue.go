package flowtable

import (
	"net/netip"
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

const (
	// maxQueue bounds the flows that wait at one target.
	maxQueue = 1_024
	// maxHeld bounds the packets of open flows that wait, 1.3 kB each; maxHeldEach
	// those of one request besides its first, as many as a client has in flight. What
	// comes beyond of a request is sent again; further requests go on to the target.
	maxHeld     = 2_048
	maxHeldEach = 16
)

// arrival is a client's packet that begins something: the first one of a flow, or a
// copy of it, or the one with which a request over an open flow is noticed.
type arrival struct {
	flow packet.Flow
	// from is the balancer that sent it.
	from netip.AddrPort
	raw  []byte
	// sentAt is when the client sent it, begunAt when it began to open the flow or to ask,
	// as far as is known. After an outage balancers hold many that are old; taken
	// for new they would go before those that can still be answered in time.
	sentAt, begunAt time.Duration
}

func firstOf(p packet.Packet, sentAt time.Duration, from netip.AddrPort, raw []byte) arrival {
	return arrival{flow: p.FromClient(), from: from, raw: raw, sentAt: sentAt, begunAt: sentAt - p.SinceFirst()}
}

// kept is the packet with bytes of its own.
func (p arrival) kept() arrival {
	p.raw = append([]byte(nil), p.raw...)
	return p
}

// unanswered is a first packet that the target has had since a moment and hasn't
// answered.
type unanswered struct {
	arrival
	since time.Duration
}

// queued waits for room: a first packet, or a request over an open flow.
type queued struct {
	arrival
	urgency uint32
	// request says that the flow is open. Then seq is the place of the packet's
	// bytes, more are the request's other packets, and leavesAt is when its caller
	// gives up.
	request  bool
	seq      uint32
	more     []heldPacket
	leavesAt time.Duration
}

// heldPacket is one packet of a request, with the place of its bytes.
type heldPacket struct {
	seq uint32
	raw []byte
}

// has tells whether a packet with the bytes of a place is there already.
func (q *queued) has(seq uint32) bool {
	return q.seq == seq || slices.ContainsFunc(q.more, func(h heldPacket) bool { return h.seq == seq })
}

// before tells whether one goes before another: the more urgent route's, and of one
// route the newest, whose caller can still be answered in time. In order of arrival a
// backlog makes all of them late.
func (p *Policy) before(q, other *queued) bool {
	if q.urgency != other.urgency && !p.IgnorePriority {
		return q.urgency < other.urgency
	}
	if p.OldestFirst {
		return q.begunAt < other.begunAt
	}
	return q.begunAt >= other.begunAt
}

// queueFirst lets a first packet wait; false if there is no room to.
func (e *Engine) queueFirst(p arrival) bool {
	if e.queuedAt(p.flow) >= 0 {
		return true // a copy
	}
	if len(e.admission.queue) >= maxQueue {
		return false
	}
	e.admission.queue = append(e.admission.queue, queued{arrival: p.kept(), urgency: e.table.Priority(p.flow.Service)})
	return true
}

// mayHold tells whether a request over an open flow should wait here.
func (e *Engine) mayHold(now time.Duration) bool {
	return !e.cfg.Policy.PassOpenFlows && e.busy(now) && !e.target.draining && !e.leaving && len(e.admission.queue) < maxQueue && e.admission.held < maxHeld
}

// queueRequest lets a request over an open flow wait. Its client sends copies
// meanwhile, which aren't needed: the one here goes on in any case.
func (e *Engine) queueRequest(now time.Duration, f packet.Flow, from netip.AddrPort, seq uint32, raw []byte) {
	p := arrival{flow: f, from: from, raw: raw, sentAt: now, begunAt: now}
	e.admission.held++
	e.admission.queue = append(e.admission.queue, queued{arrival: p.kept(), urgency: e.table.Priority(f.Service), request: true, seq: seq, leavesAt: now + e.longest(f)})
}

// queueMore adds a packet to a request that waits, unless it is a copy. A request's
// packets may come in any order: taken for a copy, the first one would be missing at
// the target until its client sends it again.
func (e *Engine) queueMore(f packet.Flow, seq uint32, raw []byte) {
	at := e.queuedAt(f)
	if at < 0 {
		return
	}
	q := &e.admission.queue[at]
	if q.has(seq) || len(q.more) >= maxHeldEach || e.admission.held >= maxHeld {
		return
	}
	e.admission.held++
	q.more = append(q.more, heldPacket{seq, append([]byte(nil), raw...)})
}

// admitQueued admits what there is room for.
func (e *Engine) admitQueued(now time.Duration) {
	for len(e.admission.queue) > 0 && !e.busy(now) && !e.target.silent && !e.target.draining {
		q := e.unqueue(e.nextQueued())
		if !q.request && e.coldFull(now) {
			e.refuseFirst(now, q.arrival, peer.Cold)
			continue
		}
		e.cfg.Out.Admitted(now - q.begunAt)
		e.letIn(now, q)
	}
}

// letIn sends the target what waited.
func (e *Engine) letIn(now time.Duration, q queued) {
	if !q.request {
		e.admit(now, q.arrival)
		return
	}
	x := e.flows[q.flow]
	x.held = false
	x.running = true
	x.runningAt = now
	e.put(q.flow, x)
	e.owe(now)
	e.toTarget(q.from, q.raw)
	for _, h := range q.more {
		e.toTarget(q.from, h.raw)
	}
}

// letAllIn gives the target all requests over open flows that wait: it, or the agent,
// is about to end, and nobody else can run them.
func (e *Engine) letAllIn(now time.Duration) {
	for i := 0; i < len(e.admission.queue); {
		if !e.admission.queue[i].request {
			i++
			continue
		}
		e.letIn(now, e.unqueue(i))
	}
}

// nextQueued is the place of the one that goes before all others.
func (e *Engine) nextQueued() int {
	best := 0
	for i := range e.admission.queue {
		if e.cfg.Policy.before(&e.admission.queue[i], &e.admission.queue[best]) {
			best = i
		}
	}
	return best
}

// unqueue removes what waits at a place of the queue.
func (e *Engine) unqueue(at int) queued {
	q := e.admission.queue[at]
	e.admission.queue = append(e.admission.queue[:at], e.admission.queue[at+1:]...)
	e.uncountHeld(q)
	return q
}

func (e *Engine) uncountHeld(q queued) {
	if q.request {
		e.admission.held -= 1 + len(q.more)
	}
}

// queuedAt is the place of a flow in the queue, -1 if it doesn't wait.
func (e *Engine) queuedAt(f packet.Flow) int {
	for i := range e.admission.queue {
		if e.admission.queue[i].flow == f {
			return i
		}
	}
	return -1
}

// dropOverdue takes out what needn't wait any longer: first packets are handed
// back, requests of callers that have given up are dropped.
func (e *Engine) dropOverdue(now time.Duration) {
	kept := e.admission.queue[:0]
	for _, q := range e.admission.queue {
		why := e.whyNot(now, &q)
		if why == 0 {
			kept = append(kept, q)
			continue
		}
		e.uncountHeld(q)
		if !q.request {
			e.refuseFirst(now, q.arrival, why)
			continue
		}
		x := e.flows[q.flow]
		x.held = false
		e.put(q.flow, x)
		e.note(now, Decision{Verdict: RequestDropped, Flow: q.flow})
	}
	e.admission.queue = kept
}

// refuseFirst hands a first packet back.
func (e *Engine) refuseFirst(now time.Duration, p arrival, why peer.Reason) {
	e.refuse(now, p.from, p.flow, packet.Packet{Flags: packet.SYN}, why, p.sentAt, p.raw)
}

// whyNot tells why something needn't wait any longer; 0 if it may.
func (e *Engine) whyNot(now time.Duration, q *queued) peer.Reason {
	if q.request {
		if now > q.leavesAt {
			return peer.Busy
		}
		return 0
	}
	switch {
	case !e.target.known:
		return peer.NoTarget
	case e.target.draining || e.leaving:
		return peer.Draining
	case e.evacuated:
		return peer.Evacuated
	case e.target.silent:
		return peer.Silent
	case now-q.begunAt > e.cfg.Policy.MaxWait:
		return peer.Busy
	}
	return 0
}
