package operator

import (
	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/table"
)

// newView reads one part of the catalogue.
func newView(c *catalogue.Catalogue, part Part) *View {
	summary := c.Summary()
	v := &View{Version: summary.Version, Revision: summary.Revision, InForce: summary.InForce}
	switch part {
	case PartServices:
		v.Services, v.Presets = c.Services(), c.Presets()
	case PartTargets:
		v.Targets, v.Drains = listTargets(c), c.Drains()
	case PartAudit:
		v.Records = c.Audit()
	case PartFleet:
		v.Records = c.Fleet()
	case PartFleetState:
		v.Balancers, v.Keys = listBalancers(c), listKeys(c)
	}
	return v
}

func listTargets(c *catalogue.Catalogue) []Target {
	names := make(map[table.ServiceID]string)
	for _, s := range c.Services() {
		names[s.ID] = s.Spec.Name
	}
	drained := make(map[string]bool)
	for _, host := range c.Drains() {
		drained[host] = true
	}
	agents := c.Agents()
	out := make([]Target, 0, len(agents))
	for i := range agents {
		a := &agents[i]
		state, why := targetState(a, drained[a.Host])
		out = append(out, Target{
			Service: names[a.Service], Host: a.Host, DataCentre: a.DataCentre, Agent: a.Number,
			State: state, Why: why, Weight: a.Weight, Slots: a.Slots, Connections: a.Connections,
			Tunnel: a.Tunnel, Via: a.Via,
		})
	}
	return out
}

// targetState returns the state of a target and its reason, as operators see them.
func targetState(a *catalogue.Agent, drained bool) (state, why string) {
	switch {
	case a.Replaced:
		return "retired", "a later incarnation has its place"
	case a.Retired:
		return "retired", "silent"
	case a.Liveness == catalogue.OutOfService:
		return "draining", "silent"
	case drained:
		return "draining", "host drained"
	case a.Leaving:
		return "draining", "agent is stopping"
	case a.Liveness == catalogue.Suspect:
		return "active", "silent, but too much of the service is"
	}
	return "active", ""
}

// stateOffReturnPath is the state of a balancer that control has taken off the return path.
const stateOffReturnPath = "out"

func listBalancers(c *catalogue.Catalogue) []Balancer {
	var out []Balancer
	for _, b := range c.Balancers() {
		state := "live"
		switch b.Liveness {
		case catalogue.Suspect:
			state = "suspect"
		case catalogue.OutOfService:
			state = stateOffReturnPath
		}
		out = append(out, Balancer{Name: b.Name, DataCentre: b.DataCentre, Tunnel: b.Tunnel, Via: b.Via, State: state})
	}
	return out
}

// statePrepared is the state of a key generation that is distributed but doesn't sign yet.
const statePrepared = "prepared"

func listKeys(c *catalogue.Catalogue) []KeyGeneration {
	keys := c.Keys()
	var out []KeyGeneration
	for i, k := range keys {
		state := "accepted"
		if k.Set.Pending {
			state = statePrepared
		} else if i == len(keys)-1 || keys[i+1].Set.Pending {
			state = "signs"
		}
		out = append(out, KeyGeneration{Generation: k.Set.Generation, State: state, PreparedAt: k.PreparedAt, SignsSinceMS: k.SignsSinceMS})
	}
	return out
}
