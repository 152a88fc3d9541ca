package flow

import (
	"net/netip"
	"time"

	"bergamotstall/internal/connid"
	"bergamotstall/internal/envelope"
	"bergamotstall/internal/steering"
	"bergamotstall/internal/table"
)

const (
	// handshakeMemory is how long the choice for a new flow is remembered. A
	// caller gives up its handshake after 5 to 10 s; until then each datagram
	// of its first flight must meet the same agent.
	handshakeMemory = 10 * time.Second
	// memoryLimit bounds the remembered choices. At 2,000 connections a host
	// and handshakes of a few round trips, thousands mean a flood of first
	// packets; then the choice is made again for each packet.
	memoryLimit = 16384
)

// Arrival is one caller's packet as it reached the agent.
type Arrival struct {
	Now time.Time
	// Opening is set for packets that may open a flow.
	Opening bool
	// Long is set for packets with a long header.
	Long bool
	// Origin and Named are what the packet's connection ID says.
	Origin connid.Origin
	Named  table.AgentNumber
	// Revision is the table's that the last hop decided by.
	Revision table.Revision
	// Hops counts the agents that handed the packet on, HandedBy is the last.
	Hops     uint8
	HandedBy table.AgentNumber
	// Orphan is set where a balancer can't reach the agent that the packet names.
	Orphan bool
	// Key is the flow's placement key under the agent's own table.
	Key uint64
	// Memory identifies the flow among the remembered choices.
	Memory uint64
}

// Standing is what the agent is and knows when the packet arrives.
type Standing struct {
	Self table.AgentNumber
	// Tunnel is where packets for this agent arrive.
	Tunnel netip.AddrPort
	Map    *steering.CompiledTable
	// Service is the agent's own, as the table has it.
	Service *steering.Service
	// Draining is set while the agent takes no new flows.
	Draining bool
	// Flows are open now, Limit may be.
	Flows, Limit int
	// Generation is the key generation of new flows.
	Generation uint8
}

// Action is what becomes of a packet.
type Action uint8

const (
	// Deliver hands the packet to the agent's own QUIC end.
	Deliver Action = iota
	// HandOver sends it to another agent of the service.
	HandOver
	// Reset answers it with a stateless reset: nobody has the flow any more.
	Reset
	// Refuse answers the handshake with a refusal.
	Refuse
	// Drop does nothing; the caller sends again.
	Drop
)

// Reason says why, for the counters.
type Reason uint8

const (
	Own Reason = iota
	OpenedHere
	Remembered
	DrainingElsewhere
	OverLimitElsewhere
	NewerChoice
	NamedOther
	GoneAgent
	PreviousIncarnation
	Unreachable
	NobodyElse
	AheadOfTable
	TooManyHops
	OtherService
	NotOurs
	NoNumber

	reasons
)

var reasonNames = [reasons]string{
	"own", "opened_here", "remembered", "draining", "over_limit", "newer_choice", "named_other",
	"gone_agent", "previous_incarnation", "unreachable", "nobody_else", "ahead_of_table",
	"too_many_hops", "other_service", "not_ours", "no_number",
}

// String returns the reason's name in counters.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Agent is whom HandOver goes to.
	Agent table.AgentNumber
	// Generation is the key generation that a new flow was accepted under. It
	// stays with the flow's handshake through a rotation.
	Generation uint8
}

type remembered struct {
	agent      table.AgentNumber
	generation uint8
}

// Deflector decides for each packet whether this agent keeps it. It is a state
// machine without sockets, clock or randomness; its only state is the choices
// made for handshakes in progress.
//
// It answers tables that reach balancers and agents unevenly, and targets that
// drain or fill up between two tables. Without it, a draining target would get
// new flows until the last balancer has the new table, and the two datagrams of
// one first flight would be dealt to two agents, of which neither can answer.
type Deflector struct {
	choices map[uint64]remembered
	// queue has the choices in order of age, from head on.
	queue []expiry
	head  int
}

type expiry struct {
	memory uint64
	until  time.Time
}

// NewDeflector returns a deflector that remembers nothing yet.
func NewDeflector() *Deflector {
	return &Deflector{choices: make(map[uint64]remembered)}
}

// Decide judges one packet.
func (d *Deflector) Decide(s *Standing, a *Arrival) Verdict {
	switch {
	case s.Self == 0 || s.Service == nil:
		return Verdict{Action: Drop, Reason: NoNumber}
	case a.Origin == connid.Ours:
		return established(s, a)
	case a.Opening:
		return d.opening(s, a)
	case a.Origin == connid.UnknownGeneration:
		return Verdict{Action: Drop, Reason: AheadOfTable}
	}
	return Verdict{Action: Drop, Reason: NotOurs}
}

func established(s *Standing, a *Arrival) Verdict {
	if a.Named == s.Self {
		return Verdict{Action: Deliver, Reason: Own}
	}
	named, known := s.Map.Agent(a.Named)
	switch {
	case !known && a.Named > max(s.Map.Newest(), s.Self):
		return Verdict{Action: Drop, Reason: AheadOfTable}
	case !known:
		return gone(a, GoneAgent)
	case named.Service != s.Service.ID:
		return Verdict{Action: Drop, Reason: OtherService}
	case named.State == table.Retired:
		return gone(a, GoneAgent)
	case s.sharesTunnel(named):
		// The table still has the incarnation that this one replaced at the
		// same address; handing on would come straight back.
		return gone(a, PreviousIncarnation)
	case a.Orphan && named.Reach.Down():
		return gone(a, Unreachable)
	case a.Hops >= envelope.MaxHops:
		return Verdict{Action: Drop, Reason: TooManyHops}
	}
	return Verdict{Action: HandOver, Reason: NamedOther, Agent: a.Named}
}

// sharesTunnel tells whether an older agent has this one's address.
func (s *Standing) sharesTunnel(other *steering.Agent) bool {
	return other.Number < s.Self && other.Tunnel == s.Tunnel
}

// isSelf tells whether packets for an agent arrive here. A packet handed to an
// earlier incarnation at this address would go round until its hops are spent.
func (s *Standing) isSelf(number table.AgentNumber) bool {
	if number == s.Self {
		return true
	}
	other, ok := s.Map.Agent(number)
	return ok && s.sharesTunnel(other)
}

// gone answers for a flow that nobody has. A long header can't be answered with
// a stateless reset; its handshake starts over.
func gone(a *Arrival, r Reason) Verdict {
	if a.Long {
		return Verdict{Action: Drop, Reason: r}
	}
	return Verdict{Action: Reset, Reason: r}
}

func (d *Deflector) opening(s *Standing, a *Arrival) Verdict {
	d.expire(a.Now)
	if choice, ok := d.choices[a.Memory]; ok {
		return repeat(s, a, choice)
	}
	v := choose(s, a)
	v.Generation = s.Generation
	switch v.Action {
	case Deliver:
		d.remember(a, s.Self, s.Generation)
	case HandOver:
		d.remember(a, v.Agent, s.Generation)
	}
	return v
}

// repeat sends a later packet of a first flight where the earlier one went.
func repeat(s *Standing, a *Arrival, choice remembered) Verdict {
	if choice.agent == s.Self {
		return Verdict{Action: Deliver, Reason: Remembered, Generation: choice.generation}
	}
	if a.Hops >= envelope.MaxHops {
		return Verdict{Action: Drop, Reason: TooManyHops}
	}
	return Verdict{Action: HandOver, Reason: Remembered, Agent: choice.agent}
}

func choose(s *Standing, a *Arrival) Verdict {
	switch {
	case s.Draining:
		return elsewhere(s, a, DrainingElsewhere)
	case s.Flows >= s.Limit:
		return elsewhere(s, a, OverLimitElsewhere)
	case a.Hops == 0 && s.Map.Revision > a.Revision:
		return newerChoice(s, a)
	}
	return Verdict{Action: Deliver, Reason: OpenedHere}
}

// newerChoice corrects a balancer that is behind. A packet that an agent handed
// on is kept: that agent refused it for a reason of its own.
func newerChoice(s *Standing, a *Arrival) Verdict {
	choice, ok := s.Service.Chooser().Choose(a.Key)
	if !ok || s.isSelf(choice) {
		return Verdict{Action: Deliver, Reason: OpenedHere}
	}
	return Verdict{Action: HandOver, Reason: NewerChoice, Agent: choice}
}

// elsewhere finds the agent that takes a flow in this one's place: the first in
// the flow's order that hasn't refused it.
func elsewhere(s *Standing, a *Arrival, r Reason) Verdict {
	if a.Hops >= envelope.MaxHops {
		return Verdict{Action: Refuse, Reason: r}
	}
	chooser := s.Service.Chooser()
	next, ok := chooser.Choose(a.Key)
	for ok && (next == a.HandedBy || s.isSelf(next)) {
		next, ok = chooser.After(a.Key, next)
	}
	if !ok {
		return Verdict{Action: Refuse, Reason: NobodyElse}
	}
	return Verdict{Action: HandOver, Reason: r, Agent: next}
}

func (d *Deflector) remember(a *Arrival, agent table.AgentNumber, generation uint8) {
	if len(d.choices) >= memoryLimit {
		return
	}
	until := a.Now.Add(handshakeMemory)
	d.choices[a.Memory] = remembered{agent: agent, generation: generation}
	d.queue = append(d.queue, expiry{memory: a.Memory, until: until})
}

func (d *Deflector) expire(now time.Time) {
	for d.head < len(d.queue) && !d.queue[d.head].until.After(now) {
		delete(d.choices, d.queue[d.head].memory)
		d.head++
	}
	// Moved down only now and then, or a flood would pay for it with each packet.
	if d.head > len(d.queue)/2 {
		d.queue = append(d.queue[:0], d.queue[d.head:]...)
		d.head = 0
	}
}
