package catalogue

import (
	"fmt"
	"slices"

	"bergamotstall/internal/table"
)

// FromOperator reports whether an operator sent the command, rather than a process.
func (c *Command) FromOperator() bool {
	return c.AnnounceAgent == nil && c.AnnounceBalancer == nil && c.AgentSilent == nil &&
		c.BalancerSilent == nil && c.Sweep == nil
}

// actor names the operator, the process that announces itself, or the control VM that
// reports a silent process.
func (c *Command) actor() string {
	switch {
	case c.AnnounceAgent != nil:
		return c.AnnounceAgent.Announcement.Name
	case c.AnnounceBalancer != nil:
		return c.AnnounceBalancer.Announcement.Name
	case !c.FromOperator():
		return c.ProposedBy
	}
	return c.Operator
}

// describe describes the command for the audit record.
func (c *Command) describe() string {
	switch {
	case c.Apply != nil:
		return fmt.Sprintf("apply %d services, %d presets", len(c.Apply.Definition.Services), len(c.Apply.Definition.Presets))
	case c.Switch != nil:
		return "switch to " + c.Switch.Preset
	case c.Drain != nil:
		return "drain " + c.Drain.Host
	case c.Undrain != nil:
		return "undrain " + c.Undrain.Host
	case c.RotateKeys != nil:
		return "keys " + c.RotateKeys.Step.String()
	case c.AnnounceAgent != nil:
		a := c.AnnounceAgent.Announcement
		return fmt.Sprintf("announce agent of %s on %s", a.Service, a.Host)
	case c.AnnounceBalancer != nil:
		return "announce balancer"
	case c.AgentSilent != nil:
		return fmt.Sprintf("agent %d silent", c.AgentSilent.Agent)
	case c.BalancerSilent != nil:
		return "balancer " + c.BalancerSilent.Name + " silent"
	}
	return "unknown command"
}

// applyDefinition replaces all services and presets, or changes nothing if the
// definition is refused.
func (c *Catalogue) applyDefinition(d *Definition) Outcome {
	if problems := d.Problems(); len(problems) > 0 {
		p := problems[0]
		return c.outcome(NotValid, fmt.Sprintf("%s: %s (allowed: %s)", p.Path, p.What, p.Allowed))
	}
	inForce := c.state.InForce
	if inForce == "" {
		inForce = d.Presets[0].Name
	}
	if !slices.ContainsFunc(d.Presets, func(p Preset) bool { return p.Name == inForce }) {
		return c.outcome(Refused, fmt.Sprintf("preset %q is in force and missing from the file; switch to another one first", inForce))
	}
	if name, targets := c.removedServiceInUse(d); targets > 0 {
		return c.outcome(Refused, fmt.Sprintf("service %q has %d targets and is missing from the file; stop its agents first", name, targets))
	}
	c.replaceServices(d.Services)
	c.tableChanged = c.tableChanged || inForce != c.state.InForce
	c.state.Presets = d.Presets
	c.state.InForce = inForce
	c.updateWeights()
	return c.outcome(Done, fmt.Sprintf("%d services, %d presets, %s in force", len(d.Services), len(d.Presets), inForce))
}

// removedServiceInUse returns a service that is missing from the definition but still
// has targets, and the number of its targets.
func (c *Catalogue) removedServiceInUse(d *Definition) (string, int) {
	for _, s := range c.state.Services {
		if slices.ContainsFunc(d.Services, func(x ServiceSpec) bool { return x.Name == s.Spec.Name }) {
			continue
		}
		targets := 0
		for i := range c.state.Agents {
			if a := &c.state.Agents[i]; a.Service == s.ID && !a.Retired {
				targets++
			}
		}
		if targets > 0 {
			return s.Spec.Name, targets
		}
	}
	return "", 0
}

// replaceServices replaces the services. Those that remain keep their IDs; new ones get
// IDs in the operator's order.
func (c *Catalogue) replaceServices(specs []ServiceSpec) {
	next := make([]Service, 0, len(specs))
	kept := make(map[table.ServiceID]bool, len(specs))
	for _, spec := range specs {
		service, ok := c.serviceNamed(spec.Name)
		if !ok {
			c.state.LastService++
			service.ID = c.state.LastService
		}
		service.Spec = spec
		kept[service.ID] = true
		next = append(next, service)
	}
	if !slices.Equal(next, c.state.Services) {
		c.tableChanged = true
	}
	c.state.Services = next
	c.indexServices()
	c.dropAgents(func(a *Agent) bool { return !kept[a.Service] })
}

func (c *Catalogue) serviceNamed(name string) (Service, bool) {
	i := slices.IndexFunc(c.state.Services, func(s Service) bool { return s.Spec.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.state.Services[i], true
}

func (c *Catalogue) switchPreset(name string) Outcome {
	if _, ok := c.presetNamed(name); !ok {
		out := c.outcome(NoPreset, fmt.Sprintf("no preset %q", name))
		out.Subject = name
		return out
	}
	if name == c.state.InForce {
		return c.outcome(Done, name+" was in force already")
	}
	previous := c.state.InForce
	c.state.InForce = name
	c.updateWeights()
	c.tableChanged = true
	return c.outcome(Done, fmt.Sprintf("%s in force, before it %s", name, previous))
}

func (c *Catalogue) presetNamed(name string) (*Preset, bool) {
	i := slices.IndexFunc(c.state.Presets, func(p Preset) bool { return p.Name == name })
	if i < 0 {
		return nil, false
	}
	return &c.state.Presets[i], true
}

// drain stops new work for a host. The host may be unknown: the drain then applies to
// its agents as soon as they register.
func (c *Catalogue) drain(host string) Outcome {
	if host == "" || len(host) > maxNameLength {
		return c.outcome(NotValid, fmt.Sprintf("a host's name has 1 to %d bytes", maxNameLength))
	}
	if c.drained[host] {
		return c.outcome(Done, host+" was drained already")
	}
	if len(c.state.Drains) >= maxDrains {
		return c.outcome(Refused, fmt.Sprintf("%d hosts are drained; undrain some first", maxDrains))
	}
	at, _ := slices.BinarySearch(c.state.Drains, host)
	c.state.Drains = slices.Insert(c.state.Drains, at, host)
	c.drained[host] = true
	return c.drainChanged(host, "drains")
}

// maxDrains limits the drained hosts.
const maxDrains = 20_000

func (c *Catalogue) undrain(host string) Outcome {
	at, ok := slices.BinarySearch(c.state.Drains, host)
	if !ok {
		return c.outcome(Refused, fmt.Sprintf("%q isn't drained", host))
	}
	c.state.Drains = slices.Delete(c.state.Drains, at, at+1)
	delete(c.drained, host)
	return c.drainChanged(host, "gets new work again")
}

// drainChanged returns the outcome of a changed drain. The table changes only if the
// host has targets.
func (c *Catalogue) drainChanged(host, what string) Outcome {
	targets := c.targetsOn(host)
	if targets > 0 {
		c.tableChanged = true
	}
	return c.outcome(Done, fmt.Sprintf("%s %s, %d targets on it", host, what, targets))
}

func (c *Catalogue) targetsOn(host string) int {
	n := 0
	for i := range c.state.Agents {
		if a := &c.state.Agents[i]; a.Host == host && !a.Retired {
			n++
		}
	}
	return n
}
