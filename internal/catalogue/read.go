package catalogue

import (
	"slices"
	"time"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/table"
)

// Summary holds the version, the table revision and the preset in force.
type Summary struct {
	Version  uint64
	Revision table.Revision
	InForce  string
}

// Summary returns the summary of the current state.
func (c *Catalogue) Summary() Summary {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return Summary{Version: c.state.Version, Revision: c.state.Revision, InForce: c.state.InForce}
}

// Services returns the services in the operator's order.
func (c *Catalogue) Services() []Service {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.state.Services)
}

// Presets returns the presets in the operator's order.
func (c *Catalogue) Presets() []Preset {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.state.Presets)
}

// Agents returns all agents in the state, including retired ones, by number.
func (c *Catalogue) Agents() []Agent {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.state.Agents)
}

// Balancers returns all balancers by name, including those out of service.
func (c *Catalogue) Balancers() []BalancerRecord {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.state.Balancers)
}

// Drains returns the drained hosts, sorted.
func (c *Catalogue) Drains() []string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.state.Drains)
}

// Keys returns the generations of the cluster keys, oldest first.
func (c *Catalogue) Keys() []KeyRecord {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.state.Keys)
}

// Audit returns the latest records of operators' commands, oldest first.
func (c *Catalogue) Audit() []Record {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.state.Audit)
}

// Fleet returns the latest records of announcements and silence reports, oldest first.
func (c *Catalogue) Fleet() []Record {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.state.Fleet)
}

// ClockAhead returns how far the state's clock is ahead of now; negative if it is
// behind, 0 before the first command.
func (c *Catalogue) ClockAhead(now time.Time) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.state.ClockMS == 0 {
		return 0
	}
	return time.Duration(c.state.ClockMS-now.UnixMilli()) * time.Millisecond
}

// SweepDue reports whether the leader should propose a sweep at now: SweepInterval has
// passed, or an agent or balancer has to be retired or dropped. Without sweeps a cluster
// without other commands would never retire an agent.
func (c *Catalogue) SweepDue(now time.Time) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	nowMS := now.UnixMilli()
	if since := nowMS - c.state.LastSweepMS; since >= SweepInterval.Milliseconds() || since < 0 {
		return true
	}
	for i := range c.state.Agents {
		a := &c.state.Agents[i]
		switch {
		case a.Retired && nowMS-a.RetiredAtMS >= c.retentionMS[a.Service]:
			return true
		case a.Liveness == OutOfService && !a.Retired && nowMS-a.SilentAtMS >= retireAfter(a).Milliseconds():
			return true
		}
	}
	return slices.ContainsFunc(c.state.Balancers, func(b BalancerRecord) bool {
		return b.Liveness == OutOfService && nowMS-b.SilentAtMS >= silenceWindow.Milliseconds()
	})
}

// LiveVia returns the subscribers that are live by the state and connected to a control
// VM for which vm returns true.
func (c *Catalogue) LiveVia(vm func(string) bool) (agents, balancers []distribution.Silence) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for i := range c.state.Agents {
		if a := &c.state.Agents[i]; !a.Retired && a.Liveness == Live && vm(a.Via) {
			agents = append(agents, a.silenceReport())
		}
	}
	for i := range c.state.Balancers {
		if b := &c.state.Balancers[i]; b.Liveness == Live && vm(b.Via) {
			balancers = append(balancers, b.silenceReport())
		}
	}
	return agents, balancers
}

func (a *Agent) silenceReport() distribution.Silence {
	return distribution.Silence{Name: a.Name, Agent: a.Number, Incarnation: a.Incarnation, Attachment: a.Attachment}
}

func (b *BalancerRecord) silenceReport() distribution.Silence {
	return distribution.Silence{Name: b.Name, Incarnation: b.Incarnation, Attachment: b.Attachment}
}

// targetGroup identifies the targets of a service that take new work, or those that
// don't.
type targetGroup struct {
	service      table.ServiceID
	takesNewWork bool
}

// RemovableSuspects returns, as silence reports, the suspects that may be taken out of
// service at now: at most one for each group of targets and one balancer, since each
// removal changes the count. A process that announces itself to any control VM is no
// longer a suspect, so those that remain have been silent since they were reported.
func (c *Catalogue) RemovableSuspects(now time.Time) (agents, balancers []distribution.Silence) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	nowMS := max(now.UnixMilli(), c.state.ClockMS)
	seen := make(map[targetGroup]bool)
	for i := range c.state.Agents {
		a := &c.state.Agents[i]
		group := targetGroup{a.Service, c.takesNewWork(a)}
		if a.Liveness != Suspect || a.Retired || seen[group] {
			continue
		}
		seen[group] = true
		if c.countAgents(a, nowMS).mayTakeOut() {
			agents = append(agents, a.silenceReport())
		}
	}
	for _, b := range c.state.Balancers {
		if b.Liveness == Suspect && c.countBalancers(nowMS).mayTakeOut() {
			balancers = append(balancers, b.silenceReport())
			break
		}
	}
	return agents, balancers
}
