// Package steering decides where a caller's packet goes, from the packet and the
// table alone. A balancer keeps no table of flows: the fabric may hand any
// packet to any balancer, and the budget for control traffic is too small to
// tell the others of each flow.
//
// Pattern of load it answers: thousands of new flows a second and hundreds of
// thousands open ones over balancers that die, join and lag behind each other's
// tables. Without the agent's number in the packet, each change of the table
// would move open flows to targets that don't know them.
package steering

import (
	"net/netip"

	"bergamotstall/internal/connid"
	"bergamotstall/internal/table"
)

// Outcome is what steering made of a packet. Those from DropMalformed on are
// drops.
type Outcome uint8

const (
	// Named packets carry the number of an agent that the table knows.
	Named Outcome = iota
	// New packets open a flow and went to the flow's choice.
	New
	// NewAvoiding packets open a flow whose choice doesn't answer; they went to
	// the next in the flow's order that does.
	NewAvoiding
	// Behind packets name an agent or a key that this table doesn't know; they
	// go to any live agent of the service, which may know more.
	Behind
	// Gone packets name a retired agent; they go to any live agent of the
	// service, which answers with a stateless reset.
	Gone
	// Unreachable packets name an agent that doesn't answer; they go to another
	// of the service, which finds out for itself and answers with a stateless
	// reset where it comes to the same.
	Unreachable
	// DropMalformed packets aren't QUIC.
	DropMalformed
	// DropForeign packets belong to no flow of ours and open none.
	DropForeign
	// DropOtherService packets name an agent of another service than the one
	// whose address they came to.
	DropOtherService
	// DropNoTarget packets found no live agent.
	DropNoTarget
	// DropOversize packets don't fit the envelope.
	DropOversize

	outcomes
)

// Outcomes is the number of outcomes.
const Outcomes = int(outcomes)

var outcomeNames = [Outcomes]string{
	"named", "new", "new_avoiding", "behind", "gone", "unreachable", "drop_malformed", "drop_foreign",
	"drop_other_service", "drop_no_target", "drop_oversize",
}

// String returns the outcome's name in counters.
func (o Outcome) String() string { return outcomeNames[o] }

// Dropped tells whether the packet goes nowhere.
func (o Outcome) Dropped() bool { return o >= DropMalformed }

// Router routes packets for one goroutine.
type Router struct {
	scratch connid.Scratch
	shape   Shape
	// Avoided is the agent that the last NewAvoiding packet was kept from.
	Avoided table.AgentNumber
}

// Route returns the agent that a packet to the service goes to, nil where it is
// dropped. It allocates nothing.
func (r *Router) Route(m *CompiledTable, s *Service, caller netip.AddrPort, packet []byte) (*Agent, Outcome) {
	if !ReadShape(packet, &r.shape) {
		return nil, DropMalformed
	}
	number, origin := m.ConnIDs.Decode(r.shape.Destination, &r.scratch)
	switch {
	case origin == connid.Ours:
		return r.established(m, s, caller, number)
	case r.shape.Opening:
		return r.any(m, s, caller, New)
	case origin == connid.UnknownGeneration:
		return r.any(m, s, caller, Behind)
	}
	return nil, DropForeign
}

func (r *Router) established(m *CompiledTable, s *Service, caller netip.AddrPort, number table.AgentNumber) (*Agent, Outcome) {
	agent, ok := m.Agent(number)
	switch {
	case !ok:
		return r.any(m, s, caller, Behind)
	case agent.Service != s.ID:
		return nil, DropOtherService
	case agent.State == table.Retired:
		return r.any(m, s, caller, Gone)
	case agent.Reach.Down():
		return r.any(m, s, caller, Unreachable)
	}
	return agent, Named
}

// any picks the flow's choice among the active agents that answer; a packet that
// opens no flow may go to a draining one too.
func (r *Router) any(m *CompiledTable, s *Service, caller netip.AddrPort, outcome Outcome) (*Agent, Outcome) {
	key := m.FlowKey(r.shape.Destination, caller)
	first, agent := m.answering(s.chooser, key)
	if agent == nil && outcome != New {
		first, agent = m.answering(s.fallback, key)
	}
	switch {
	case agent == nil:
		return nil, DropNoTarget
	case agent != first && outcome == New:
		r.Avoided = first.Number
		return agent, NewAvoiding
	}
	return agent, outcome
}

// answering returns the first agent in a flow's order, and the first that isn't
// judged unreachable. Where all are, that is the first of all: the judgement may
// be wrong.
func (ct *CompiledTable) answering(c *Chooser, key uint64) (first, agent *Agent) {
	number, ok := c.Choose(key)
	if !ok {
		return nil, nil
	}
	first = ct.agents[number]
	for agent = first; agent.Reach.Down(); agent = ct.agents[number] {
		if number, ok = c.After(key, number); !ok {
			return first, first
		}
	}
	return first, agent
}
