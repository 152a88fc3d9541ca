// Package flowtable implements the agent's side of pass-through flows. It decides which
// packets go to the target, which are returned to the balancer and why, when flows of a
// target that is gone are reset, and what is reported to balancers. It does no network
// I/O and reads no clock: the time is an argument of each call.
//
// The agent is the authority on its target, because all of the target's packets and
// announcements pass through it. Balancers work from reports that lag, so the agent
// returns the packets that they sent to the wrong place. A drain, for example, takes
// effect as soon as the agent receives the target's announcement, whatever tables the
// balancers have.
package flowtable

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/capacity"
	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/patience"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

const (
	// firstPacketTimeout is how long a target may take to answer a first packet before
	// the packet is returned, to be sent to another target. A handshake takes a third of
	// a millisecond, with a slow target still less than 10 ms; the caller retransmits
	// after 200 ms.
	firstPacketTimeout = 80 * time.Millisecond
	// minCrashTimeout is the least time without any packet or announcement after which a
	// target that owes an answer counts as crashed and its flows are reset. Where
	// announcements are rare, the timeout is more than twice their interval, see
	// announcementTimeout.
	minCrashTimeout = 1500 * time.Millisecond
	// endedFlowTTL is how long an ended flow is remembered, so that late packets still
	// reach the target, which answers them.
	endedFlowTTL = 4 * time.Second
	// halfOpenFlowTTL is how long a flow whose handshake the caller hasn't completed is
	// remembered. Callers give up after 1.4 s.
	halfOpenFlowTTL = 3 * time.Second
	// openFlowTTL is how long an open flow without packets is remembered. The platform
	// allows flows older than one minute to be forgotten.
	openFlowTTL = 75 * time.Second
	// learningPeriod is how long an agent next to an older target can't be sure which
	// flows the target holds: the longest lifetime of a flow plus a margin of some
	// seconds.
	learningPeriod = 75 * time.Second
	// notHeldTTL is how long the agent remembers that the target returned a packet of a
	// flow.
	notHeldTTL = 2 * time.Second
	// maxFlows bounds the table; a target holds a few thousand flows.
	maxFlows = 20_000
	// maxUnanswered bounds the copies of unanswered first packets that are kept.
	maxUnanswered = 512
	// ackWindow is how far a caller's first acknowledgement may be from the target's
	// initial sequence number. Initial sequence numbers are random, so the handshake of
	// another target passes this check once in 40,000 times.
	ackWindow = 100_000
)

// Config configures an Engine.
type Config struct {
	// Service is the service that the VM's targets belong to; "" accepts any.
	Service string
	// Address is where the target receives packets; an announcement with another address
	// is another target's. "" accepts any.
	Address string
	Zone    string
	// Region is the region of the data centre.
	Region string
	// ColdOverage and ColdSlack say by how much a cold target's limit of new flows may be
	// exceeded: a factor, and a number of flows a second.
	ColdOverage, ColdSlack float64
	// Process is a random number that identifies this run of the agent.
	Process uint64
	// Heartbeat is the interval between the target's announcements; 0 if unknown.
	Heartbeat time.Duration
	// StartedAt is when the agent started, on the clock that is passed to the engine.
	StartedAt time.Duration
	Policy    Policy
	// Overload switches the parts of overload control on.
	Overload overload.Settings
	Codec    packet.Codec
	Out      Output
}

// stage is the state of a flow.
type stage uint8

const (
	halfOpen stage = iota + 1
	open
	ended
	notHeld
)

// flow is what the agent knows about one flow.
type flow struct {
	seenAt time.Duration
	// targetInitialSeq is the target's initial sequence number; 0 until it has answered.
	targetInitialSeq uint32
	// clientAck is the client's newest acknowledgement: a reset must be near it.
	clientAck uint32
	// clientEnd is the end of the client's data so far; valid if hasClientData is set.
	clientEnd     uint32
	hasClientData bool
	// targetEnd is the end of the target's data so far; 0 until it has answered the first
	// packet.
	targetEnd uint32
	stage     stage
	// running is set while a request waits for its answer, since runningAt; held is set
	// while a request is held at the agent until the target has room.
	running   bool
	held      bool
	runningAt time.Duration
	// bulk is set for flows of bulk routes. What runs there is counted apart: the target
	// receives a body for much longer than it works on it.
	bulk bool
	// openedAt is when the agent saw the handshake complete; 0 if it didn't.
	openedAt time.Duration
	// recorded is set once control has a record of the flow, with recordedAck.
	recorded    bool
	recordedAck uint32
	// finClient and finTarget are set for the sides that have closed.
	finClient, finTarget bool
	// answered is set once the target has answered the first packet.
	answered bool
}

// Engine is the state of one agent. It isn't safe for concurrent use.
type Engine struct {
	cfg    Config
	target target
	// replaced are the incarnations that others have replaced, the newest last; doubted is
	// an announcement that seemed to be outdated.
	replaced     []incarnation
	doubted      doubtedAnnouncement
	flows        map[packet.Flow]flow
	unanswered   map[packet.Flow]unansweredFirst
	load         load
	sweepAt      time.Duration
	reportNumber uint64
	leaving      bool
	// evacuated is set while the data centre's targets take no new flows.
	evacuated bool
	// coldFlows counts the new flows of a cold target.
	coldFlows flowCounter
	tags      balancerTags
	table     *route.Table
	admission admission
	latencies latencies
	outcomes  outcomes
	// learner learns how fast the target is; loggedLimit is what was last logged of it.
	learner       capacity.Learner
	loggedLimit   int
	limitLoggedAt time.Duration
	shares        shares
	// recalls are control's records of earlier flows until they are applied; ended are the
	// recorded flows that control has yet to be told are over.
	recalls       []flowlog.Update
	ended         []packet.Flow
	recordedFlows map[packet.Flow]struct{} // flows of recalls while the target isn't known
	// startedAt is when the agent began to listen for announcements.
	startedAt time.Duration
	pauses    pauses
	// foundNoTarget is set once a probe has found nobody at the target's address;
	// learningSince is since when the agent has seen all new flows. See knowsAllFlows.
	foundNoTarget bool
	learningSince time.Duration
}

// New returns an engine without a target.
func New(cfg Config) *Engine {
	return &Engine{
		cfg: cfg, flows: map[packet.Flow]flow{}, unanswered: map[packet.Flow]unansweredFirst{},
		tags: balancerTags{byAddress: map[netip.AddrPort]uint16{}}, startedAt: cfg.StartedAt, pauses: pauses{lastTickAt: cfg.StartedAt}, learningSince: cfg.StartedAt, load: load{meanUpdatedAt: cfg.StartedAt},
		shares: shares{usage: fairshare.NewUsage()},
	}
}

// Flows returns the number of open flows.
func (e *Engine) Flows() int { return e.load.flows }

// FromBalancer handles a client's packet that a balancer delivered.
func (e *Engine) FromBalancer(now time.Duration, from netip.AddrPort, h peer.Header, p packet.Packet, raw []byte) {
	f := p.FromClient()
	if reason := e.misdirected(now, h, p); reason != 0 {
		e.refuse(now, from, f, p, reason, now-h.Waited(), raw)
		return
	}
	x, known := e.flows[f]
	switch {
	case p.Opens():
		e.noteClient(now, f, h.Usage)
		e.handleFirst(now, newFirst(p, h, now, from, raw), x, known)
	case known && x.stage != notHeld:
		e.handleLater(now, from, f, x, p, raw)
	case e.unsure(now) && !known:
		e.sendToTarget(from, raw) // the target returns it if it lacks the flow
	default:
		e.refuse(now, from, f, p, peer.NotHeld, now, raw)
	}
}

// misdirected returns why a packet isn't for this agent's target, 0 if it is. Addresses
// are reused by other services, and balancers learn of it with a delay.
func (e *Engine) misdirected(now time.Duration, h peer.Header, p packet.Packet) peer.Reason {
	switch {
	case p.Opens():
		return e.wrongTarget(h.Service)
	case !e.target.known && !e.empty(now) && (h.Service == 0 || e.cfg.Service == "" || h.Service == route.IDOf(e.cfg.Service)):
		// The agent may have restarted next to a live target. Balancers that have only a
		// report of the new process don't know its service and send 0. If such a packet
		// were refused, the balancer would take an open flow for one that no agent holds,
		// and reset it.
		return 0
	case e.target.known && h.Service == 0:
		return 0 // opens nothing: the target returns it if it lacks the flow
	}
	return e.wrongTarget(h.Service)
}

// wrongTarget returns why the target isn't one of the given service, 0 if it is.
func (e *Engine) wrongTarget(s route.ServiceID) peer.Reason {
	switch {
	case !e.target.known:
		return peer.NoTarget
	case s != e.target.service:
		return peer.WrongService
	}
	return 0
}

// refuse returns a packet to a balancer. sentAt is when its client sent it, as far as
// known.
func (e *Engine) refuse(now time.Duration, to netip.AddrPort, f packet.Flow, p packet.Packet, reason peer.Reason, sentAt time.Duration, raw []byte) {
	verdict := RefusedLater
	if p.Opens() {
		verdict = RefusedFirst
	}
	e.cfg.Out.Refuse(to, reason, now-sentAt, raw)
	e.noteDecision(now, Decision{Verdict: verdict, Flow: f, Reason: reason})
}

// handleFirst handles a first packet or a retransmission of one.
func (e *Engine) handleFirst(now time.Duration, p arrival, x flow, known bool) {
	switch {
	case known && x.stage != notHeld && x.stage != ended:
		e.sendToTarget(p.from, p.raw)
	case e.target.draining || e.leaving:
		e.refuseFirst(now, p, peer.Draining)
	case e.evacuated:
		e.refuseFirst(now, p, peer.Evacuated)
	case !e.regionAllowed(p.flow):
		e.refuseFirst(now, p, peer.NotHome)
	case e.coldFull(now):
		e.refuseFirst(now, p, peer.Cold)
	case e.target.silent:
		e.refuseFirst(now, p, peer.TargetSilent)
	case len(e.flows) >= maxFlows:
		e.refuseFirst(now, p, peer.Full)
	case e.isTooLate(now, p):
		e.turnAway(now, p, patience.OutOfTime)
	case e.busy(now) || len(e.admission.queue) > 0:
		e.enqueueFirst(now, p)
		e.admitQueued(now)
	default:
		e.countArrival(now, e.openingCaller(now, p))
		e.admit(now, p)
	}
}

// admit sends a first packet to the target.
func (e *Engine) admit(now time.Duration, p arrival) {
	e.coldFlows.add(now)
	e.countUse(now, p.flow)
	x := flow{stage: halfOpen, seenAt: now, bulk: e.isBulk(p.flow)}
	if !x.bulk {
		e.expect(now, p.flow)
	}
	e.storeFlow(p.flow, x)
	if len(e.unanswered) < maxUnanswered {
		e.unanswered[p.flow] = unansweredFirst{arrival: p.clone(), since: now}
	}
	e.sendToTarget(p.from, p.raw)
}

// handleLater handles a packet of a known flow. If the caller completes the handshake of
// another target, which answered a retransmission of the first packet, the packet is
// returned, so that the balancer sends it there.
func (e *Engine) handleLater(now time.Duration, from netip.AddrPort, f packet.Flow, x flow, p packet.Packet, raw []byte) {
	if x.stage == halfOpen && !x.completesHandshake(p.Ack) {
		e.refuse(now, from, f, p, peer.NotHeld, now, raw)
		return
	}
	x.seenAt = now
	if p.Flags.Has(packet.ACK) {
		x.clientAck = p.Ack
	}
	if x.stage == halfOpen {
		x.stage = open
		x.openedAt = now
	}
	begins := x.noteClientData(p) && !x.running
	if x.held && e.handleWhileHeld(now, f, &x, p, raw) {
		e.storeFlow(f, x)
		return
	}
	if begins && x.bulk {
		x.running, x.runningAt = true, now
	} else if begins {
		expectedSince, admitted := e.stopExpecting(f)
		if !admitted {
			e.countArrival(now, e.requestCaller(arrival{flow: f, sentAt: now, firstSentAt: now}))
		}
		if !admitted && !p.Closes() && e.shouldHold(now) {
			x.held = true
			e.storeFlow(f, x)
			e.enqueueRequest(now, f, from, p.Seq, raw)
			return
		}
		if admitted {
			observe(&e.latencies.handshake, now-expectedSince)
		} else {
			e.countUse(now, f)
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
	e.storeFlow(f, x)
	e.expectResponse(now)
	e.sendToTarget(from, raw)
}

// handleWhileHeld handles a packet of a flow whose request is held. It reports whether
// the packet has been dealt with and must not be sent to the target.
func (e *Engine) handleWhileHeld(now time.Duration, f packet.Flow, x *flow, p packet.Packet, raw []byte) bool {
	if p.Closes() {
		e.handleCloseWhileHeld(now, f, x, p)
		return false
	}
	if p.Data == 0 {
		return false
	}
	e.enqueueMore(f, p.Seq, raw)
	return true
}

// handleCloseWhileHeld ends the hold of a flow that its client closes. After a FIN the
// request is released to the target; after a RST it is discarded, because nobody waits
// for the answer.
func (e *Engine) handleCloseWhileHeld(now time.Duration, f packet.Flow, x *flow, p packet.Packet) {
	at := e.queueIndex(f)
	if at < 0 {
		return
	}
	q := e.dequeue(at)
	if p.Flags.Has(packet.FIN) {
		e.release(now, q)
		x.running, x.runningAt = true, now
	}
	x.held = false
}

// completesHandshake reports whether an acknowledgement belongs to this target's
// handshake.
func (x flow) completesHandshake(ack uint32) bool {
	return x.answered && ack-x.targetInitialSeq < ackWindow
}

// noteClientData records a client's data and reports whether it is new. A retransmission
// of an answered request must not count as one in progress: after an agent's restart each
// caller sends several, and the target would look busy for seconds. Data that the target
// has acknowledged counts as seen, because the agent may see the answer before the first
// copy.
func (x *flow) noteClientData(p packet.Packet) bool {
	end := p.Seq + uint32(p.Data)
	if p.Data == 0 || x.hasClientData && int32(end-x.clientEnd) <= 0 {
		return false
	}
	x.clientEnd = end
	x.hasClientData = true
	return true
}

func (e *Engine) sendToTarget(from netip.AddrPort, raw []byte) {
	e.cfg.Codec.SetTag(raw, e.tags.tagOf(from))
	e.cfg.Out.ToTarget(raw)
}

// FromTarget handles a packet that the target sent.
func (e *Engine) FromTarget(now time.Duration, p packet.Packet, raw []byte) {
	e.noteAlive(now)
	if p.Flags.Has(packet.Bounced) {
		e.handleBounced(now, p, raw)
		return
	}
	f := p.FromTarget()
	delete(e.unanswered, f)
	x, known := e.flows[f]
	if !known || x.stage == notHeld {
		x = flow{stage: open, openedAt: now, bulk: e.isBulk(f)}
	}
	x.seenAt = now
	x.answered = true
	if p.Flags.Has(packet.ACK) && !p.Flags.Has(packet.SYN) && (!x.hasClientData || int32(p.Ack-x.clientEnd) > 0) {
		x.clientEnd = p.Ack
		x.hasClientData = true
	}
	switch {
	case p.Flags.Has(packet.SYN | packet.ACK):
		if x.targetEnd == 0 || x.targetInitialSeq != 0 && x.targetInitialSeq != p.Seq {
			x.targetEnd = p.Seq + 1
		}
		x.targetInitialSeq = p.Seq
		if !known {
			x.stage = halfOpen
		}
	case p.Flags.Has(packet.RST):
		x.stage = ended
		if x.running && !x.finTarget {
			e.countBroken(now, 1)
			e.learner.Failed(now, f)
		}
	}
	if x.running && x.answers(p) {
		x.running = false
		e.load.answeredAt = now
		e.outcomes.add(now, 1, 0)
		e.cfg.Out.Answered(now - x.runningAt)
		if !x.bulk {
			observe(&e.latencies.service, now-x.runningAt)
		}
		e.noteAnswer(now, f)
	}
	x.noteTargetData(p)
	if p.Flags.Has(packet.FIN) {
		x.finTarget = true
		x.running = false
	}
	if x.finClient && x.finTarget {
		x.stage = ended
	}
	e.storeFlow(f, x)
	e.cfg.Out.ToClient(f.Client, raw)
	e.admitQueued(now)
}

// answers reports whether a target's packet shows that it has answered the request in
// progress: it carries data, or closes the flow behind data that it has overtaken on its way.
func (x *flow) answers(p packet.Packet) bool {
	return p.Data > 0 || p.Flags.Has(packet.FIN) && x.targetEnd != 0 && int32(p.Seq-x.targetEnd) > 0
}

func (x *flow) noteTargetData(p packet.Packet) {
	if end := p.Seq + uint32(p.Data); p.Data > 0 && (x.targetEnd == 0 || int32(end-x.targetEnd) > 0) {
		x.targetEnd = end
	}
}

// handleBounced handles a packet that the target returned.
func (e *Engine) handleBounced(now time.Duration, p packet.Packet, raw []byte) {
	f := p.FromClient()
	reason := peer.NotHeld
	sentAt := now
	if p.Opens() {
		reason = peer.Full
		if w, ok := e.unanswered[f]; ok {
			sentAt = w.sentAt
		}
		delete(e.unanswered, f)
		e.stopExpecting(f)
		e.removeFlow(f)
	} else {
		e.storeFlow(f, flow{stage: notHeld, seenAt: now})
	}
	to, ok := e.tags.address(p.Tag)
	if !ok {
		return // the packet precedes this process; the caller retransmits it
	}
	e.cfg.Codec.SetTag(raw, 0)
	e.refuse(now, to, f, p, reason, sentAt, raw)
}
