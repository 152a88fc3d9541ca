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
	w     *world
	agent *agent
	id    string
	born  time.Duration
	// slow is how much longer than usual its requests take, besides the cold.
	slow     float64
	up       bool
	draining bool
	number   uint64
	flows    map[packet.Flow]*held
	running  int
	queue    []work
}

// held is one flow at a target.
type held struct {
	openedAt time.Duration
	open     bool
	seq      uint32
	// taken is the end of the caller's data so far, ack its last acknowledgement.
	taken, ack uint32
}

// work is a request at a target.
type work struct {
	flow packet.Flow
	at   *held
	req  *request
}

// startTarget begins an incarnation beside an agent.
func (w *world) startTarget(a *agent) *target {
	t := &target{w: w, agent: a, id: fmt.Sprintf("i-%d-%d", a.n, w.now.Milliseconds()), born: w.now, slow: 1, up: true, flows: map[packet.Flow]*held{}}
	a.target = t
	w.after(w.between(5*time.Millisecond, 40*time.Millisecond), t.announce)
	return t
}

// announce tells the agent of the target, again and again. One that finds no agent
// tries again soon.
func (t *target) announce() {
	if !t.up {
		return
	}
	pause := announceInterval
	if !t.agent.up {
		pause = announceInterval / 10
	} else {
		t.number++
		t.agent.engine.HandleAnnouncement(t.w.clock(), flowtable.Announcement{
			ID: t.id, Service: t.agent.service, Born: t.w.wall().Add(t.born - t.w.now).UnixMilli(), Number: t.number,
			Slots: t.w.d.Slots, Draining: t.draining, Cold: max(0, t.coldLeft()),
		})
	}
	t.w.after(pause, t.announce)
}

func (t *target) coldLeft() time.Duration { return t.w.d.Cold - (t.w.now - t.born) }

// crash ends the target without a word.
func (t *target) crash() {
	t.up = false
	t.flows = map[packet.Flow]*held{}
	t.queue = nil
}

// take takes a packet from the agent.
func (t *target) take(raw []byte) {
	if !t.up {
		return
	}
	p := t.w.carried(raw).p
	f := p.FromClient()
	h := t.flows[f]
	switch {
	case p.Opens():
		t.opens(f, h)
	case h == nil:
		t.handBack(p, raw)
	case p.Flags.Has(packet.RST):
		delete(t.flows, f)
	case p.Flags.Has(packet.FIN):
		delete(t.flows, f)
		t.answer(f, packet.FIN|packet.ACK, h, 0, false)
	default:
		t.data(f, h, p)
	}
}

func (t *target) opens(f packet.Flow, h *held) {
	if h == nil {
		h = &held{seq: t.w.rng.Uint32() | 1}
		t.flows[f] = h
	}
	t.answer(f, packet.SYN|packet.ACK, h, 0, false)
}

// handBack returns a packet of a flow that the target lacks.
func (t *target) handBack(p packet.Packet, raw []byte) {
	p.Flags |= packet.Bounced
	raw = append([]byte(nil), raw...)
	t.w.after(onVM, func() {
		if t.agent.up {
			t.agent.engine.FromTarget(t.w.clock(), p, raw)
		}
	})
}

// data takes a request, or a copy of one.
func (t *target) data(f packet.Flow, h *held, p packet.Packet) {
	h.ack = p.Ack
	if !h.open {
		h.open = true
		h.openedAt = t.w.now
	}
	end := p.Seq + uint32(p.Data)
	if p.Data == 0 || int32(end-h.taken) <= 0 && h.taken != 0 {
		if p.Data > 0 {
			t.answer(f, packet.ACK, h, 0, false)
		}
		return
	}
	h.taken = end
	r := t.w.requestOn(f)
	if r == nil {
		return // its caller has left
	}
	switch {
	case t.running < int(t.w.d.Slots):
		t.begin(work{f, h, r})
	case len(t.queue) < t.w.d.Queue:
		t.queue = append(t.queue, work{f, h, r})
	default:
		t.answer(f, packet.ACK, h, answerSize, true)
	}
}

// answerSize is the bytes of an answer; all fit into one packet.
const answerSize = 1000

func (t *target) begin(x work) {
	t.running++
	x.req.runs++
	t.w.after(t.takes(x.req), func() {
		if !t.up {
			return
		}
		t.running--
		t.answer(x.flow, packet.ACK, x.at, answerSize, false)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.begin(next)
		}
	})
}

// takes is how long a request that begins now runs.
func (t *target) takes(r *request) time.Duration {
	took := float64(r.work) * t.slow
	if t.coldLeft() > 0 {
		took *= t.w.d.ColdFactor
	}
	return time.Duration(took)
}

// answer sends a packet to the flow's caller, through the agent.
func (t *target) answer(f packet.Flow, flags packet.Flags, h *held, data int, shed bool) {
	p := packet.Packet{Src: f.Service, Dst: f.Client, Flags: flags, Seq: h.seq, Ack: h.taken, Data: data}
	raw := t.w.wire(p, shed)
	t.w.after(onVM, func() {
		if t.agent.up {
			t.agent.engine.FromTarget(t.w.clock(), p, raw)
		}
	})
}

// remembered is what control knows of the flows held: those that were open for a
// while.
func (t *target) remembered() flowlog.Update {
	u := flowlog.Update{Target: t.id, Born: t.w.wall().Add(t.born - t.w.now).UnixMilli(), Whole: true}
	for f, h := range t.flows {
		if h.open && t.w.now-h.openedAt > time.Second {
			u.Opened = append(u.Opened, flowlog.NewRecord(f, h.ack))
		}
	}
	sortRecords(u.Opened)
	return u
}
