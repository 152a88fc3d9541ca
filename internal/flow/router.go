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
	// choiceTTL is how long the agent chosen for a new flow is remembered. A caller
	// gives up its handshake after 5 to 10 s; until then each datagram of its first
	// flight must reach the same agent.
	choiceTTL = 10 * time.Second
	// choiceLimit bounds the remembered choices. With 2,000 connections per host and
	// handshakes of a few round trips, thousands of choices mean a flood of first
	// packets; above the limit the choice is made again for each packet.
	choiceLimit = 16384
)

// Packet describes a caller's packet that reached the agent.
type Packet struct {
	Now time.Time
	// Opening is set for a packet that may open a flow.
	Opening bool
	// Long is set for a packet with a QUIC long header.
	Long bool
	// Origin and NamedAgent are decoded from the packet's connection ID.
	Origin     connid.Origin
	NamedAgent table.AgentNumber
	// Revision is that of the table by which the last hop decided.
	Revision table.Revision
	// Hops is the number of agents that forwarded the packet; ForwardedBy is the last.
	Hops        uint8
	ForwardedBy table.AgentNumber
	// Reroute is set if a balancer can't reach the agent that the packet names.
	Reroute bool
	// PlacementKey is the flow's placement key in the agent's own table.
	PlacementKey uint64
	// ChoiceKey identifies the flow among the remembered choices.
	ChoiceKey uint64
}

// AgentState is the agent's state when a packet arrives.
type AgentState struct {
	Self table.AgentNumber
	// Tunnel is the address on which this agent receives packets.
	Tunnel netip.AddrPort
	Table  *steering.CompiledTable
	// Service is the agent's own service in the table.
	Service *steering.Service
	// Draining is set while the agent accepts no new flows.
	Draining bool
	// Flows is the number of open flows, FlowLimit the most that may be open.
	Flows, FlowLimit int
	// Generation is the key generation for new flows.
	Generation uint8
}

// Action is what the agent does with a packet.
type Action uint8

const (
	// Deliver passes the packet to the agent's own QUIC transport.
	Deliver Action = iota
	// HandOver forwards it to another agent of the service.
	HandOver
	// Reset sends a stateless reset to the caller: no agent has the flow.
	Reset
	// Refuse rejects the handshake.
	Refuse
	// Drop discards the packet; the caller retransmits.
	Drop
)

// Reason is why an action was chosen. The counters' names contain it.
type Reason uint8

const (
	// OwnFlow is a packet of an open flow of this agent.
	OwnFlow Reason = iota
	// OpenedHere is a first packet that this agent accepts.
	OpenedHere
	// Remembered is a first packet for which an earlier choice is remembered.
	Remembered
	// DrainingElsewhere is a first packet for another agent, as this one drains.
	DrainingElsewhere
	// OverLimitElsewhere is a first packet for another agent, as this one is at its
	// flow limit.
	OverLimitElsewhere
	// NewerChoice is a first packet for the agent that this agent's table chooses;
	// the balancer chose by an older table.
	NewerChoice
	// NamedOther is a packet of an open flow of another agent.
	NamedOther
	// GoneAgent is a packet of an agent that is retired or no longer in the table.
	GoneAgent
	// PreviousIncarnation is a packet of an agent that this one replaced at its
	// address.
	PreviousIncarnation
	// Unreachable is a packet of an agent that neither a balancer nor this agent can
	// reach.
	Unreachable
	// NoOtherAgent is a first packet that no other agent can take.
	NoOtherAgent
	// AheadOfTable is a packet that names an agent or key generation newer than
	// this agent's table.
	AheadOfTable
	// TooManyHops is a packet that was forwarded envelope.MaxHops times.
	TooManyHops
	// OtherService is a packet that names an agent of another service.
	OtherService
	// ForeignConnID is a packet whose connection ID isn't the cluster's.
	ForeignConnID
	// NoAgentNumber is a packet that came before this agent had a number and a
	// service.
	NoAgentNumber

	reasonCount
)

var reasonNames = [reasonCount]string{
	"own", "opened_here", "remembered", "draining", "over_limit", "newer_choice", "named_other",
	"gone_agent", "previous_incarnation", "unreachable", "nobody_else", "ahead_of_table",
	"too_many_hops", "other_service", "not_ours", "no_number",
}

// String returns the reason as the counters' names contain it.
func (r Reason) String() string { return reasonNames[r] }

// Decision is what to do with one packet, and why.
type Decision struct {
	Action Action
	Reason Reason
	// Agent is the agent that HandOver forwards to.
	Agent table.AgentNumber
	// Generation is the key generation with which a new flow was accepted. A key
	// rotation doesn't change it for the flow's handshake.
	Generation uint8
}

type rememberedChoice struct {
	agent      table.AgentNumber
	generation uint8
}

// Router decides for each packet whether this agent takes it or forwards it. It has
// no sockets, clock or randomness; its only state is the choices made for pending
// handshakes.
//
// Tables reach balancers and agents at different times, and targets start to drain
// or reach their limit between two tables. Without the router, a draining target
// would get new flows until the last balancer has the new table, and the two
// datagrams of one first flight could reach two agents, neither of which could
// complete the handshake.
type Router struct {
	choices map[uint64]rememberedChoice
	// queue holds the choices from head on, oldest first.
	queue []choiceExpiry
	head  int
}

type choiceExpiry struct {
	choiceKey uint64
	expiresAt time.Time
}

// NewRouter returns a router without remembered choices.
func NewRouter() *Router {
	return &Router{choices: make(map[uint64]rememberedChoice)}
}

// Decide returns what to do with one packet.
func (r *Router) Decide(s *AgentState, p *Packet) Decision {
	switch {
	case s.Self == 0 || s.Service == nil:
		return Decision{Action: Drop, Reason: NoAgentNumber}
	case p.Origin == connid.Ours:
		return decideOpenFlow(s, p)
	case p.Opening:
		return r.decideNewFlow(s, p)
	case p.Origin == connid.UnknownGeneration:
		return Decision{Action: Drop, Reason: AheadOfTable}
	}
	return Decision{Action: Drop, Reason: ForeignConnID}
}

// decideOpenFlow handles a packet whose connection ID names an agent of the cluster.
func decideOpenFlow(s *AgentState, p *Packet) Decision {
	if p.NamedAgent == s.Self {
		return Decision{Action: Deliver, Reason: OwnFlow}
	}
	named, known := s.Table.Agent(p.NamedAgent)
	switch {
	case !known && p.NamedAgent > max(s.Table.Newest(), s.Self):
		return Decision{Action: Drop, Reason: AheadOfTable}
	case !known:
		return decideLostFlow(p, GoneAgent)
	case named.Service != s.Service.ID:
		return Decision{Action: Drop, Reason: OtherService}
	case named.State == table.Retired:
		return decideLostFlow(p, GoneAgent)
	case s.sharesTunnel(named):
		// The table still lists the incarnation that this one replaced at the same
		// address; a forwarded packet would come straight back.
		return decideLostFlow(p, PreviousIncarnation)
	case p.Reroute && named.Reach.Down():
		return decideLostFlow(p, Unreachable)
	case p.Hops >= envelope.MaxHops:
		return Decision{Action: Drop, Reason: TooManyHops}
	}
	return Decision{Action: HandOver, Reason: NamedOther, Agent: p.NamedAgent}
}

// sharesTunnel reports whether an agent is an older one at this agent's address.
func (s *AgentState) sharesTunnel(older *steering.Agent) bool {
	return older.Number < s.Self && older.Tunnel == s.Tunnel
}

// isSelf reports whether packets for an agent arrive here. A packet forwarded to an
// earlier incarnation at this address would loop until it reaches the hop limit.
func (s *AgentState) isSelf(number table.AgentNumber) bool {
	if number == s.Self {
		return true
	}
	other, ok := s.Table.Agent(number)
	return ok && s.sharesTunnel(other)
}

// decideLostFlow handles a packet of a flow that no agent has. A packet with a long
// header can't be answered with a stateless reset; the caller repeats its handshake.
func decideLostFlow(p *Packet, r Reason) Decision {
	if p.Long {
		return Decision{Action: Drop, Reason: r}
	}
	return Decision{Action: Reset, Reason: r}
}

// decideNewFlow handles a packet that may open a flow. It repeats a remembered choice, and
// otherwise chooses an agent and remembers it.
func (r *Router) decideNewFlow(s *AgentState, p *Packet) Decision {
	r.expire(p.Now)
	if choice, ok := r.choices[p.ChoiceKey]; ok {
		return repeatChoice(s, p, choice)
	}
	d := chooseAgent(s, p)
	d.Generation = s.Generation
	switch d.Action {
	case Deliver:
		r.remember(p, s.Self, s.Generation)
	case HandOver:
		r.remember(p, d.Agent, s.Generation)
	}
	return d
}

// repeatChoice sends a later packet of a first flight to the same agent as the first.
func repeatChoice(s *AgentState, p *Packet, choice rememberedChoice) Decision {
	if choice.agent == s.Self {
		return Decision{Action: Deliver, Reason: Remembered, Generation: choice.generation}
	}
	if p.Hops >= envelope.MaxHops {
		return Decision{Action: Drop, Reason: TooManyHops}
	}
	return Decision{Action: HandOver, Reason: Remembered, Agent: choice.agent}
}

// chooseAgent chooses the agent for a new flow: this one unless it drains, is at its flow
// limit, or has a newer table than the balancer that chose it.
func chooseAgent(s *AgentState, p *Packet) Decision {
	switch {
	case s.Draining:
		return chooseOtherAgent(s, p, DrainingElsewhere)
	case s.Flows >= s.FlowLimit:
		return chooseOtherAgent(s, p, OverLimitElsewhere)
	case p.Hops == 0 && s.Table.Revision > p.Revision:
		return chooseByNewerTable(s, p)
	}
	return Decision{Action: Deliver, Reason: OpenedHere}
}

// chooseByNewerTable corrects the choice of a balancer with an older table. It isn't
// used for a packet that another agent forwarded, as that agent had its own reason.
func chooseByNewerTable(s *AgentState, p *Packet) Decision {
	choice, ok := s.Service.Chooser().Choose(p.PlacementKey)
	if !ok || s.isSelf(choice) {
		return Decision{Action: Deliver, Reason: OpenedHere}
	}
	return Decision{Action: HandOver, Reason: NewerChoice, Agent: choice}
}

// chooseOtherAgent chooses the agent that takes a flow in place of this one: the
// first in the flow's order that isn't this agent or the one that forwarded it.
func chooseOtherAgent(s *AgentState, p *Packet, r Reason) Decision {
	if p.Hops >= envelope.MaxHops {
		return Decision{Action: Refuse, Reason: r}
	}
	chooser := s.Service.Chooser()
	next, ok := chooser.Choose(p.PlacementKey)
	for ok && (next == p.ForwardedBy || s.isSelf(next)) {
		next, ok = chooser.After(p.PlacementKey, next)
	}
	if !ok {
		return Decision{Action: Refuse, Reason: NoOtherAgent}
	}
	return Decision{Action: HandOver, Reason: r, Agent: next}
}

func (r *Router) remember(p *Packet, agent table.AgentNumber, generation uint8) {
	if len(r.choices) >= choiceLimit {
		return
	}
	until := p.Now.Add(choiceTTL)
	r.choices[p.ChoiceKey] = rememberedChoice{agent: agent, generation: generation}
	r.queue = append(r.queue, choiceExpiry{choiceKey: p.ChoiceKey, expiresAt: until})
}

// expire forgets the choices older than choiceTTL.
func (r *Router) expire(now time.Time) {
	for r.head < len(r.queue) && !r.queue[r.head].expiresAt.After(now) {
		delete(r.choices, r.queue[r.head].choiceKey)
		r.head++
	}
	// Compacted only when half is expired, as a flood would otherwise pay for a copy
	// with each packet.
	if r.head > len(r.queue)/2 {
		r.queue = append(r.queue[:0], r.queue[r.head:]...)
		r.head = 0
	}
}
