package catalogue

import (
	"slices"
	"time"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/table"
)

// Summary is the catalogue at a glance.
type Summary struct {
	Version  uint64
	Revision table.Revision
	InForce  string
}

// Summary returns version, revision and the preset in force.
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

// Agents returns every agent that is remembered, by number.
func (c *Catalogue) Agents() []Agent {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.state.Agents)
}

// Balancers returns the balancers by name, silent ones among them.
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

// Audit returns the last records of operators' commands, oldest first.
func (c *Catalogue) Audit() []Record {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.state.Audit)
}

// Fleet returns the last records of announcements and silences, oldest first.
func (c *Catalogue) Fleet() []Record {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.state.Fleet)
}

// ClockAhead is how far the state's clock is ahead of now; 0 before the first
// command.
func (c *Catalogue) ClockAhead(now time.Time) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.state.ClockMS == 0 {
		return 0
	}
	return time.Duration(c.state.ClockMS-now.UnixMilli()) * time.Millisecond
}

// SweepDue tells whether the leader's next beat is due at now, or time alone
// makes a step due. Without it, a quiet cluster would never retire an agent.
func (c *Catalogue) SweepDue(now time.Time) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	nowMS := now.UnixMilli()
	if since := nowMS - c.state.BeatMS; since >= BeatEvery.Milliseconds() || since < 0 {
		return true
	}
	for i := range c.state.Agents {
		a := &c.state.Agents[i]
		switch {
		case a.Retired && nowMS-a.RetiredAtMS >= c.retiredKept[a.Service]:
			return true
		case a.Silence == Out && !a.Retired && nowMS-a.SilentAtMS >= retireAfter(a).Milliseconds():
			return true
		}
	}
	return slices.ContainsFunc(c.state.Balancers, func(b BalancerRecord) bool {
		return b.Silence == Out && nowMS-b.SilentAtMS >= silenceWindow.Milliseconds()
	})
}

// HeardVia returns the subscribers that are in touch, as far as the state knows,
// via one of the control VMs that the function picks.
func (c *Catalogue) HeardVia(vm func(string) bool) (agents, balancers []distribution.Silence) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for i := range c.state.Agents {
		if a := &c.state.Agents[i]; !a.Retired && a.Silence == Heard && vm(a.Via) {
			agents = append(agents, a.report())
		}
	}
	for i := range c.state.Balancers {
		if b := &c.state.Balancers[i]; b.Silence == Heard && vm(b.Via) {
			balancers = append(balancers, b.report())
		}
	}
	return agents, balancers
}

func (a *Agent) report() distribution.Silence {
	return distribution.Silence{Name: a.Name, Agent: a.Number, Incarnation: a.Incarnation, Attachment: a.Attachment}
}

func (b *BalancerRecord) report() distribution.Silence {
	return distribution.Silence{Name: b.Name, Incarnation: b.Incarnation, Attachment: b.Attachment}
}

// suspected is a service's targets that work, or those that don't.
type suspected struct {
	service table.ServiceID
	works   bool
}

// BelievableSuspects returns, as new reports, the silences that weren't believed
// and would be at now: at most one of each kind for each service, and one
// balancer's, since each that goes out changes the count. A suspicion ends when its process
// announces itself anywhere, so what is left has been silent ever since.
func (c *Catalogue) BelievableSuspects(now time.Time) (agents, balancers []distribution.Silence) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	nowMS := max(now.UnixMilli(), c.state.ClockMS)
	seen := make(map[suspected]bool)
	for i := range c.state.Agents {
		a := &c.state.Agents[i]
		kind := suspected{a.Service, c.works(a)}
		if a.Silence != Suspect || a.Retired || seen[kind] {
			continue
		}
		seen[kind] = true
		if c.agentWave(a, nowMS).believe() {
			agents = append(agents, a.report())
		}
	}
	for _, b := range c.state.Balancers {
		if b.Silence == Suspect && c.balancerWave(nowMS).believe() {
			balancers = append(balancers, b.report())
			break
		}
	}
	return agents, balancers
}
