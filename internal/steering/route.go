// Package steering decides where a caller's packet goes, from the packet and the table
// alone. A balancer keeps no flow table: the fabric may send any packet to any balancer,
// and the budget for control traffic is too small to announce each flow to the others.
//
// The expected load is thousands of new flows a second and hundreds of thousands of open
// ones, over balancers that fail, join, and have different versions of the table.
// Therefore packets carry the agent's number. Without it, each change of the table would
// move open flows to targets that don't know them.
package steering

import (
	"net/netip"

	"bergamotstall/internal/connid"
	"bergamotstall/internal/table"
)

// Outcome is the result of routing a packet. From DropMalformed on the outcomes are
// drops.
type Outcome uint8

const (
	// Named packets carry the number of an agent that the table knows.
	Named Outcome = iota
	// New packets open a flow and went to its first choice.
	New
	// NewAvoiding packets open a flow whose first choice doesn't answer; they went to the
	// next agent in the flow's order that does.
	NewAvoiding
	// Behind packets carry an agent number or key generation that this table doesn't
	// know; they went to any live agent of the service, which may have a newer table.
	Behind
	// Gone packets carry the number of a retired agent; they went to any live agent of
	// the service, which answers with a stateless reset.
	Gone
	// Unreachable packets carry the number of an agent that doesn't answer; they went to
	// another agent of the service, which checks this itself and, if it agrees, answers
	// with a stateless reset.
	Unreachable
	// DropMalformed packets aren't QUIC.
	DropMalformed
	// DropForeign packets belong to none of our flows and don't open one.
	DropForeign
	// DropOtherService packets carry the number of an agent of another service than the
	// one that they were addressed to.
	DropOtherService
	// DropNoTarget packets found no live agent.
	DropNoTarget
	// DropOversize packets are too large for the envelope.
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

// Dropped reports whether the packet is dropped.
func (o Outcome) Dropped() bool { return o >= DropMalformed }

// Router routes packets. It must be used by one goroutine only.
type Router struct {
	scratch connid.Scratch
	shape   Shape
	// Avoided is the agent that was the first choice of the last NewAvoiding packet.
	Avoided table.AgentNumber
}

// Route returns the agent that a packet to the service is sent to, or nil if it is
// dropped. It doesn't allocate memory.
func (r *Router) Route(m *CompiledTable, s *Service, caller netip.AddrPort, packet []byte) (*Agent, Outcome) {
	if !ReadShape(packet, &r.shape) {
		return nil, DropMalformed
	}
	number, origin := m.ConnIDs.Decode(r.shape.Destination, &r.scratch)
	switch {
	case origin == connid.Ours:
		return r.established(m, s, caller, number)
	case r.shape.OpensFlow:
		return r.choose(m, s, caller, New)
	case origin == connid.UnknownGeneration:
		return r.choose(m, s, caller, Behind)
	}
	return nil, DropForeign
}

func (r *Router) established(m *CompiledTable, s *Service, caller netip.AddrPort, number table.AgentNumber) (*Agent, Outcome) {
	agent, ok := m.Agent(number)
	switch {
	case !ok:
		return r.choose(m, s, caller, Behind)
	case agent.Service != s.ID:
		return nil, DropOtherService
	case agent.State == table.Retired:
		return r.choose(m, s, caller, Gone)
	case agent.Reach.Down():
		return r.choose(m, s, caller, Unreachable)
	}
	return agent, Named
}

// choose returns the first active agent in the flow's order that answers. A packet that
// doesn't open a flow may also go to a draining agent.
func (r *Router) choose(m *CompiledTable, s *Service, caller netip.AddrPort, outcome Outcome) (*Agent, Outcome) {
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

// answering returns the first agent in a flow's order, and the first that isn't judged
// unreachable. If all are judged unreachable, it returns the first agent twice, because
// the judgement may be wrong.
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
