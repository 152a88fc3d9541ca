// Package forward is a balancer's part of pass-through flows: which agent gets
// a new flow, who holds an old one, what is held back meanwhile, and what is
// reset. It has no network and no clock; packets, reports and time come in as
// arguments, and an Output takes what is to be sent.
//
// The load it answers: the fabric hands a flow to another balancer whenever
// balancers join, leave, restart or die, and that one has never seen it. Nothing
// is replicated between balancers. The agents see every packet of their
// targets and are asked; the packet waits for that round trip. Guessing instead
// would break flows, since packets that reach other targets count as lost ones.
//
// Each flow prefers a few agents by a hash (ranking.go). New flows are placed among them,
// by loads that are asked for then (placement.go, choose.go), and searched among them
// first (search.go), so that neither costs more in a larger fleet.
//
// A first packet that can't be placed is reset at once: nothing ran, and the
// caller may try elsewhere. A packet of a flow that may be open anywhere is never
// answered with a reset.
package forward

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/placement"
	"bergamotstall/internal/passthrough/route"
)

const (
	// agentForgotten is how long an agent that control no longer lists is asked.
	// A VM that was cut off from control, or frozen, still finds its flows.
	agentForgotten = 12 * time.Second
	// flowKept is how long a flow without a packet keeps its place in the
	// table. Forgetting early costs a question to the agents, not the flow.
	flowKept = 20 * time.Second
	// maxFlows bounds the table. 20 million flows over 1,200 balancers are
	// 17,000 each; the rest is for balancers that serve for others. Over it new
	// entries aren't kept, and each packet costs a question.
	maxFlows = 200_000
	// maxTries bounds how many targets a first packet is offered to. Each offer
	// to a target that is frozen takes the agent's patience, and a caller gives
	// up after 1.4 s.
	maxTries = 6
	// fullPause keeps new flows from a target that just handed one back as full.
	fullPause = 100 * time.Millisecond
)

// Config sets an engine up.
type Config struct {
	// Zone is the balancer's data centre.
	Zone string
	// Regions are those of all data centres, by their names.
	Regions map[string]string
	Rand    *rand.Rand
	Policy  Policy
	// QuestionBudget is how many bytes of questions may be sent a second, so that
	// searches leave the balancer's link to the packets of flows; 0 for no bound.
	QuestionBudget float64
	Out            Output
}

// Policy holds the thresholds that what callers get depends on most.
type Policy struct {
	Place placement.Policy
	// Youth is how long after the first table control may take to list all agents:
	// those that restart with it attach to it one after the other.
	Youth time.Duration
	// DropEarly drops the packets that come before the table.
	DropEarly bool
	// OldestFirst hands early packets on in the order in which they came.
	OldestFirst bool
}

// DefaultPolicy is the policy in use.
func DefaultPolicy() Policy {
	return Policy{Place: placement.Default(), Youth: 150 * time.Millisecond}
}

// holder is where a flow's packets go.
type holder struct {
	seenAt time.Duration
	// refused is nil until an agent has handed the first packet back.
	refused *refusals
	agent   uint32
	tries   uint8
}

// refusals are the agents that handed a flow's first packet back.
type refusals struct{ agents []uint32 }

// exclude keeps an agent from being offered the first packet again.
func (h *holder) exclude(agent uint32) {
	if h.refused == nil {
		h.refused = &refusals{}
	}
	h.refused.agents = append(h.refused.agents, agent)
}

// excluded are the agents that the first packet isn't offered to.
func (h *holder) excluded() []uint32 {
	if h.refused == nil {
		return nil
	}
	return h.refused.agents
}

// Engine is one balancer's state. It isn't safe for concurrent use; one
// goroutine owns it.
type Engine struct {
	cfg   Config
	table *route.Table
	// evacuated are the data centres whose targets take no new flows.
	evacuated map[string]bool
	agents    agents
	flows     map[packet.Flow]holder
	searches  map[packet.Flow]*search
	held      int
	// queue holds the flows whose search waits for its turn, asking counts those
	// that are being asked for, and budget bounds the questions.
	queue  []packet.Flow
	asking int
	budget budget
	// wideSearches tell of the flows that were searched among all agents lately.
	wideSearches map[packet.Flow]wideSearch
	sweepAt      time.Duration
	// placements are the first packets that wait for their candidates' loads.
	placements placements
	// tabledAt is when the first table came; early are the packets that came
	// before the engine could place them.
	tabledAt time.Duration
	early    map[packet.Flow]earlyPacket
}

// New returns an engine that knows no table and no agents.
func New(cfg Config) *Engine {
	return &Engine{
		cfg: cfg, budget: budget{rate: cfg.QuestionBudget}, flows: map[packet.Flow]holder{}, searches: map[packet.Flow]*search{}, early: map[packet.Flow]earlyPacket{},
		agents: newAgents(), placements: newPlacements(), wideSearches: map[packet.Flow]wideSearch{},
	}
}

// SetTable puts a table in force.
func (e *Engine) SetTable(now time.Duration, t *route.Table) {
	if e.table == nil {
		e.tabledAt = now
	}
	e.table = t
}

// SetEvacuated tells which data centres' targets take no new flows. Open flows there go
// on, and are searched there.
func (e *Engine) SetEvacuated(zones []string) {
	e.evacuated = map[string]bool{}
	for _, zone := range zones {
		e.evacuated[zone] = true
	}
}

// Flows returns how many flows have a known place.
func (e *Engine) Flows() int { return len(e.flows) }

// Searches returns how many flows are being searched.
func (e *Engine) Searches() int { return len(e.searches) }

// arrival is a client's packet and when it came.
type arrival struct {
	at  time.Duration
	p   packet.Packet
	raw []byte
}

// age is how long ago the client began to open the flow, or sent the packet of an
// open one.
func (a arrival) age(now time.Duration) time.Duration {
	if a.p.Opens() {
		return now - a.at + a.p.SinceFirst()
	}
	return now - a.at
}

// FromClient takes a packet from the fabric.
func (e *Engine) FromClient(now time.Duration, p packet.Packet, raw []byte) {
	e.fromClient(now, arrival{at: now, p: p, raw: raw})
}

// fromClient takes a packet that came some time ago.
func (e *Engine) fromClient(now time.Duration, a arrival) {
	f := a.p.FromClient()
	if e.table == nil {
		e.keepEarly(f, a, false)
		return
	}
	if len(e.table.Services(f.Service)) == 0 {
		e.noRoute(a.p, f)
		return
	}
	at, known := e.flows[f]
	switch {
	case a.p.Opens():
		e.open(now, a, f, at, known)
	case known:
		at.seenAt = now
		e.flows[f] = at
		e.deliver(at.agent, a.raw)
	default:
		e.startSearch(now, a.p, f, a.raw, noAgent)
	}
}

// noRoute answers packets to an address that the table doesn't have. Where the
// route was dropped, its open flows end with it.
func (e *Engine) noRoute(p packet.Packet, f packet.Flow) {
	if p.Flags.Has(packet.RST) {
		return
	}
	if p.Opens() {
		e.cfg.Out.Reset(f, 0)
		e.note(Decision{Flow: f, Verdict: RefusedNoRoute})
		return
	}
	delete(e.flows, f)
	e.dropSearch(f)
	e.cfg.Out.Reset(f, p.Ack)
	e.note(Decision{Flow: f, Verdict: ResetRouteGone})
}

// open takes a first packet or a copy of it. Copies follow the first one while
// its agent is alive: two targets that both answer cost each other a flow's
// worth of state.
func (e *Engine) open(now time.Duration, a arrival, f packet.Flow, at holder, known bool) {
	switch {
	case e.placements.byFlow[f] != nil:
		// The first packet waits for its place.
	case !known:
		e.place(now, a, f, holder{}, 0)
	case e.agents.list[at.agent].silent(now):
		at.exclude(at.agent)
		e.place(now, a, f, at, peer.Silent)
	default:
		e.followFirst(now, a, f, at)
	}
}

// refuseCaller tells a caller that nobody takes its flow; nothing ran.
func (e *Engine) refuseCaller(f packet.Flow, at holder, why peer.Reason) {
	delete(e.flows, f)
	e.cfg.Out.Reset(f, 0)
	e.note(Decision{Flow: f, Verdict: RefusedNoTarget, Reason: why, Asked: int(at.tries)})
}

func (e *Engine) deliver(agent uint32, raw []byte) { e.deliverAged(agent, 0, raw) }

// deliverAged sends a first packet with the time that it has waited: agents whose
// targets are busy let the newest go first.
func (e *Engine) deliverAged(agent uint32, age time.Duration, raw []byte) {
	a := &e.agents.list[agent]
	e.cfg.Out.Deliver(a.address, a.service(), age, raw)
}

// Refused takes a packet that an agent handed back. The head tells why, and how
// long the packet has been under way.
func (e *Engine) Refused(now time.Duration, from netip.AddrPort, h peer.Head, p packet.Packet, raw []byte) {
	f := p.FromClient()
	agent := e.agents.alive(now, from)
	if e.table == nil || len(e.table.Services(f.Service)) == 0 {
		return // the client's next packet meets the new table
	}
	at, known := e.flows[f]
	if p.Opens() {
		e.refusedFirst(now, arrival{at: now - h.Waited(), p: p, raw: raw}, f, at, known, agent, h.Reason)
		return
	}
	if known && at.agent != agent {
		e.deliver(at.agent, raw) // found meanwhile
		return
	}
	if s := e.searches[f]; s != nil {
		e.lacks(now, f, s, agent)
		return
	}
	delete(e.flows, f)
	e.startSearch(now, p, f, raw, agent)
}

// refusedFirst offers a first packet elsewhere, unless its caller is better told
// at once. The packet stays as old as it is: taken for new by the next agent, it
// would go before callers that can still be answered in time, and be offered from
// one to the next long after its own caller has given up.
func (e *Engine) refusedFirst(now time.Duration, a arrival, f packet.Flow, at holder, known bool, agent uint32, why peer.Reason) {
	if known && at.agent != agent {
		return // a copy has gone to another agent already
	}
	if why == peer.Busy || a.age(now) >= packet.OpenPatience {
		e.refuseCaller(f, at, why)
		return
	}
	switch why {
	case peer.Full:
		e.agents.list[agent].avoidUntil = now + fullPause
	case peer.Silent, peer.Draining, peer.NoTarget, peer.WrongService, peer.Evacuated, peer.Cold, peer.NotHome:
		e.agents.list[agent].report.Open = false // until its next report
	}
	at.exclude(agent)
	if at.tries == 0 {
		at.tries = 1
	}
	e.place(now, a, f, at, why)
}

// Tick lets time pass: unanswered questions are asked again or given up, and
// flows that are long over forgotten.
func (e *Engine) Tick(now time.Duration) {
	e.watch(now)
	e.tickPlacements(now)
	e.tickSearches(now)
	e.replayEarly(now)
	if now < e.sweepAt {
		return
	}
	e.sweepAt = now + time.Second
	for f, at := range e.flows {
		if now-at.seenAt > flowKept {
			delete(e.flows, f)
		}
	}
	e.sweepSearches(now)
	e.sweepAgents(now)
}

func (e *Engine) note(d Decision) {
	if e.table != nil {
		d.Version = e.table.Version
	}
	e.cfg.Out.Note(d)
}
