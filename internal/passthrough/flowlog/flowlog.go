// Package flowlog keeps a list of the targets' open flows on a control VM's disk.
//
// It answers a power loss of all VMs, or of a target's VM: balancers, agents and targets
// restart without memory, but the callers still have their flows. A submission sent over
// such a flow is lost, because the flow was open and the submission may not be sent
// again. With the list, an agent whose target has restarted resets the flows of the
// previous incarnation at once. Their callers open new flows, and their next submissions
// run.
//
// The list is a hint. A missing flow costs its caller what it would cost without the
// list; a flow that is listed but over gets a needless reset. Therefore the list needs no
// agreement: agents send updates to every control VM that they reach, and take the record of
// the incarnation that they find, or else all records for those of targets that are gone.
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

// agentFlows holds the flows that one agent reported.
type agentFlows struct {
	target string
	born   int64
	flows  map[packet.Flow]uint32
}

// Store holds the flows reported by agents, in memory. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	agents map[string]*agentFlows
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{agents: map[string]*agentFlows{}} }

// Apply applies an update. An update of another incarnation than the stored one replaces
// the agent's flows.
func (s *Store) Apply(u Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.agents[u.Agent]
	if h == nil && len(s.agents) >= maxAgents {
		return
	}
	if h == nil || u.Whole || h.target != u.Target || h.born != u.Born {
		h = &agentFlows{target: u.Target, born: u.Born, flows: map[packet.Flow]uint32{}}
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

// Recall returns an agent's flows as one whole update; false if there are none.
func (s *Store) Recall(agent string) (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.agents[agent]
	if h == nil {
		return Update{}, false
	}
	return h.update(agent), true
}

func (h *agentFlows) update(agent string) Update {
	u := Update{Agent: agent, Target: h.target, Born: h.born, Whole: true}
	for f, ack := range h.flows {
		u.Opened = append(u.Opened, NewRecord(f, ack))
	}
	return u
}

// All returns whole updates of all agents, ordered by name.
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
