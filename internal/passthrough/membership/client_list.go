package membership

import (
	"net/netip"
	"time"
)

// ListedAgent is an agent on a control VM's list.
type ListedAgent struct {
	Address netip.AddrPort
	Zone    string
	// Service is the route.ServiceID of the agent's VM.
	Service uint64
	// Process is random for each start of the agent.
	Process uint64
}

// Changes holds agents that were added or restarted, and agents that no control VM lists
// any more.
type Changes struct {
	Present []ListedAgent
	Gone    []netip.AddrPort
	// Retired are gone together with their targets, so no flow is open there.
	Retired []netip.AddrPort
}

// view is the node's copy of one control VM's list.
type view struct {
	epoch, number uint64
	agents        map[netip.AddrPort]ListedAgent
}

// apply applies an update. It returns the addresses concerned, and the processes that
// ended together with their targets.
func (v *view) apply(l *ListUpdate) (changed []netip.AddrPort, retired map[netip.AddrPort]uint64) {
	if l.Full || v.agents == nil {
		for address := range v.agents {
			changed = append(changed, address)
		}
		v.agents = map[netip.AddrPort]ListedAgent{}
	}
	v.epoch, v.number = l.Epoch, l.Number
	for _, x := range l.Present {
		a := ListedAgent{Address: x.At.AddrPort(), Service: x.Service, Process: x.Process}
		if int(x.Zone) < len(l.Zones) {
			a.Zone = l.Zones[x.Zone]
		}
		v.agents[a.Address] = a
		changed = append(changed, a.Address)
	}
	for _, p := range l.Gone {
		delete(v.agents, p.AddrPort())
		changed = append(changed, p.AddrPort())
	}
	retired = map[netip.AddrPort]uint64{}
	for _, p := range l.Retired {
		if a, ok := v.agents[p.AddrPort()]; ok {
			retired[a.Address] = a.Process
		}
		delete(v.agents, p.AddrPort())
		changed = append(changed, p.AddrPort())
	}
	return changed, retired
}

// applyList applies an update of a VM's list; the lock is held. An agent is present as
// long as any VM lists it.
func (c *Client) applyList(s *clientStream, l *ListUpdate) {
	changed, retired := s.view.apply(l)
	c.notifyAgents(s, changed, retired)
}

// notifyAgents calls OnAgents for the given addresses. updated is the VM whose
// list has changed. retired are the processes that ended together with their targets: one
// VM's report suffices, because the agent may not have reached the others. The lock is
// held.
func (c *Client) notifyAgents(updated *clientStream, changed []netip.AddrPort, retired map[netip.AddrPort]uint64) {
	var out Changes
	seen := map[netip.AddrPort]bool{}
	for _, address := range changed {
		if seen[address] {
			continue
		}
		seen[address] = true
		process, ended := retired[address]
		if ended {
			c.dropProcess(address, process)
		}
		switch a, ok := c.lookUp(updated, address); {
		case ok:
			out.Present = append(out.Present, a)
		case ended:
			out.Retired = append(out.Retired, address)
		default:
			out.Gone = append(out.Gone, address)
		}
	}
	if len(seen) > 0 && c.cfg.OnAgents != nil {
		c.cfg.OnAgents(out)
	}
}

// dropProcess removes a process that has ended from all lists; the lock is held.
func (c *Client) dropProcess(address netip.AddrPort, process uint64) {
	for _, s := range c.streams {
		if s.view.agents[address].Process == process {
			delete(s.view.agents, address)
		}
	}
}

// lookUp finds an agent on the given VM's list, or else on any other; the lock is held.
func (c *Client) lookUp(first *clientStream, address netip.AddrPort) (ListedAgent, bool) {
	if a, ok := first.view.agents[address]; ok {
		return a, true
	}
	for _, s := range c.streams {
		if a, ok := s.view.agents[address]; ok {
			return a, true
		}
	}
	return ListedAgent{}, false
}

// dropStaleAgentLists drops the agent lists of control VMs that sent nothing for
// listExpiry. Agents that were removed meanwhile would otherwise stay on those lists.
func (c *Client) dropStaleAgentLists() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.streams {
		if len(s.view.agents) == 0 || time.Since(s.heardAt) <= listExpiry {
			continue
		}
		var changed []netip.AddrPort
		for address := range s.view.agents {
			changed = append(changed, address)
		}
		s.view = view{}
		c.notifyAgents(s, changed, nil)
	}
}
