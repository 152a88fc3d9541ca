package catalogue

import (
	"fmt"
	"strings"

	"bergamotstall/internal/table"
)

// updateWeights sets every agent's weight by the preset in force. It indexes the preset
// once, because a search per agent would be quadratic: up to 12,000 agents times 2,100
// services.
func (c *Catalogue) updateWeights() {
	preset, ok := c.presetNamed(c.state.InForce)
	if !ok {
		return
	}
	weights := preset.byService()
	for i := range c.state.Agents {
		a := &c.state.Agents[i]
		c.setWeight(a, weights[c.serviceName(a.Service)].weight(a.DataCentre, a.Host))
	}
}

// updateWeight sets one agent's weight by the preset in force.
func (c *Catalogue) updateWeight(a *Agent) { c.setWeight(a, c.effectiveWeight(a)) }

// setWeight sets an agent's weight and, if it changes, the start of its ramp.
func (c *Catalogue) setWeight(a *Agent, weight uint32) {
	if weight == a.Weight {
		return
	}
	a.PreviousWeight = a.Weight
	a.Weight = weight
	a.ChangedAtMS = c.state.ClockMS
	c.tableChanged = true
}

func (c *Catalogue) effectiveWeight(a *Agent) uint32 {
	preset, ok := c.presetNamed(c.state.InForce)
	if !ok {
		return 0
	}
	return preset.service(c.serviceName(a.Service)).weight(a.DataCentre, a.Host)
}

func (c *Catalogue) serviceName(id table.ServiceID) string { return c.serviceNames[id] }

// maxWarnedServices limits the services that a warning names.
const maxWarnedServices = 5

// noTargetWarning returns a warning about services whose targets are all drained, out of
// service or of weight 0: their callers can't open new flows. An operator may intend
// this, so the command isn't refused.
func (c *Catalogue) noTargetWarning() string {
	// takesWork has an entry for each service with targets: whether one takes new work.
	takesWork := make(map[table.ServiceID]bool, len(c.state.Services))
	for i := range c.state.Agents {
		a := &c.state.Agents[i]
		if a.Retired || takesWork[a.Service] {
			continue
		}
		takesWork[a.Service] = c.takesNewWork(a) && a.Liveness != OutOfService
	}
	var affected []string
	for _, s := range c.state.Services {
		if takes, has := takesWork[s.ID]; has && !takes {
			affected = append(affected, s.Spec.Name)
		}
	}
	if len(affected) == 0 {
		return ""
	}
	names := strings.Join(affected[:min(len(affected), maxWarnedServices)], ", ")
	return fmt.Sprintf("; WARNING: no target takes new work for %d services: %s", len(affected), names)
}

// Table returns the table of the current revision. Callers must not modify it.
func (c *Catalogue) Table() *table.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cachedTable == nil {
		c.cachedTable = c.buildTable()
	}
	return c.cachedTable
}

// buildTable builds the table from the state.
func (c *Catalogue) buildTable() *table.Table {
	t := &table.Table{
		Revision: c.state.Revision,
		Preset:   c.state.InForce,
		Services: make([]table.Service, 0, len(c.state.Services)),
		Targets:  make([]table.Target, 0, len(c.state.Agents)),
	}
	for i := range c.state.Services {
		t.Services = append(t.Services, c.state.Services[i].tableEntry())
	}
	for i := range c.state.Agents {
		t.Targets = append(t.Targets, c.tableTarget(&c.state.Agents[i]))
	}
	for _, b := range c.state.Balancers {
		if b.Liveness != OutOfService {
			t.Balancers = append(t.Balancers, table.Balancer{Name: b.Name, DataCentre: b.DataCentre, Tunnel: b.Tunnel})
		}
	}
	t.Keys = c.keySets()
	return t
}

func (s *Service) tableEntry() table.Service {
	return table.Service{
		ID: s.ID, Name: s.Spec.Name, Address: s.Spec.Address, FlowLimit: s.Spec.FlowLimit,
		QueueLimit: s.Spec.QueueLimit, RetryPercent: s.Spec.RetryPercent,
		KeyWindowMS: s.Spec.KeyWindow.Milliseconds(), KeysFromMS: s.KeysFromMS,
	}
}

func (c *Catalogue) tableTarget(a *Agent) table.Target {
	return table.Target{
		Agent: a.Number, Service: a.Service, Host: a.Host, DataCentre: a.DataCentre,
		Tunnel: a.Tunnel, Peer: a.Peer, Slots: a.Slots, Connections: a.Connections,
		Weight: a.Weight, PreviousWeight: a.PreviousWeight, ChangedAtMS: a.ChangedAtMS,
		JoinedAtMS: a.JoinedAtMS, State: c.targetState(a),
	}
}

func (c *Catalogue) targetState(a *Agent) table.State {
	switch {
	case a.Retired:
		return table.Retired
	case a.Leaving || a.Liveness == OutOfService || c.drained[a.Host]:
		return table.Draining
	}
	return table.Active
}
