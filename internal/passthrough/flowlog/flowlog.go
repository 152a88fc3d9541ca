// Package flowlog keeps on a control VM's disk which flows the targets hold.
//
// The failure it answers: all VMs lose power, or a target's VM does. Balancers
// and agents come back without a memory, and so do the targets, but the callers
// still have their flows. Whoever sends a submission over such a flow loses it: the
// flow was open, so it may not be sent again. With the list, an agent whose target
// was born anew resets the flows of the one before at once, callers open new ones,
// and their next submissions run.
//
// The list is a hint. What is missing costs a caller what it costs without the
// list; what is there too much is a reset for a flow that is over. It needs no
// agreement: agents tell every control VM that they reach, and take the newest
// incarnation that any of them recalls.
package flowlog

import (
	"slices"
	"sync"

	"bergamotstall/internal/passthrough/packet"
)

// maxFlows bounds the flows kept for one agent, some 30 bytes each.
const maxFlows = 20_000

// maxAgents bounds the agents.
const maxAgents = 16_000

// NewRecord returns the record of a flow.
func NewRecord(f packet.Flow, ack uint32) Record {
	return Record{
		ClientIP: f.Client.IP, ClientPort: f.Client.Port,
		ServiceIP: f.Service.IP, ServicePort: f.Service.Port, Ack: ack,
	}
}

// Flow returns the flow of a record.
func (r Record) Flow() packet.Flow {
	return packet.Flow{
		Client:  packet.Endpoint{IP: r.ClientIP, Port: r.ClientPort},
		Service: packet.Endpoint{IP: r.ServiceIP, Port: r.ServicePort},
	}
}

// held is what one agent told.
type held struct {
	target string
	born   int64
	flows  map[packet.Flow]uint32
}

// Store holds what agents told, in memory. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	agents map[string]*held
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{agents: map[string]*held{}} }

// Apply takes an update. One of another incarnation than the one held begins
// anew.
func (s *Store) Apply(u Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.agents[u.Agent]
	if h == nil && len(s.agents) >= maxAgents {
		return
	}
	if h == nil || u.Whole || h.target != u.Target || h.born != u.Born {
		h = &held{target: u.Target, born: u.Born, flows: map[packet.Flow]uint32{}}
		s.agents[u.Agent] = h
	}
	for _, r := range u.Opened {
		if len(h.flows) < maxFlows {
			h.flows[r.Flow()] = r.Ack
		}
	}
	for _, r := range u.Ended {
		delete(h.flows, r.Flow())
	}
}

// Recall returns what an agent told last, as one whole update; false if nothing.
func (s *Store) Recall(agent string) (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.agents[agent]
	if h == nil {
		return Update{}, false
	}
	return h.update(agent), true
}

func (h *held) update(agent string) Update {
	u := Update{Agent: agent, Target: h.target, Born: h.born, Whole: true}
	for f, ack := range h.flows {
		u.Opened = append(u.Opened, NewRecord(f, ack))
	}
	return u
}

// All returns whole updates of all agents, in the order of their names.
func (s *Store) All() []Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.agents))
	for name := range s.agents {
		names = append(names, name)
	}
	slices.Sort(names)
	out := make([]Update, 0, len(names))
	for _, name := range names {
		out = append(out, s.agents[name].update(name))
	}
	return out
}
