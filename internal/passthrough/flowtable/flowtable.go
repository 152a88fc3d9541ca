// Package flowtable is an agent's part of pass-through flows: which packets its
// target gets, which are handed back to the balancer and why, when flows of a
// target that is gone are reset, and what balancers are told. It has no network
// and no clock.
//
// The agent is the authority on its target, since all of the target's packets
// and announcements pass it. Balancers work from reports that lag; what they
// get wrong is handed back here. A drain, for one, holds from the moment the
// target's announcement is taken, whatever tables the balancers have.
package flowtable

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

const (
	// firstPatience is how long a target may take to answer a first packet
	// before another target is tried. Handshakes take a third of a millisecond,
	// and a slow target's still under ten; the caller's own copy comes after
	// 200 ms.
	firstPatience = 80 * time.Millisecond
	// crashPatience is how long a target that owes an answer may send nothing at
	// all, its announcements included, before its flows are reset. It is more
	// than twice the announcements' interval, see Config.Heartbeat, and never
	// less than this.
	crashPatience = 1500 * time.Millisecond
	// endedKept is how long an ended flow is remembered, so that late packets
	// still reach the target, which answers them.
	endedKept = 4 * time.Second
	// halfOpenKept is how long a flow that the caller hasn't completed is
	// remembered. Callers give up after 1.4 s.
	halfOpenKept = 3 * time.Second
	// openKept is how long an open flow without a packet is remembered. The
	// platform lets flows be forgotten when they are older than a minute.
	openKept = 75 * time.Second
	// learning is how long an agent that started after its target can't be sure
	// which flows that one holds: the longest life of a flow, and some seconds.
	learning = 75 * time.Second
	// lacksKept is how long it is remembered that the target handed a packet of
	// a flow back.
	lacksKept = 2 * time.Second
	// maxFlows bounds the table; a target holds some thousand.
	maxFlows = 20_000
	// maxWaiting bounds the copies kept of first packets without an answer.
	maxWaiting = 512
	// ackWindow is how far a caller's first acknowledgement may be from the
	// start of the target's sequence numbers. Sequence numbers start at random,
	// so another target's falls into it once in 40,000 times.
	ackWindow = 100_000
)

// Config sets an engine up.
type Config struct {
	// Service is the one that the VM's targets belong to; "" takes any.
	Service string
	// Address is where the target takes packets; announcements of another
	// address are another target's. "" takes any.
	Address string
	Zone    string
	// Region is the data centre's.
	Region string
	// ColdOverage and ColdSlack say by how much a cold target's limit may be exceeded: a
	// factor, and new flows a second.
	ColdOverage, ColdSlack float64
	// Process is random for each start of the agent.
	Process uint64
	// Heartbeat is the interval of the target's announcements; 0 if unknown.
	Heartbeat time.Duration
	// StartedAt is when the agent started, on the clock that the engine is given.
	StartedAt time.Duration
	// StartedWall is the same moment as time of day, which targets state their
	// start in.
	StartedWall time.Time
	Policy      Policy
	Codec       packet.Codec
	Out         Output
}

// stage is how far a flow has come.
type stage uint8

const (
	opening stage = iota + 1
	open
	ended
	lacking
)

// flow is what the agent knows of one flow.
type flow struct {
	seenAt time.Duration
	// targetSeq is where the target's sequence numbers start; 0 until it has
	// answered.
	targetSeq uint32
	// ack is the client's newest acknowledgement: a reset must be near it.
	ack uint32
	// sent is the end of the client's data so far, meaningful once hasSent.
	sent    uint32
	hasSent bool
	stage   stage
	// running says that a request waits for its answer, since runningAt; held that
	// one waits here for room.
	running   bool
	held      bool
	runningAt time.Duration
	// openedAt is when the handshake was completed, as far as was seen.
	openedAt time.Duration
	// recorded says that control was told of the flow, with recordedAck.
	recorded    bool
	recordedAck uint32
	// finClient and finTarget say which ends have closed.
	finClient, finTarget bool
	// answered says that the target has answered the first packet.
	answered bool
}

// Engine is one agent's state. It isn't safe for concurrent use.
type Engine struct {
	cfg     Config
	target  target
	flows   map[packet.Flow]flow
	waiting map[packet.Flow]unanswered
	load    load
	sweepAt time.Duration
	number  uint64
	leaving bool
	// evacuated says that the data centre's targets take no new flows.
	evacuated bool
	// cold counts the new flows of a cold target.
	cold      coldLimit
	tags      tags
	table     *route.Table
	admission admission
	pace      pace
	outcomes  outcomes
	// recall is what control remembers of earlier flows, until it is acted on;
	// ended are flows that it is to be told are over.
	recall *flowlog.Update
	ended  []packet.Flow
	// startedAt is when the agent began to listen for announcements.
	startedAt time.Duration
}

// New returns an engine without a target.
func New(cfg Config) *Engine {
	return &Engine{
		cfg: cfg, flows: map[packet.Flow]flow{}, waiting: map[packet.Flow]unanswered{},
		tags: tags{byAddress: map[netip.AddrPort]uint16{}}, startedAt: cfg.StartedAt, load: load{meanAt: cfg.StartedAt},
	}
}

// Flows returns how many flows are open.
func (e *Engine) Flows() int { return e.load.flows }

// FromBalancer takes a client's packet.
func (e *Engine) FromBalancer(now time.Duration, from netip.AddrPort, h peer.Header, p packet.Packet, raw []byte) {
	f := p.FromClient()
	if why := e.misdirected(now, h, p); why != 0 {
		e.refuse(now, from, f, p, why, now-h.Waited(), raw)
		return
	}
	x, known := e.flows[f]
	switch {
	case p.Opens():
		e.first(now, firstOf(p, now-h.Waited(), from, raw), x, known)
	case known && x.stage != lacking:
		e.later(now, from, f, x, p, raw)
	case e.unsure(now) && !known:
		e.toTarget(from, raw) // it is handed back if the target lacks the flow
	default:
		e.refuse(now, from, f, p, peer.NotHeld, now, raw)
	}
}

// misdirected tells why a packet isn't for the target here. Addresses are used
// again by other services, and balancers learn of it a moment later.
func (e *Engine) misdirected(now time.Duration, h peer.Header, p packet.Packet) peer.Reason {
	switch {
	case !e.target.known && !p.Opens() && !e.empty(now) && (h.Service == 0 || h.Service == route.IDOf(e.cfg.Service)):
		// The agent may have restarted beside a target that lives. Balancers that
		// have a report of the new process don't know its service yet, and send 0;
		// refused, they would reset an open flow as one that nobody has.
		return 0
	case !e.target.known:
		return peer.NoTarget
	case h.Service != 0 && h.Service != e.target.service:
		return peer.WrongService
	}
	return 0
}

// refuse hands a packet back that its client sent at sentAt, as far as is known.
func (e *Engine) refuse(now time.Duration, to netip.AddrPort, f packet.Flow, p packet.Packet, why peer.Reason, sentAt time.Duration, raw []byte) {
	verdict := RefusedLater
	if p.Opens() {
		verdict = RefusedFirst
	}
	e.cfg.Out.Refuse(to, why, now-sentAt, raw)
	e.note(now, Decision{Verdict: verdict, Flow: f, Reason: why})
}

// first takes a first packet or a copy of one.
func (e *Engine) first(now time.Duration, p arrival, x flow, known bool) {
	switch {
	case known && x.stage != lacking && x.stage != ended:
		e.toTarget(p.from, p.raw)
	case e.target.draining || e.leaving:
		e.refuseFirst(now, p, peer.Draining)
	case e.evacuated:
		e.refuseFirst(now, p, peer.Evacuated)
	case !e.atHome(p.flow):
		e.refuseFirst(now, p, peer.NotHome)
	case e.coldFull(now):
		e.refuseFirst(now, p, peer.Cold)
	case e.target.silent:
		e.refuseFirst(now, p, peer.Silent)
	case len(e.flows) >= maxFlows:
		e.refuseFirst(now, p, peer.Full)
	case e.busy(now) || len(e.admission.queue) > 0:
		if !e.queueFirst(p) {
			e.refuseFirst(now, p, peer.Full)
		}
		e.admitQueued(now)
	default:
		e.admit(now, p)
	}
}

// admit sends a first packet to the target.
func (e *Engine) admit(now time.Duration, p arrival) {
	e.cold.admitted(now)
	e.expect(now, p.flow)
	e.put(p.flow, flow{stage: opening, seenAt: now})
	if len(e.waiting) < maxWaiting {
		e.waiting[p.flow] = unanswered{arrival: p.kept(), since: now}
	}
	e.toTarget(p.from, p.raw)
}

// later takes a packet of a known flow. A caller that completes the handshake of
// another target, which answered a copy of its first packet, is sent there.
func (e *Engine) later(now time.Duration, from netip.AddrPort, f packet.Flow, x flow, p packet.Packet, raw []byte) {
	if x.stage == opening && !x.completedBy(p.Ack) {
		e.refuse(now, from, f, p, peer.NotHeld, now, raw)
		return
	}
	x.seenAt = now
	if p.Flags.Has(packet.ACK) {
		x.ack = p.Ack
	}
	if x.stage == opening {
		x.stage = open
		x.openedAt = now
	}
	begins := x.newData(p) && !x.running
	if x.held && e.whileHeld(now, f, &x, p, raw) {
		e.put(f, x)
		return
	}
	if begins {
		expectedSince, admitted := e.came(f)
		if !admitted && !p.Closes() && e.mayHold(now) {
			x.held = true
			e.put(f, x)
			e.queueRequest(now, f, from, p.Seq, raw)
			return
		}
		if admitted {
			observe(&e.pace.handshake, now-expectedSince)
		}
		x.running = true
		x.runningAt = now
	}
	if p.Flags.Has(packet.FIN) {
		x.finClient = true
	}
	if p.Flags.Has(packet.RST) || x.finClient && x.finTarget {
		x.stage = ended
	}
	e.put(f, x)
	e.owe(now)
	e.toTarget(from, raw)
}

// whileHeld takes a packet of a flow whose request waits here. It tells whether the
// packet is to go no further.
func (e *Engine) whileHeld(now time.Duration, f packet.Flow, x *flow, p packet.Packet, raw []byte) bool {
	if p.Closes() {
		e.whenLeaving(now, f, x, p)
		return false
	}
	if p.Data == 0 {
		return false
	}
	e.queueMore(f, p.Seq, raw)
	return true
}

// whenLeaving ends the wait of a flow whose client closes it: after a reset nobody
// wants the answer.
func (e *Engine) whenLeaving(now time.Duration, f packet.Flow, x *flow, p packet.Packet) {
	at := e.queuedAt(f)
	if at < 0 {
		return
	}
	q := e.unqueue(at)
	if p.Flags.Has(packet.FIN) {
		e.letIn(now, q)
		x.running, x.runningAt = true, now
	}
	x.held = false
}

// completedBy tells whether an acknowledgement is of this target's handshake.
func (x flow) completedBy(ack uint32) bool {
	return x.answered && ack-x.targetSeq < ackWindow
}

// newData takes note of a client's data and tells whether it is new. A copy of a
// request that was answered already must not count as one in progress: after an
// agent's restart each caller sends several, and the target would look busy for
// seconds. What the target has acknowledged counts as seen, since the agent may
// see the answer before the first copy.
func (x *flow) newData(p packet.Packet) bool {
	end := p.Seq + uint32(p.Data)
	if p.Data == 0 || x.hasSent && int32(end-x.sent) <= 0 {
		return false
	}
	x.sent = end
	x.hasSent = true
	return true
}

func (e *Engine) toTarget(from netip.AddrPort, raw []byte) {
	e.cfg.Codec.SetTag(raw, e.tags.of(from))
	e.cfg.Out.ToTarget(raw)
}

// FromTarget takes a packet that the target sent.
func (e *Engine) FromTarget(now time.Duration, p packet.Packet, raw []byte) {
	e.lives(now)
	if p.Flags.Has(packet.Bounced) {
		e.bounced(now, p, raw)
		return
	}
	f := p.FromTarget()
	delete(e.waiting, f)
	x, known := e.flows[f]
	if !known || x.stage == lacking {
		x = flow{stage: open, openedAt: now}
	}
	x.seenAt = now
	x.answered = true
	if p.Flags.Has(packet.ACK) && !p.Flags.Has(packet.SYN) && (!x.hasSent || int32(p.Ack-x.sent) > 0) {
		x.sent = p.Ack
		x.hasSent = true
	}
	switch {
	case p.Flags.Has(packet.SYN | packet.ACK):
		x.targetSeq = p.Seq
		if !known {
			x.stage = opening
		}
	case p.Flags.Has(packet.RST):
		x.stage = ended
		if x.running && !x.finTarget {
			e.brokeOff(now, 1)
		}
	}
	if p.Data > 0 && x.running {
		x.running = false
		e.outcomes.note(now, 1, 0)
		e.cfg.Out.Answered(now - x.runningAt)
		observe(&e.pace.service, now-x.runningAt)
	}
	if p.Flags.Has(packet.FIN) {
		x.finTarget = true
		x.running = false
	}
	if x.finClient && x.finTarget {
		x.stage = ended
	}
	e.put(f, x)
	e.cfg.Out.ToClient(f.Client, raw)
	e.admitQueued(now)
}

// bounced takes a packet that the target handed back.
func (e *Engine) bounced(now time.Duration, p packet.Packet, raw []byte) {
	f := p.FromClient()
	why := peer.NotHeld
	sentAt := now
	if p.Opens() {
		why = peer.Full
		if w, ok := e.waiting[f]; ok {
			sentAt = w.sentAt
		}
		delete(e.waiting, f)
		e.came(f)
		e.remove(f)
	} else {
		e.put(f, flow{stage: lacking, seenAt: now})
	}
	to, ok := e.tags.address(p.Tag)
	if !ok {
		return // from before this process; the caller sends it again
	}
	e.cfg.Codec.SetTag(raw, 0)
	e.refuse(now, to, f, p, why, sentAt, raw)
}

func (e *Engine) note(now time.Duration, d Decision) {
	d.Target = e.target.id
	d.Born = e.target.born
	if e.target.lifeAt > 0 {
		d.Age = now - e.target.lifeAt
	}
	e.cfg.Out.Note(d)
}
