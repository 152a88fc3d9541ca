package catalogue

import (
	"fmt"
	"strings"

	"bergamotstall/internal/table"
)

// reweigh brings every agent's weight in line with the preset in force. The
// preset is indexed once: a preset that names each of 2,100 services would else
// be searched for each of 12,000 targets.
func (c *Catalogue) reweigh() {
	preset, ok := c.preset(c.state.InForce)
	if !ok {
		return
	}
	named := preset.index()
	for i := range c.state.Agents {
		a := &c.state.Agents[i]
		c.setWeight(a, named[c.serviceName(a.Service)].weight(a.DataCentre, a.Host))
	}
}

// weigh brings one agent's weight in line with the preset in force.
func (c *Catalogue) weigh(a *Agent) { c.setWeight(a, c.effectiveWeight(a)) }

// setWeight sets an agent's weight and, where it changes, the start of its ramp.
func (c *Catalogue) setWeight(a *Agent, weight uint32) {
	if weight == a.Weight {
		return
	}
	a.PreviousWeight = a.Weight
	a.Weight = weight
	a.ChangedAtMS = c.state.ClockMS
	c.altered = true
}

func (c *Catalogue) effectiveWeight(a *Agent) uint32 {
	preset, ok := c.preset(c.state.InForce)
	if !ok {
		return 0
	}
	return preset.service(c.serviceName(a.Service)).weight(a.DataCentre, a.Host)
}

func (c *Catalogue) serviceName(id table.ServiceID) string { return c.names[id] }

// starvedNamed bounds the services that a warning names.
const starvedNamed = 5

// starvation warns of services whose targets are all drained, silent or without
// weight: callers of such a service open no new flow. An operator may want that,
// so it is no refusal.
func (c *Catalogue) starvation() string {
	// serves has the services with targets, and whether one of them works.
	serves := make(map[table.ServiceID]bool, len(c.state.Services))
	for i := range c.state.Agents {
		a := &c.state.Agents[i]
		if a.Retired || serves[a.Service] {
			continue
		}
		serves[a.Service] = c.works(a) && a.Silence != Out
	}
	var starved []string
	for _, s := range c.state.Services {
		if works, has := serves[s.ID]; has && !works {
			starved = append(starved, s.Spec.Name)
		}
	}
	if len(starved) == 0 {
		return ""
	}
	names := strings.Join(starved[:min(len(starved), starvedNamed)], ", ")
	return fmt.Sprintf("; WARNING: no target takes new work for %d services: %s", len(starved), names)
}

// Table returns the table of the current revision. Callers don't change it.
func (c *Catalogue) Table() *table.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.built == nil {
		c.built = c.derive()
	}
	return c.built
}

// derive builds the table from the state, in the state's order.
func (c *Catalogue) derive() *table.Table {
	t := &table.Table{
		Revision: c.state.Revision,
		Preset:   c.state.InForce,
		Services: make([]table.Service, 0, len(c.state.Services)),
		Targets:  make([]table.Target, 0, len(c.state.Agents)),
	}
	for i := range c.state.Services {
		t.Services = append(t.Services, c.state.Services[i].entry())
	}
	for i := range c.state.Agents {
		t.Targets = append(t.Targets, c.target(&c.state.Agents[i]))
	}
	for _, b := range c.state.Balancers {
		if b.Silence != Out {
			t.Balancers = append(t.Balancers, table.Balancer{Name: b.Name, DataCentre: b.DataCentre, Tunnel: b.Tunnel})
		}
	}
	t.Keys = c.keySets()
	return t
}

func (s *Service) entry() table.Service {
	return table.Service{
		ID: s.ID, Name: s.Spec.Name, Address: s.Spec.Address, FlowLimit: s.Spec.FlowLimit,
		QueueLimit: s.Spec.QueueLimit, RetryPercent: s.Spec.RetryPercent,
		KeyWindowMS: s.Spec.KeyWindow.Milliseconds(), KeysFromMS: s.KeysFromMS,
	}
}

func (c *Catalogue) target(a *Agent) table.Target {
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
	case a.Leaving || a.Silence == Out || c.drains[a.Host]:
		return table.Draining
	}
	return table.Active
}
