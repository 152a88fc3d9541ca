package catalogue

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/table"
)

// announceAgent registers an incarnation, or finds it again.
func (c *Catalogue) announceAgent(cmd *Command) Outcome {
	a := cmd.AnnounceAgent.Announcement
	service, ok := c.serviceNamed(a.Service)
	if !ok {
		out := c.outcome(NoService, fmt.Sprintf("no service %q", a.Service))
		out.Subject = a.Service
		return out
	}
	if why := announcementFault(&a); why != "" {
		return c.outcome(NotValid, why)
	}
	if known := c.incarnation(&a); known != nil {
		return c.announceAgain(known, service.ID, &a, cmd.Via)
	}
	if len(c.state.Agents) >= maxAgents {
		return c.outcome(Refused, fmt.Sprintf("%d agents are known", maxAgents))
	}
	return c.register(service, &a, cmd)
}

// announcementFault says what an agent's announcement lacks.
func announcementFault(a *distribution.Announcement) string {
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

// incarnation finds the record of an incarnation that announced itself before.
// Only retired records are looked through beside the name's current one.
func (c *Catalogue) incarnation(a *distribution.Announcement) *Agent {
	for i := len(c.state.Agents) - 1; i >= 0; i-- {
		x := &c.state.Agents[i]
		if x.Incarnation == a.Incarnation && x.Name == a.Name {
			return x
		}
	}
	return nil
}

// announceAgain brings a known incarnation up to date. Its number stays; one
// that went out on silence comes back, since nobody else ever got its number.
func (c *Catalogue) announceAgain(x *Agent, service table.ServiceID, a *distribution.Announcement, via string) Outcome {
	if x.Service != service || x.Host != a.Host {
		return c.outcome(NotValid, fmt.Sprintf("agent %d is bound to its service and host", x.Number))
	}
	if x.Replaced {
		out := c.outcome(Superseded, fmt.Sprintf("agent %d was replaced by a later incarnation", x.Number))
		out.Agent = x.Number
		return out
	}
	if a.Attachment < x.Attachment {
		// A control VM that the agent has left speaks late.
		out := c.outcome(Done, fmt.Sprintf("agent %d has announced itself since", x.Number))
		out.Agent = x.Number
		return out
	}
	before := *x
	x.Tunnel, x.Peer = a.Tunnel, a.Peer
	x.Slots, x.Connections = a.Slots, a.Connections
	x.DataCentre, x.Leaving = a.DataCentre, a.Draining
	x.Retired, x.RetiredAtMS = false, 0
	x.Silence, x.SilentAtMS = Heard, 0
	c.weigh(x)
	before.Silence, before.SilentAtMS = suspicionOnly(before.Silence), 0
	if *x != before {
		c.altered = true
	}
	x.Via, x.Attachment = via, a.Attachment
	out := c.outcome(Done, fmt.Sprintf("agent %d announced again", x.Number))
	out.Agent = x.Number
	return out
}

// suspicionOnly forgets a suspicion, which the table doesn't show.
func suspicionOnly(s Silence) Silence {
	if s == Suspect {
		return Heard
	}
	return s
}

// register gives a new incarnation its number and retires the one before it.
//
// An agent counts as joined at the proposer's time where that is later than the
// state's clock: whoever asks how long an agent can have remembered keys must
// never take it for older than it is.
func (c *Catalogue) register(service Service, a *distribution.Announcement, cmd *Command) Outcome {
	c.replace(c.agents[a.Name])
	c.replace(c.hostOf[place{service.ID, a.Host}])
	c.state.LastAgent++
	x := Agent{
		Number: c.state.LastAgent, Service: service.ID, Name: a.Name, Incarnation: a.Incarnation,
		Attachment: a.Attachment, Host: a.Host, DataCentre: a.DataCentre, Tunnel: a.Tunnel, Peer: a.Peer,
		Slots: a.Slots, Connections: a.Connections, Leaving: a.Draining, Via: cmd.Via,
		ChangedAtMS: c.state.ClockMS, JoinedAtMS: max(c.state.ClockMS, cmd.AtMS),
	}
	x.Weight = c.effectiveWeight(&x)
	x.PreviousWeight = x.Weight
	c.state.Agents = append(c.state.Agents, x)
	c.index(&x)
	c.altered = true
	out := c.outcome(Done, fmt.Sprintf("agent %d registered for %s on %s", x.Number, service.Spec.Name, a.Host))
	out.Agent = x.Number
	return out
}

// replace retires an incarnation for good: a later one has its place.
func (c *Catalogue) replace(number table.AgentNumber) {
	x := c.agent(number)
	if x == nil {
		return
	}
	x.Replaced = true
	c.retire(x)
}

func (c *Catalogue) retire(x *Agent) {
	if !x.Retired {
		x.Retired, x.RetiredAtMS = true, c.state.ClockMS
		c.altered = true
	}
}

// agent finds an agent by number, nil where there is none.
func (c *Catalogue) agent(number table.AgentNumber) *Agent {
	i, ok := slices.BinarySearchFunc(c.state.Agents, number, func(a Agent, n table.AgentNumber) int {
		return cmp.Compare(a.Number, n)
	})
	if !ok {
		return nil
	}
	return &c.state.Agents[i]
}

// agentSilent takes a silent agent out of new work, or suspects it only.
func (c *Catalogue) agentSilent(cmd *Command) Outcome {
	report := cmd.AgentSilent
	number := report.Agent
	if number == 0 {
		// Registered, but the answer with the number was lost before the stream was.
		number = c.agents[report.Name]
	}
	x := c.agent(number)
	switch {
	case x == nil || x.Retired:
		return c.outcome(Done, "gone already")
	case x.Incarnation != report.Incarnation || x.Attachment > report.Attachment:
		// The agent has come back, here or at another control VM; the report is of
		// a stream that it left.
		return c.outcome(Done, "heard since by "+x.Via)
	case x.Silence == Out:
		return c.outcome(Done, "out already")
	case !x.Leaving && !c.agentWave(x, c.state.ClockMS).believe():
		if x.Silence != Suspect {
			x.Silence, x.SilentAtMS = Suspect, c.state.ClockMS
		}
		return c.outcome(Refused, fmt.Sprintf("agent %d is silent, but too much of its service is; it stays in", x.Number))
	}
	x.Silence, x.SilentAtMS = Out, c.state.ClockMS
	c.altered = true
	if x.Leaving {
		return c.outcome(Done, fmt.Sprintf("agent %d left as planned", x.Number))
	}
	return c.outcome(Done, fmt.Sprintf("agent %d is out of new work", x.Number))
}

// works tells whether an agent that is in touch would get new work.
func (c *Catalogue) works(x *Agent) bool {
	return x.Weight > 0 && !x.Leaving && !c.drains[x.Host]
}

// agentWave counts, at nowMS, the targets of x's service that are like x: those
// that work, or those that don't under the present drains and weights. Idle ones
// must not stand for a reserve in the count of those that work.
func (c *Catalogue) agentWave(x *Agent, nowMS int64) wave {
	w := wave{idle: !c.works(x)}
	for i := range c.state.Agents {
		y := &c.state.Agents[i]
		if y.Service != x.Service || y.Replaced || y.Leaving || c.works(y) == w.idle {
			continue
		}
		switch {
		case y.Silence == Out:
			if nowMS-y.SilentAtMS < silenceWindow.Milliseconds() {
				w.out++
			}
		case !y.Retired:
			w.live++
		}
	}
	return w
}

// expire takes the steps that the state's clock has made due.
func (c *Catalogue) expire() {
	c.expireBalancers()
	retired := 0
	for i := range c.state.Agents {
		x := &c.state.Agents[i]
		if x.Silence == Out && !x.Retired && c.due(x.SilentAtMS, retireAfter(x).Milliseconds()) {
			c.retire(x)
		}
		if x.Retired {
			retired++
		}
	}
	if retired == 0 {
		return
	}
	over := retired - maxRetired
	c.dropAgents(func(x *Agent) bool {
		if !x.Retired {
			return false
		}
		over--
		if c.due(x.RetiredAtMS, c.retiredKept[x.Service]) {
			return true
		}
		if over >= 0 {
			c.stopKeys(x)
		}
		return over >= 0
	})
}

// stopKeys keeps the service from claiming idempotency keys until a retired
// agent that is dropped early would have been dropped in time. Agents look
// retired keepers up in the table; with one missing, they could pass over the
// only ones that know of a run, and run a resent submission again.
func (c *Catalogue) stopKeys(x *Agent) {
	i := slices.IndexFunc(c.state.Services, func(s Service) bool { return s.ID == x.Service })
	if i >= 0 {
		s := &c.state.Services[i]
		s.KeysFromMS = max(s.KeysFromMS, x.RetiredAtMS+s.retiredKeptMS())
	}
}

func (c *Catalogue) due(sinceMS, afterMS int64) bool { return c.state.ClockMS-sinceMS >= afterMS }

// dropAgents forgets agents; their numbers stay used. It copies only once it has
// found one: it runs at every command.
func (c *Catalogue) dropAgents(gone func(*Agent) bool) {
	kept := 0
	for i := range c.state.Agents {
		x := &c.state.Agents[i]
		if gone(x) {
			c.unindex(x)
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
	c.altered = true
}

// unindex forgets a dropped agent where it still is its name's current one.
func (c *Catalogue) unindex(x *Agent) {
	if c.agents[x.Name] == x.Number {
		delete(c.agents, x.Name)
	}
	if at := (place{x.Service, x.Host}); c.hostOf[at] == x.Number {
		delete(c.hostOf, at)
	}
}
