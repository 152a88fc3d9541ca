package simulation

import (
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// callerVM is one VM of callers.
type callerVM struct {
	n, zone int
	port    uint16
	// idle are open flows without a request, by class.
	idle map[int][]*callerFlow
}

// request is what a caller wants, over all its tries.
type request struct {
	class    int
	caller   *callerVM
	at       time.Duration
	deadline time.Duration
	work     time.Duration
	tries    int
	// flow is the one that it is tried over now.
	flow *callerFlow
	// runs counts how often targets began it.
	runs int
	// servedAt is when its answer came; 0 if none did. over is set once it was
	// answered or given up.
	servedAt time.Duration
	over     bool
}

// callerFlow is a flow as its caller sees it.
type callerFlow struct {
	caller *callerVM
	flow   packet.Flow
	req    *request
	open   bool
	// seq numbers the caller's next byte, end the last one sent, ack acknowledges
	// the target's.
	seq, end, ack uint32
	// acked says that the target has the request.
	acked bool
}

const (
	// requestSize is the bytes of a request.
	requestSize = 200
	// retryPause is the mean wait of a caller before its next try.
	retryPause = 30 * time.Millisecond
	// resendFirst and resendMost bound the wait before data is sent again.
	resendFirst = 200 * time.Millisecond
	resendMost  = 1600 * time.Millisecond
)

// copiesAfter is when copies of a first packet are sent.
var copiesAfter = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// arrivals makes requests of one class until the run's end.
func (w *world) arrivals(class int) {
	mean := time.Duration(float64(time.Second) / (w.d.Classes[class].Rate * w.load))
	w.after(w.exp(mean), func() {
		if w.stopped {
			return
		}
		w.ask(class)
		w.arrivals(class)
	})
}

// ask has a caller make a request.
func (w *world) ask(class int) {
	c := &w.d.Classes[class]
	r := &request{class: class, caller: w.pickCaller(), at: w.now, deadline: w.now + c.Deadline, work: w.drawWork(c.Work)}
	w.requests = append(w.requests, r)
	w.after(c.Deadline, func() { w.giveUp(r) })
	if w.reference != nil {
		w.reference.add(r)
		return
	}
	w.try(r)
}

// giveUp ends a request whose deadline has come, and resets its flow.
func (w *world) giveUp(r *request) {
	if r.over {
		return
	}
	r.over = true
	cf := r.flow
	if cf == nil {
		return // between two tries
	}
	w.unassign(cf)
	w.drop(cf)
	if cf.open {
		w.send(cf, packet.Packet{Flags: packet.RST | packet.ACK, Seq: cf.end, Ack: cf.ack})
	}
}

// try makes the next try of a request, over an idle flow if there is one.
func (w *world) try(r *request) {
	if r.over {
		return
	}
	r.tries++
	idle := r.caller.idle[r.class]
	if n := len(idle); n > 0 {
		cf := idle[n-1]
		r.caller.idle[r.class] = idle[:n-1]
		w.assign(cf, r)
		w.sendRequest(cf, r, resendFirst)
		return
	}
	r.caller.port++
	cf := &callerFlow{caller: r.caller, seq: 1, flow: packet.Flow{
		Client:  packet.Endpoint{IP: [4]byte{100, 64, 0, byte(r.caller.n)}, Port: r.caller.port},
		Service: w.d.address(r.class),
	}}
	w.flows[cf.flow] = cf
	w.assign(cf, r)
	for n, after := range copiesAfter {
		w.after(after, func() {
			if cf.req == r && !cf.open {
				w.send(cf, packet.Packet{Flags: packet.SYN, Ack: uint32(n)})
			}
		})
	}
	w.after(packet.HandshakeTimeout, func() {
		if cf.req == r && !cf.open {
			w.failed(cf, true)
		}
	})
}

func (w *world) assign(cf *callerFlow, r *request) {
	cf.req = r
	r.flow = cf
}

// unassign parts a flow from its request.
func (w *world) unassign(cf *callerFlow) *request {
	r := cf.req
	cf.req = nil
	r.flow = nil
	return r
}

// send sends a packet to one of the balancers of the caller's data centre.
func (w *world) send(cf *callerFlow, p packet.Packet) {
	p.Src, p.Dst = cf.flow.Client, cf.flow.Service
	raw := w.wire(p, false)
	b := w.fabric(cf)
	w.after(w.d.CallerDelay, func() { b.fromCaller(raw) })
}

// fabric hands a flow's packets to one of the balancers of the caller's zone.
func (w *world) fabric(cf *callerFlow) *balancer {
	each := w.d.Balancers / w.d.Zones
	return w.balancers[cf.caller.zone*each+int(cf.flow.Client.Port)%each]
}

// sendRequest sends a request, again and again until the target has it.
func (w *world) sendRequest(cf *callerFlow, r *request, again time.Duration) {
	if cf.req != r || cf.acked {
		return
	}
	cf.end = cf.seq + requestSize
	w.send(cf, packet.Packet{Flags: packet.ACK, Seq: cf.seq, Ack: cf.ack, Data: requestSize})
	w.after(again, func() { w.sendRequest(cf, r, min(2*again, resendMost)) })
}

// requestOn is the request that a flow is for now.
func (w *world) requestOn(f packet.Flow) *request {
	if cf := w.flows[f]; cf != nil {
		return cf.req
	}
	return nil
}

// toCaller hands a target's packet to the caller.
func (w *world) toCaller(s sent) {
	cf := w.flows[s.p.FromTarget()]
	if cf == nil {
		return
	}
	switch {
	case s.p.Flags.Has(packet.SYN | packet.ACK):
		if !cf.open && cf.req != nil {
			cf.open = true
			cf.ack = s.p.Seq + 1
			w.sendRequest(cf, cf.req, resendFirst)
		}
	case cf.req == nil:
	case s.p.Data > 0 && s.p.Ack == cf.end:
		w.answered(cf, s.shed)
	case s.p.Ack == cf.end:
		cf.acked = true
	}
}

// answered takes an answer.
func (w *world) answered(cf *callerFlow, shed bool) {
	if shed {
		w.send(cf, packet.Packet{Flags: packet.FIN | packet.ACK, Seq: cf.end, Ack: cf.ack})
		w.failed(cf, true)
		return
	}
	r := w.unassign(cf)
	r.servedAt = w.now
	r.over = true
	cf.acked = false
	cf.seq = cf.end
	if w.d.Classes[r.class].Feed && !w.leaving(cf) {
		cf.caller.idle[r.class] = append(cf.caller.idle[r.class], cf)
		return
	}
	w.send(cf, packet.Packet{Flags: packet.FIN | packet.ACK, Seq: cf.end, Ack: cf.ack})
	w.drop(cf)
}

// leaving tells whether the flow's target closes it after an answer.
func (w *world) leaving(cf *callerFlow) bool {
	for _, a := range w.agents {
		if a.target.flows[cf.flow] != nil {
			return a.target.draining
		}
	}
	return false
}

// reset tells a caller that its flow is over.
func (w *world) reset(f packet.Flow) {
	w.afterEvent(f, w.d.CallerDelay, func() {
		cf := w.flows[f]
		if cf == nil {
			return
		}
		if cf.req == nil {
			w.drop(cf)
			return
		}
		w.failed(cf, !cf.open)
	})
}

// failed ends a try; notRun says that the request surely hasn't run.
func (w *world) failed(cf *callerFlow, notRun bool) {
	r := w.unassign(cf)
	w.drop(cf)
	c := &w.d.Classes[r.class]
	if c.Once && !notRun || r.tries > w.d.Retries {
		r.over = true
		return
	}
	w.after(w.exp(retryPause), func() { w.try(r) })
}

// drop forgets a flow.
func (w *world) drop(cf *callerFlow) {
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
