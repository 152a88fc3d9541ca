// Package forward is a balancer's part of pass-through flows: it places new flows at
// agents, finds the holders of flows it doesn't know, holds packets meanwhile, and
// decides on resets. It has no network and no clock; packets, reports and the time come
// in as arguments, and an Output sends the results.
//
// The fabric hands a flow to another balancer whenever balancers join, leave, restart or
// fail, and that one has never seen it. Balancers replicate no state to each other.
// Instead they ask the agents, which see every packet of their targets, and hold the
// packet for that round trip. Sending it to a guessed target would break flows, since a
// packet that reaches the wrong target counts as lost.
//
// Each flow prefers a few agents by rendezvous hashing (ranking.go). New flows are placed
// among these by loads that are requested on demand (placement.go, choose.go), and
// unknown flows are searched there first (search.go), so that the cost of neither grows
// with the fleet.
//
// A first packet that can't be placed is reset at once: nothing ran, and the caller may
// try elsewhere. A packet of a flow that may be open at some target is never answered
// with a reset.
package forward

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/bulk"
	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/placement"
	"bergamotstall/internal/passthrough/route"
)

const (
	// delistedAgentTTL is how long an agent is still asked after control delisted it, so
	// that flows at a VM that is frozen or cut off from control are found.
	delistedAgentTTL = 12 * time.Second
	// flowTTL is how long an idle flow stays in the table. Removal costs a question to
	// the agents at its next packet, not the flow.
	flowTTL = 20 * time.Second
	// maxFlows bounds the table. 20 million flows over 1,200 balancers are 17,000 each;
	// the rest is for balancers that take over from others. Beyond it new entries aren't
	// stored, and each packet costs a question.
	maxFlows = 200_000
	// maxPlacementAttempts bounds how many targets a first packet is offered to. Each
	// offer to a frozen target takes the agent's timeout, and a caller gives up after
	// 1.4 s.
	maxPlacementAttempts = 6
	// fullTargetBackoff keeps new flows away from a target that handed one back as full.
	fullTargetBackoff = 100 * time.Millisecond
)

// Config configures an engine.
type Config struct {
	// Zone is the balancer's data centre.
	Zone string
	// Regions maps the names of data centres to their regions.
	Regions map[string]string
	Rand    *rand.Rand
	Policy  Policy
	// QuestionBudget is how many bytes of questions may be sent a second, so that
	// searches leave the balancer's link to the packets of flows; 0 for no bound.
	QuestionBudget float64
	// LinkRate is the rate of the VM's link in each direction, in bytes a second; 0 if
	// unknown.
	LinkRate float64
	// Overload switches the parts of overload control on.
	Overload overload.Settings
	Out      Output
}

// Policy holds the settings that affect what callers get the most.
type Policy struct {
	Place placement.Policy
	// Youth is the shortest start-up time, counted from the first table: agents report one
	// after the other.
	Youth time.Duration
	// DropEarly drops packets that arrive before the table instead of holding them.
	DropEarly bool
	// OldestFirst replays held packets in the order of arrival.
	OldestFirst bool
}

// DefaultPolicy returns the policy used in production.
func DefaultPolicy() Policy {
	return Policy{Place: placement.DefaultPolicy(), Youth: 150 * time.Millisecond}
}

// flowEntry is the flow table's entry: the agent that a flow's packets go to, and the
// service that the flow was placed for. The agent's address may be reused by another
// service, so the agent alone doesn't tell.
type flowEntry struct {
	lastPacketAt time.Duration
	// service is 0 if the flow was found at an agent whose service isn't known.
	service route.ServiceID
	// refused is nil until an agent hands the first packet back.
	refused *refusals
	// opening is what is known of the first packet where tracksCopies is set, else nil.
	opening  *bulk.First
	agent    uint32
	attempts uint8
	// copies is the copy number of the first packet that the agent got last.
	copies uint8
	// opened is set once a flow that was placed here has opened.
	opened bool
	// found is set if a search found the flow, which is open then.
	found bool
}

// refusals are the agents that handed a flow's first packet back.
type refusals struct{ agents []uint32 }

// exclude keeps an agent from being offered the first packet again.
func (h *flowEntry) exclude(agent uint32) {
	if h.refused == nil {
		h.refused = &refusals{}
	}
	h.refused.agents = append(h.refused.agents, agent)
}

// noteCopy records a copy of the flow's first packet.
func (h *flowEntry) noteCopy(p packet.Packet) {
	if h.opening != nil {
		h.opening.Copy(p.Ack)
	}
}

// excludedAgents returns the agents that the first packet isn't offered to.
func (h *flowEntry) excludedAgents() []uint32 {
	if h.refused == nil {
		return nil
	}
	return h.refused.agents
}

// Engine is the state of one balancer. It isn't safe for concurrent use; one goroutine
// owns it.
type Engine struct {
	cfg   Config
	table *route.Table
	// bulkPolicy is the placement policy for flows with large bodies or responses.
	bulkPolicy placement.Policy
	// evacuated are the data centres whose targets take no new flows.
	evacuated   map[string]bool
	agents      agentTable
	flows       map[packet.Flow]flowEntry
	searches    map[packet.Flow]*search
	heldPackets int
	// searchQueue holds the flows whose search hasn't started, activeSearches counts the
	// searches that have, and budget bounds their questions.
	searchQueue    []packet.Flow
	activeSearches int
	budget         questionBudget
	// wideSearches holds the flows that were recently searched among all agents.
	wideSearches map[packet.Flow]wideSearch
	nextSweepAt  time.Duration
	// placements are the first packets that wait for the loads of their candidates.
	placements pendingPlacements
	// firstTableAt is when the first table was set; earlyPackets are the packets held
	// until the engine can handle them.
	firstTableAt time.Duration
	earlyPackets map[packet.Flow]earlyPacket
	// listsComplete is the last value of SetListsComplete; listsWereComplete is set once it
	// was true.
	listsComplete, listsWereComplete bool
	// droppedOpenings is what is known of the first packets of flows that weren't reset, as
	// they may be open.
	droppedOpenings map[packet.Flow]*bulk.First
	bulk            bulkGate
	link            linkQueues
	// shortage is what is done while callers wait at all targets.
	shortage doorState
}

// New returns an engine without a table and without agents.
func New(cfg Config) *Engine {
	return &Engine{
		cfg: cfg, bulkPolicy: cfg.Policy.Place.ForBulk(), budget: questionBudget{rate: cfg.QuestionBudget}, flows: map[packet.Flow]flowEntry{}, searches: map[packet.Flow]*search{}, earlyPackets: map[packet.Flow]earlyPacket{},
		agents: newAgentTable(), placements: newPendingPlacements(), wideSearches: map[packet.Flow]wideSearch{}, shortage: newDoorState(), droppedOpenings: map[packet.Flow]*bulk.First{},
		bulk: newBulkGate(cfg), link: newLinkQueues(cfg),
	}
}

// SetTable sets the routing table.
func (e *Engine) SetTable(now time.Duration, t *route.Table) {
	if e.table == nil {
		e.firstTableAt = now
	}
	e.table = t
	e.bulkRoutesChanged(now)
}

// SetEvacuated sets the data centres whose targets take no new flows. Flows that are open
// there continue, and are searched there.
func (e *Engine) SetEvacuated(zones []string) {
	e.evacuated = map[string]bool{}
	for _, zone := range zones {
		e.evacuated[zone] = true
	}
}

// Flows returns the size of the flow table.
func (e *Engine) Flows() int { return len(e.flows) }

// Searches returns how many flows are being searched, queued ones included.
func (e *Engine) Searches() int { return len(e.searches) }

// arrival is a client's packet with its time of arrival.
type arrival struct {
	arrivedAt time.Duration
	p         packet.Packet
	raw       []byte
}

// age is the time since the client began to open the flow, or sent the packet of an open
// one.
func (a arrival) age(now time.Duration) time.Duration {
	if a.p.Opens() {
		return now - a.arrivedAt + a.p.SinceFirst()
	}
	return now - a.arrivedAt
}

// HandleClientPacket handles a client's packet from the fabric.
func (e *Engine) HandleClientPacket(now time.Duration, p packet.Packet, raw []byte) {
	e.link.look(now)
	e.fromClient(now, arrival{arrivedAt: now, p: p, raw: raw})
}

// fromClient handles a client's packet that may have been held for some time.
func (e *Engine) fromClient(now time.Duration, a arrival) {
	f := a.p.FromClient()
	if e.table == nil {
		e.holdUntilReady(f, a, false)
		return
	}
	if len(e.table.Services(f.Service)) == 0 {
		e.rejectNoRoute(a.p, f)
		return
	}
	entry, known := e.flows[f]
	if !a.p.Opens() {
		e.noteOpen(f, entry, known)
	}
	isBulk := e.isBulk(f)
	if isBulk && e.holdsBulk(now, a, f, known) {
		return
	}
	switch {
	case a.p.Opens():
		e.handleFirstPacket(now, a, f, entry, known)
	case isBulk && e.queuesBulk(now, a):
	default:
		e.forwardPacket(now, a.p, f, a.raw)
	}
}

// forwardPacket sends a packet of an open flow to its agent, which is searched for if it isn't
// known.
func (e *Engine) forwardPacket(now time.Duration, p packet.Packet, f packet.Flow, raw []byte) {
	entry, known := e.flows[f]
	if !known {
		e.startSearch(now, p, f, raw, noAgent)
		return
	}
	entry.lastPacketAt = now
	e.countOpened(now, f, &entry, p)
	e.flows[f] = entry
	e.deliver(entry, 0, raw)
}

// rejectNoRoute resets flows to an address that the table doesn't have, including open
// ones whose route was removed.
func (e *Engine) rejectNoRoute(p packet.Packet, f packet.Flow) {
	if p.Flags.Has(packet.RST) {
		return
	}
	if p.Opens() {
		e.cfg.Out.Reset(f, 0)
		e.logDecision(Decision{Flow: f, Verdict: RefusedNoRoute})
		return
	}
	delete(e.flows, f)
	e.dropSearch(f)
	e.cfg.Out.Reset(f, p.Ack)
	e.logDecision(Decision{Flow: f, Verdict: ResetRouteGone})
}

// handleFirstPacket handles a first packet or a retransmit of it. Retransmits go to the
// same agent while that is responsive and the placement valid: if two targets answered,
// each would keep state for the flow.
func (e *Engine) handleFirstPacket(now time.Duration, a arrival, f packet.Flow, entry flowEntry, known bool) {
	if p := e.placements.byFlow[f]; p != nil {
		p.entry.noteCopy(a.p)
		return // the first packet still waits for placement
	}
	entry.noteCopy(a.p)
	switch {
	case !known:
		if e.tracksCopies(f) {
			entry.opening = e.openingOf(now, a, f)
		}
		e.place(now, a, f, entry, 0)
	case !e.placementValid(f, entry):
		e.place(now, a, f, entry, peer.WrongService)
	case e.agents.list[entry.agent].unresponsive(e.link.before(now)):
		entry.exclude(entry.agent)
		e.place(now, a, f, entry, peer.TargetSilent)
	default:
		e.forwardRetransmit(now, a, f, entry)
	}
}

// rejectFlow resets a flow that no target accepts, unless it may be open; nothing ran.
func (e *Engine) rejectFlow(now time.Duration, f packet.Flow, entry flowEntry, reason peer.Reason) {
	delete(e.flows, f)
	e.endBulk(now, f)
	d := Decision{Flow: f, Verdict: DroppedMayBeOpen, Reason: reason, Asked: int(entry.attempts)}
	switch {
	case !e.mayBeOpen(now, f, entry):
		d.Verdict = RefusedNoTarget
		e.cfg.Out.Reset(f, 0)
	case e.isBulk(f):
		d.Verdict = DroppedBulk
	}
	if d.Verdict != RefusedNoTarget {
		e.rememberOpening(f, entry)
	}
	e.logDecision(d)
}

// deliver sends a flow's packet to its agent. The packet names the service that the flow
// was placed for, not the one that the agent belongs to by now, so that the agent refuses
// it once the address is another service's. age is how long a first packet was held:
// agents with busy targets admit the newest packets first.
func (e *Engine) deliver(entry flowEntry, age time.Duration, raw []byte) {
	e.link.sent(len(raw))
	e.cfg.Out.Deliver(e.agents.list[entry.agent].address, entry.service, age, 0, raw)
}

// deliverFirst sends a first packet to its agent, with its client's usage.
func (e *Engine) deliverFirst(now time.Duration, f packet.Flow, entry flowEntry, a arrival) {
	e.link.sent(len(a.raw))
	e.cfg.Out.Deliver(e.agents.list[entry.agent].address, entry.service, now-a.arrivedAt, e.stampOf(now, f), a.raw)
}

// HandleRefused handles a packet that an agent handed back. The header tells why, and how long
// the packet has been under way.
func (e *Engine) HandleRefused(now time.Duration, from netip.AddrPort, h peer.Header, p packet.Packet, raw []byte) {
	f := p.FromClient()
	agent := e.markSeen(now, from)
	if e.table == nil || len(e.table.Services(f.Service)) == 0 {
		return // the client's next packet is handled by the new table
	}
	entry, known := e.flows[f]
	if p.Opens() {
		e.retryFirstPacket(now, arrival{arrivedAt: now - h.Waited(), p: p, raw: raw}, f, entry, known, agent, h.Reason)
		return
	}
	if known && entry.agent != agent {
		e.deliver(entry, 0, raw) // found meanwhile
		return
	}
	if s := e.searches[f]; s != nil {
		e.handleLacks(now, f, s, agent)
		return
	}
	delete(e.flows, f)
	e.startSearch(now, p, f, raw, agent)
}

// retryFirstPacket offers a first packet to another target, unless its flow is better
// reset at once. The packet keeps its age: as a new one it would overtake callers that
// can still be answered in time, and would be passed from target to target long after its
// own caller gave up.
func (e *Engine) retryFirstPacket(now time.Duration, a arrival, f packet.Flow, entry flowEntry, known bool, agent uint32, reason peer.Reason) {
	if known && entry.agent != agent {
		return // a retransmit has already gone to another agent
	}
	if reason == peer.Busy && e.overtaken(f, entry, a.p) {
		e.noteBusy(agent)
		return
	}
	if reason == peer.Busy && !e.hasGoal(f.Service) || a.age(now) >= e.callerLimit(f) {
		e.rejectFlow(now, f, entry, reason)
		return
	}
	switch reason {
	case peer.Busy:
		e.noteBusy(agent)
		e.retryBusy(now, a, f, entry, agent)
		return
	case peer.Full:
		e.agents.list[agent].avoidUntil = now + fullTargetBackoff
	case peer.TargetSilent, peer.Draining, peer.NoTarget, peer.WrongService, peer.Evacuated, peer.Cold, peer.NotHome:
		e.agents.list[agent].report.AcceptsFlows = false // until its next report
	}
	entry.exclude(agent)
	if entry.attempts == 0 {
		entry.attempts = 1
	}
	e.place(now, a, f, entry, reason)
}

// Tick handles timeouts: it repeats or ends searches and placements, and removes idle
// flows from the table.
func (e *Engine) Tick(now time.Duration) {
	e.link.tick(now)
	e.probeNextAgent(now)
	e.tickBulk(now)
	e.tickPlacements(now)
	e.tickSearches(now)
	e.replayWhenReady(now)
	if now < e.nextSweepAt {
		return
	}
	e.nextSweepAt = now + time.Second
	for f, entry := range e.flows {
		if now-entry.lastPacketAt > flowTTL {
			delete(e.flows, f)
		}
	}
	e.sweepSearches(now)
	e.sweepAgents(now)
	e.sweepOpenings(now)
}

func (e *Engine) logDecision(d Decision) {
	if e.table != nil {
		d.Version = e.table.Version
	}
	e.cfg.Out.LogDecision(d)
}
