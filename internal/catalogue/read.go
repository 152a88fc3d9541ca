package catalogue

import (
	"slices"
	"time"

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

// SweepDue tells whether time alone makes a step due at now, so that the leader
// proposes a Sweep. Without it, a quiet cluster would never retire an agent.
func (c *Catalogue) SweepDue(now time.Time) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	nowMS := now.UnixMilli()
	for i := range c.state.Agents {
		a := &c.state.Agents[i]
		switch {
		case a.Retired && nowMS-a.RetiredAtMS >= RetiredKept.Milliseconds():
			return true
		case a.Silence == Out && !a.Retired && nowMS-a.SilentAtMS >= retireAfter.Milliseconds():
			return true
		}
	}
	return slices.ContainsFunc(c.state.Balancers, func(b BalancerRecord) bool {
		return b.Silence == Out && nowMS-b.SilentAtMS >= silenceWindow.Milliseconds()
	})
}
