package membership

import (
	"net/netip"
	"time"
)

// ListedAgent is an agent on a control VM's list.
type ListedAgent struct {
	Address netip.AddrPort
	Zone    string
	// Service is the one that the agent's VM belongs to.
	Service uint64
	// Process is random for each start of the agent.
	Process uint64
}

// Changes are agents that came or became another process, and agents that no control VM
// lists any more.
type Changes struct {
	Present []ListedAgent
	Gone    []netip.AddrPort
	// Retired are gone with their targets: no flow can be open there.
	Retired []netip.AddrPort
}

// view is one control VM's list as the node has it.
type view struct {
	epoch, number uint64
	agents        map[netip.AddrPort]ListedAgent
}

// apply takes what changed, and returns the addresses concerned, and the processes that went
// with their targets.
func (v *view) apply(l *Listing) (changed []netip.AddrPort, retired map[netip.AddrPort]uint64) {
	if l.Whole || v.agents == nil {
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

// takeListing puts a VM's changes in force; the lock is held. An agent is there as long
// as any VM lists it.
func (c *Client) takeListing(s *clientStream, l *Listing) {
	changed, retired := s.view.apply(l)
	c.tellAgents(s, changed, retired)
}

// tellAgents hands on what the lists now say of some agents; news is the VM whose list
// has just changed, retired the processes that went with their targets: one VM's word is
// enough, others may have been out of the agent's reach. The lock is held.
func (c *Client) tellAgents(news *clientStream, changed []netip.AddrPort, retired map[netip.AddrPort]uint64) {
	var out Changes
	told := map[netip.AddrPort]bool{}
	for _, address := range changed {
		if told[address] {
			continue
		}
		told[address] = true
		process, ended := retired[address]
		if ended {
			c.dropProcess(address, process)
		}
		switch a, ok := c.lookUp(news, address); {
		case ok:
			out.Present = append(out.Present, a)
		case ended:
			out.Retired = append(out.Retired, address)
		default:
			out.Gone = append(out.Gone, address)
		}
	}
	if len(told) > 0 && c.cfg.Agents != nil {
		c.cfg.Agents(out)
	}
}

// dropProcess takes a process of an agent that is gone off all lists; the lock is held.
func (c *Client) dropProcess(address netip.AddrPort, process uint64) {
	for _, s := range c.streams {
		if s.view.agents[address].Process == process {
			delete(s.view.agents, address)
		}
	}
}

// lookUp finds an agent on a VM's list, or else on any; the lock is held.
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

// dropStaleLists lets the lists of VMs that aren't heard any more lapse. An agent that
// left meanwhile would otherwise stay on them.
func (c *Client) dropStaleLists() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.streams {
		if len(s.view.agents) == 0 || time.Since(s.heardAt) <= listKept {
			continue
		}
		var changed []netip.AddrPort
		for address := range s.view.agents {
			changed = append(changed, address)
		}
		s.view = view{}
		c.tellAgents(s, changed, nil)
	}
}
