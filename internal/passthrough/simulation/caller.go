package simulation

import (
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// callerVM is a VM that runs callers.
type callerVM struct {
	n, zone int
	port    uint16
	// idle are the open flows without a request, by class.
	idle map[int][]*callerFlow
}

// request is a caller's request, with all its attempts.
type request struct {
	class    int
	caller   *callerVM
	at       time.Duration
	deadline time.Duration
	work     time.Duration
	attempts int
	// flow is the flow of the current attempt; nil between attempts.
	flow *callerFlow
	// runs counts how often targets started it.
	runs int
	// servedAt is when its answer arrived; 0 if none did. done is set once it was
	// answered or its caller stopped trying.
	servedAt time.Duration
	done     bool
}

// callerFlow is a flow as its caller sees it.
type callerFlow struct {
	caller *callerVM
	flow   packet.Flow
	req    *request
	open   bool
	// nextSeq is the sequence number of the caller's next byte, endSeq that after the
	// last byte sent; ack acknowledges the target's bytes.
	nextSeq, endSeq, ack uint32
	// requestAcked tells that the target has the request.
	requestAcked bool
}

const (
	// requestSize is the size of a request in bytes.
	requestSize = 200
	// meanRetryDelay is the mean time that a caller waits before its next attempt.
	meanRetryDelay = 30 * time.Millisecond
	// initialResendDelay and maxResendDelay bound the delay before data is sent again;
	// it doubles with each resend.
	initialResendDelay = 200 * time.Millisecond
	maxResendDelay     = 1600 * time.Millisecond
)

// synCopyDelays are the delays after which the copies of a flow's first packet are sent.
var synCopyDelays = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// scheduleArrivals makes requests of one class until arrivals are stopped.
func (w *world) scheduleArrivals(class int) {
	mean := time.Duration(float64(time.Second) / (w.d.Classes[class].Rate * w.loadFactor))
	w.after(w.exp(mean), func() {
		if w.arrivalsStopped {
			return
		}
		w.makeRequest(class)
		w.scheduleArrivals(class)
	})
}

// makeRequest creates a request of a random caller.
func (w *world) makeRequest(class int) {
	c := &w.d.Classes[class]
	r := &request{class: class, caller: w.pickCaller(), at: w.now, deadline: w.now + c.Deadline, work: w.drawWork(c.Work)}
	w.requests = append(w.requests, r)
	w.after(c.Deadline, func() { w.expire(r) })
	if w.reference != nil {
		w.reference.add(r)
		return
	}
	w.attempt(r)
}

// expire ends a request at its deadline and resets its flow.
func (w *world) expire(r *request) {
	if r.done {
		return
	}
	r.done = true
	cf := r.flow
	if cf == nil {
		return // between two attempts
	}
	w.detach(cf)
	w.removeFlow(cf)
	if cf.open {
		w.sendToService(cf, packet.Packet{Flags: packet.RST | packet.ACK, Seq: cf.endSeq, Ack: cf.ack})
	}
}

// attempt starts the next attempt of a request, over an idle flow if there is one.
func (w *world) attempt(r *request) {
	if r.done {
		return
	}
	r.attempts++
	idle := r.caller.idle[r.class]
	if n := len(idle); n > 0 {
		cf := idle[n-1]
		r.caller.idle[r.class] = idle[:n-1]
		w.assign(cf, r)
		w.sendRequest(cf, r, initialResendDelay)
		return
	}
	r.caller.port++
	cf := &callerFlow{caller: r.caller, nextSeq: 1, flow: packet.Flow{
		Client:  packet.Endpoint{IP: [4]byte{100, 64, 0, byte(r.caller.n)}, Port: r.caller.port},
		Service: w.d.serviceAddress(r.class),
	}}
	w.flows[cf.flow] = cf
	w.assign(cf, r)
	for n, after := range synCopyDelays {
		w.after(after, func() {
			if cf.req == r && !cf.open {
				w.sendToService(cf, packet.Packet{Flags: packet.SYN, Ack: uint32(n)})
			}
		})
	}
	w.after(packet.HandshakeTimeout, func() {
		if cf.req == r && !cf.open {
			w.attemptFailed(cf, true)
		}
	})
}

func (w *world) assign(cf *callerFlow, r *request) {
	cf.req = r
	r.flow = cf
}

// detach separates a flow from its request and returns the request.
func (w *world) detach(cf *callerFlow) *request {
	r := cf.req
	cf.req = nil
	r.flow = nil
	return r
}

// sendToService sends a packet to one of the balancers of the caller's data centre.
func (w *world) sendToService(cf *callerFlow, p packet.Packet) {
	p.Src, p.Dst = cf.flow.Client, cf.flow.Service
	raw := w.encode(p, false)
	b := w.balancerFor(cf)
	w.after(w.d.CallerDelay, func() { b.handleCallerPacket(raw) })
}

// balancerFor returns the balancer in the caller's data centre that the fabric selects
// for a flow.
func (w *world) balancerFor(cf *callerFlow) *balancer {
	balancersPerZone := w.d.Balancers / w.d.Zones
	return w.balancers[cf.caller.zone*balancersPerZone+int(cf.flow.Client.Port)%balancersPerZone]
}

// sendRequest sends a request, and resends it with growing delays until the target has
// acknowledged it.
func (w *world) sendRequest(cf *callerFlow, r *request, delay time.Duration) {
	if cf.req != r || cf.requestAcked {
		return
	}
	cf.endSeq = cf.nextSeq + requestSize
	w.sendToService(cf, packet.Packet{Flags: packet.ACK, Seq: cf.nextSeq, Ack: cf.ack, Data: requestSize})
	w.after(delay, func() { w.sendRequest(cf, r, min(2*delay, maxResendDelay)) })
}

// requestOf returns the current request of a flow, or nil.
func (w *world) requestOf(f packet.Flow) *request {
	if cf := w.flows[f]; cf != nil {
		return cf.req
	}
	return nil
}

// toCaller delivers a target's packet to the caller.
func (w *world) toCaller(s sentPacket) {
	cf := w.flows[s.p.FromTarget()]
	if cf == nil {
		return
	}
	switch {
	case s.p.Flags.Has(packet.SYN | packet.ACK):
		if !cf.open && cf.req != nil {
			cf.open = true
			cf.ack = s.p.Seq + 1
			w.sendRequest(cf, cf.req, initialResendDelay)
		}
	case cf.req == nil:
	case s.p.Data > 0 && s.p.Ack == cf.endSeq:
		w.handleAnswer(cf, s.shed)
	case s.p.Ack == cf.endSeq:
		cf.requestAcked = true
	}
}

// handleAnswer handles an answer; shed tells that the request wasn't run.
func (w *world) handleAnswer(cf *callerFlow, shed bool) {
	if shed {
		w.sendToService(cf, packet.Packet{Flags: packet.FIN | packet.ACK, Seq: cf.endSeq, Ack: cf.ack})
		w.attemptFailed(cf, true)
		return
	}
	r := w.detach(cf)
	r.servedAt = w.now
	r.done = true
	cf.requestAcked = false
	cf.nextSeq = cf.endSeq
	if w.d.Classes[r.class].Feed && !w.targetDraining(cf) {
		cf.caller.idle[r.class] = append(cf.caller.idle[r.class], cf)
		return
	}
	w.sendToService(cf, packet.Packet{Flags: packet.FIN | packet.ACK, Seq: cf.endSeq, Ack: cf.ack})
	w.removeFlow(cf)
}

// targetDraining reports whether the flow's target is draining and so closes the flow
// after an answer.
func (w *world) targetDraining(cf *callerFlow) bool {
	for _, a := range w.agents {
		if a.target.flows[cf.flow] != nil {
			return a.target.draining
		}
	}
	return false
}

// resetFlow delivers a reset of a flow to its caller.
func (w *world) resetFlow(f packet.Flow) {
	w.scheduleOrdered(f, w.d.CallerDelay, func() {
		cf := w.flows[f]
		if cf == nil {
			return
		}
		if cf.req == nil {
			w.removeFlow(cf)
			return
		}
		w.attemptFailed(cf, !cf.open)
	})
}

// attemptFailed ends an attempt and schedules the next one, if the caller may retry.
// notRun tells that the request certainly hasn't run.
func (w *world) attemptFailed(cf *callerFlow, notRun bool) {
	r := w.detach(cf)
	w.removeFlow(cf)
	c := &w.d.Classes[r.class]
	if c.AtMostOnce && !notRun || r.attempts > w.d.Retries {
		r.done = true
		return
	}
	w.after(w.exp(meanRetryDelay), func() { w.attempt(r) })
}

// removeFlow removes a flow.
func (w *world) removeFlow(cf *callerFlow) {
	delete(w.flows, cf.flow)
	for class, idle := range cf.caller.idle {
		for i, x := range idle {
			if x == cf {
				cf.caller.idle[class] = append(idle[:i], idle[i+1:]...)
				break
			}
		}
	}
}
