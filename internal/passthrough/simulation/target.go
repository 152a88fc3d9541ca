package simulation

import (
	"fmt"
	"time"

	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/flowtable"
	"bergamotstall/internal/passthrough/packet"
)

// target is one incarnation of a target.
type target struct {
	w         *world
	agent     *agent
	id        string
	startedAt time.Duration
	// slowdown multiplies the time of its requests, in addition to ColdSlowdown.
	slowdown float64
	// knee, if above 0, is how many requests it runs at full speed.
	knee     float64
	up       bool
	draining bool
	sequence uint64
	flows    map[packet.Flow]*targetFlow
	running  int
	queue    []queuedRequest
}

// targetFlow is a flow at a target.
type targetFlow struct {
	openedAt time.Duration
	open     bool
	seq      uint32
	// receivedEnd is the sequence number after the caller's data received so far, ack
	// the caller's last acknowledgement.
	receivedEnd, ack uint32
}

// queuedRequest is a request at a target.
type queuedRequest struct {
	flow       packet.Flow
	targetFlow *targetFlow
	req        *request
}

// startTarget starts a new incarnation of an agent's target.
func (w *world) startTarget(a *agent) *target {
	t := &target{w: w, agent: a, id: fmt.Sprintf("i-%d-%d", a.n, w.now.Milliseconds()), startedAt: w.now, slowdown: 1, up: true, flows: map[packet.Flow]*targetFlow{}}
	a.target = t
	w.after(w.between(5*time.Millisecond, 40*time.Millisecond), t.announce)
	return t
}

// announce announces the target to its agent every announceInterval, or ten times as
// often while the agent is down.
func (t *target) announce() {
	if !t.up {
		return
	}
	pause := announceInterval
	if !t.agent.up {
		pause = announceInterval / 10
	} else {
		t.sequence++
		t.agent.engine.HandleAnnouncement(t.w.clock(), flowtable.Announcement{
			ID: t.id, Service: t.agent.service, Born: t.w.wallTime().Add(t.startedAt - t.w.now).UnixMilli(), Number: t.sequence,
			Slots: t.w.d.Slots, Draining: t.draining, Cold: max(0, t.coldLeft()),
		})
	}
	t.w.after(pause, t.announce)
}

func (t *target) coldLeft() time.Duration { return t.w.d.ColdTime - (t.w.now - t.startedAt) }

// crash ends the target without notice.
func (t *target) crash() {
	t.up = false
	t.flows = map[packet.Flow]*targetFlow{}
	t.queue = nil
}

// handlePacket handles a packet from the agent.
func (t *target) handlePacket(raw []byte) {
	if !t.up {
		return
	}
	p := t.w.decode(raw).p
	f := p.FromClient()
	h := t.flows[f]
	switch {
	case p.Opens():
		t.handleSYN(f, h)
	case h == nil:
		t.bounce(p, raw)
	case p.Flags.Has(packet.RST):
		delete(t.flows, f)
	case p.Flags.Has(packet.FIN):
		delete(t.flows, f)
		t.answer(f, packet.FIN|packet.ACK, h, 0, false)
	default:
		t.handleData(f, h, p)
	}
}

func (t *target) handleSYN(f packet.Flow, h *targetFlow) {
	if h == nil {
		h = &targetFlow{seq: t.w.rng.Uint32() | 1}
		t.flows[f] = h
	}
	t.answer(f, packet.SYN|packet.ACK, h, 0, false)
}

// bounce returns a packet of a flow that the target doesn't have.
func (t *target) bounce(p packet.Packet, raw []byte) {
	p.Flags |= packet.Bounced
	raw = append([]byte(nil), raw...)
	t.w.after(sameVMDelay, func() {
		if t.agent.up {
			t.agent.engine.FromTarget(t.w.clock(), p, raw)
		}
	})
}

// handleData handles a packet of an open flow: a request, a copy of one, or an
// acknowledgement.
func (t *target) handleData(f packet.Flow, h *targetFlow, p packet.Packet) {
	h.ack = p.Ack
	if !h.open {
		h.open = true
		h.openedAt = t.w.now
	}
	end := p.Seq + uint32(p.Data)
	if p.Data == 0 || int32(end-h.receivedEnd) <= 0 && h.receivedEnd != 0 {
		if p.Data > 0 {
			t.answer(f, packet.ACK, h, 0, false)
		}
		return
	}
	h.receivedEnd = end
	r := t.w.requestOf(f)
	if r == nil {
		return // the caller has stopped trying
	}
	switch {
	case t.running < int(t.w.d.Slots):
		t.start(queuedRequest{f, h, r})
	case len(t.queue) < t.w.d.QueueLimit:
		t.queue = append(t.queue, queuedRequest{f, h, r})
	default:
		t.answer(f, packet.ACK, h, answerSize, true)
	}
}

// answerSize is the size of an answer in bytes; every answer fits into one packet.
const answerSize = 1000

func (t *target) start(x queuedRequest) {
	t.running++
	x.req.runs++
	t.w.after(t.serviceTime(x.req), func() {
		if !t.up {
			return
		}
		t.running--
		t.answer(x.flow, packet.ACK, x.targetFlow, answerSize, false)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.start(next)
		}
	})
}

// serviceTime returns how long a request that starts now runs.
func (t *target) serviceTime(r *request) time.Duration {
	duration := float64(r.work) * t.slowdown
	if t.coldLeft() > 0 {
		duration *= t.w.d.ColdSlowdown
	}
	if t.knee > 0 {
		duration *= max(1, float64(t.running)/t.knee)
	}
	return time.Duration(duration)
}

// answer sends a packet to the flow's caller through the agent.
func (t *target) answer(f packet.Flow, flags packet.Flags, h *targetFlow, data int, shed bool) {
	p := packet.Packet{Src: f.Service, Dst: f.Client, Flags: flags, Seq: h.seq, Ack: h.receivedEnd, Data: data}
	raw := t.w.encode(p, shed)
	t.w.after(sameVMDelay, func() {
		if t.agent.up {
			t.agent.engine.FromTarget(t.w.clock(), p, raw)
		}
	})
}

// flowRecords returns what control knows about the target's flows: those that have been
// open for over a second.
func (t *target) flowRecords() flowlog.Update {
	u := flowlog.Update{Target: t.id, Born: t.w.wallTime().Add(t.startedAt - t.w.now).UnixMilli(), Whole: true}
	for f, h := range t.flows {
		if h.open && t.w.now-h.openedAt > time.Second {
			u.Opened = append(u.Opened, flowlog.NewRecord(f, h.ack))
		}
	}
	sortRecords(u.Opened)
	return u
}
