package catalogue

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/table"
)

// announceAgent registers an agent's incarnation, or updates it if it is known.
func (c *Catalogue) announceAgent(cmd *Command) Outcome {
	a := cmd.AnnounceAgent.Announcement
	service, ok := c.serviceNamed(a.Service)
	if !ok {
		out := c.outcome(NoService, fmt.Sprintf("no service %q", a.Service))
		out.Subject = a.Service
		return out
	}
	if problem := announcementProblem(&a); problem != "" {
		return c.outcome(NotValid, problem)
	}
	if known := c.findIncarnation(&a); known != nil {
		return c.reannounceAgent(known, service.ID, &a, cmd.ProposedBy)
	}
	if len(c.state.Agents) >= maxAgents {
		return c.outcome(Refused, fmt.Sprintf("%d agents are known", maxAgents))
	}
	return c.register(service, &a, cmd)
}

// announcementProblem describes what is wrong with an agent's announcement; empty if
// nothing is.
func announcementProblem(a *distribution.Announcement) string {
	switch {
	case a.Name == "" || len(a.Name) > maxNameLength:
		return fmt.Sprintf("an agent's name has 1 to %d bytes", maxNameLength)
	case a.Host == "" || len(a.Host) > maxNameLength:
		return fmt.Sprintf("a host's name has 1 to %d bytes", maxNameLength)
	case len(a.DataCentre) > maxNameLength:
		return fmt.Sprintf("a data centre's name has at most %d bytes", maxNameLength)
	case !validAddress(a.Tunnel) || !validAddress(a.Peer):
		return fmt.Sprintf("tunnel %q and peer %q must be ip:port", a.Tunnel, a.Peer)
	case a.Slots < 1 || a.Connections < 1:
		return fmt.Sprintf("%d slots and %d connections: both are at least 1", a.Slots, a.Connections)
	}
	return ""
}

func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// findIncarnation returns the record of an incarnation that announced itself before, nil
// if there is none.
func (c *Catalogue) findIncarnation(a *distribution.Announcement) *Agent {
	for i := len(c.state.Agents) - 1; i >= 0; i-- {
		x := &c.state.Agents[i]
		if x.Incarnation == a.Incarnation && x.Name == a.Name {
			return x
		}
	}
	return nil
}

// reannounceAgent updates a known incarnation. It keeps its number. One that was taken
// out of service for silence returns, since its number is never given to another agent.
func (c *Catalogue) reannounceAgent(x *Agent, service table.ServiceID, a *distribution.Announcement, via string) Outcome {
	if x.Service != service || x.Host != a.Host {
		return c.outcome(NotValid, fmt.Sprintf("agent %d is bound to its service and host", x.Number))
	}
	if x.Replaced {
		out := c.outcome(Superseded, fmt.Sprintf("agent %d was replaced by a later incarnation", x.Number))
		out.Agent = x.Number
		return out
	}
	if a.Attachment < x.Attachment {
		// A delayed announcement through a control VM that the agent has left.
		out := c.outcome(Done, fmt.Sprintf("agent %d has announced itself since", x.Number))
		out.Agent = x.Number
		return out
	}
	before := *x
	x.Tunnel, x.Peer = a.Tunnel, a.Peer
	x.Slots, x.Connections = a.Slots, a.Connections
	x.DataCentre, x.Leaving = a.DataCentre, a.Draining
	x.Retired, x.RetiredAtMS = false, 0
	x.Liveness, x.SilentAtMS = Live, 0
	c.updateWeight(x)
	before.Liveness, before.SilentAtMS = withoutSuspicion(before.Liveness), 0
	if *x != before {
		c.tableChanged = true
	}
	x.Via, x.Attachment = via, a.Attachment
	out := c.outcome(Done, fmt.Sprintf("agent %d announced again", x.Number))
	out.Agent = x.Number
	return out
}

// withoutSuspicion returns Live for Suspect: a suspicion doesn't show in the table.
func withoutSuspicion(s Liveness) Liveness {
	if s == Suspect {
		return Live
	}
	return s
}

// register gives a new incarnation its number and retires the incarnation before it.
//
// JoinedAtMS is the later of the proposer's time and the state's clock. It bounds how
// long an agent can have held idempotency keys, so the agent must never appear older
// than it is.
func (c *Catalogue) register(service Service, a *distribution.Announcement, cmd *Command) Outcome {
	c.replaceAgent(c.agentByName[a.Name])
	c.replaceAgent(c.agentByHost[serviceHost{service.ID, a.Host}])
	c.state.LastAgent++
	x := Agent{
		Number: c.state.LastAgent, Service: service.ID, Name: a.Name, Incarnation: a.Incarnation,
		Attachment: a.Attachment, Host: a.Host, DataCentre: a.DataCentre, Tunnel: a.Tunnel, Peer: a.Peer,
		Slots: a.Slots, Connections: a.Connections, Leaving: a.Draining, Via: cmd.ProposedBy,
		ChangedAtMS: c.state.ClockMS, JoinedAtMS: max(c.state.ClockMS, cmd.AtMS),
	}
	x.Weight = c.effectiveWeight(&x)
	x.PreviousWeight = x.Weight
	c.state.Agents = append(c.state.Agents, x)
	c.indexAgent(&x)
	c.tableChanged = true
	out := c.outcome(Done, fmt.Sprintf("agent %d registered for %s on %s", x.Number, service.Spec.Name, a.Host))
	out.Agent = x.Number
	return out
}

// replaceAgent retires an incarnation permanently, because a later one replaces it.
func (c *Catalogue) replaceAgent(number table.AgentNumber) {
	x := c.agent(number)
	if x == nil {
		return
	}
	x.Replaced = true
	c.retireAgent(x)
}

func (c *Catalogue) retireAgent(x *Agent) {
	if !x.Retired {
		x.Retired, x.RetiredAtMS = true, c.state.ClockMS
		c.tableChanged = true
	}
}

// agent returns the agent with the number, nil if there is none.
func (c *Catalogue) agent(number table.AgentNumber) *Agent {
	i, ok := slices.BinarySearchFunc(c.state.Agents, number, func(a Agent, n table.AgentNumber) int {
		return cmp.Compare(a.Number, n)
	})
	if !ok {
		return nil
	}
	return &c.state.Agents[i]
}

// agentSilent takes a silent agent out of service, or marks it as a suspect if too many
// agents of its group are silent.
func (c *Catalogue) agentSilent(cmd *Command) Outcome {
	report := cmd.AgentSilent
	number := report.Agent
	if number == 0 {
		// The agent was registered, but its stream ended before its control VM received
		// the number.
		number = c.agentByName[report.Name]
	}
	x := c.agent(number)
	switch {
	case x == nil || x.Retired:
		return c.outcome(Done, "gone already")
	case x.Incarnation != report.Incarnation || x.Attachment > report.Attachment:
		// The agent has reconnected to this or another control VM; the report is about
		// an older stream.
		return c.outcome(Done, "heard since by "+x.Via)
	case x.Liveness == OutOfService:
		return c.outcome(Done, "out already")
	case !x.Leaving && !c.countAgents(x, c.state.ClockMS).mayTakeOut():
		if x.Liveness != Suspect {
			x.Liveness, x.SilentAtMS = Suspect, c.state.ClockMS
		}
		return c.outcome(Refused, fmt.Sprintf("agent %d is silent, but too much of its service is; it stays in", x.Number))
	}
	x.Liveness, x.SilentAtMS = OutOfService, c.state.ClockMS
	c.tableChanged = true
	if x.Leaving {
		return c.outcome(Done, fmt.Sprintf("agent %d left as planned", x.Number))
	}
	return c.outcome(Done, fmt.Sprintf("agent %d is out of new work", x.Number))
}

// takesNewWork reports whether the agent gets new work while it is live.
func (c *Catalogue) takesNewWork(x *Agent) bool {
	return x.Weight > 0 && !x.Leaving && !c.drained[x.Host]
}

// countAgents counts, at nowMS, the agents of x's service in x's group: those that take
// new work, or those that don't because of drains and weights. The groups are counted
// apart because idle agents are no spare capacity for the others.
func (c *Catalogue) countAgents(x *Agent, nowMS int64) silenceCount {
	n := silenceCount{idle: !c.takesNewWork(x)}
	for i := range c.state.Agents {
		y := &c.state.Agents[i]
		if y.Service != x.Service || y.Replaced || y.Leaving || c.takesNewWork(y) == n.idle {
			continue
		}
		switch {
		case y.Liveness == OutOfService:
			if nowMS-y.SilentAtMS < silenceWindow.Milliseconds() {
				n.out++
			}
		case !y.Retired:
			n.live++
		}
	}
	return n
}

// expire retires agents that have been silent for long enough and drops agents and
// balancers whose retention has ended, by the state's clock.
func (c *Catalogue) expire() {
	c.expireBalancers()
	retired := 0
	for i := range c.state.Agents {
		x := &c.state.Agents[i]
		if x.Liveness == OutOfService && !x.Retired && c.elapsed(x.SilentAtMS, retireAfter(x).Milliseconds()) {
			c.retireAgent(x)
		}
		if x.Retired {
			retired++
		}
	}
	if retired == 0 {
		return
	}
	excess := retired - maxRetiredAgents
	c.dropAgents(func(x *Agent) bool {
		if !x.Retired {
			return false
		}
		excess--
		if c.elapsed(x.RetiredAtMS, c.retentionMS[x.Service]) {
			return true
		}
		if excess >= 0 {
			c.suspendKeys(x)
		}
		return excess >= 0
	})
}

// suspendKeys stops the service from accepting idempotency keys until the normal end of
// x's retention, because x is dropped early. Agents find the retired holders of keys in
// the table. With one missing they could miss the only record of a request that ran, and
// run it a second time when it is resent.
func (c *Catalogue) suspendKeys(x *Agent) {
	i := slices.IndexFunc(c.state.Services, func(s Service) bool { return s.ID == x.Service })
	if i >= 0 {
		s := &c.state.Services[i]
		s.KeysFromMS = max(s.KeysFromMS, x.RetiredAtMS+s.retiredRetentionMS())
	}
}

// elapsed reports whether afterMS have passed since sinceMS by the state's clock.
func (c *Catalogue) elapsed(sinceMS, afterMS int64) bool { return c.state.ClockMS-sinceMS >= afterMS }

// dropAgents removes agents from the state; their numbers aren't used again. It runs for
// every command, so it copies nothing until it finds an agent to drop.
func (c *Catalogue) dropAgents(drop func(*Agent) bool) {
	kept := 0
	for i := range c.state.Agents {
		x := &c.state.Agents[i]
		if drop(x) {
			c.unindexAgent(x)
			continue
		}
		if kept < i {
			c.state.Agents[kept] = *x
		}
		kept++
	}
	if kept == len(c.state.Agents) {
		return
	}
	clear(c.state.Agents[kept:])
	c.state.Agents = c.state.Agents[:kept]
	c.tableChanged = true
}

// unindexAgent removes a dropped agent from the indexes where it is the current one.
func (c *Catalogue) unindexAgent(x *Agent) {
	if c.agentByName[x.Name] == x.Number {
		delete(c.agentByName, x.Name)
	}
	if at := (serviceHost{x.Service, x.Host}); c.agentByHost[at] == x.Number {
		delete(c.agentByHost, at)
	}
}
