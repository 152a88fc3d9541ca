package forward

import (
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/placement"
	"bergamotstall/internal/passthrough/route"
)

// candidates are the agents that a flow may be placed at, with their targets.
type candidates struct {
	numbers [maxCandidates]uint32
	targets [maxCandidates]placement.Target
	n       int
}

// maxCandidates bounds the targets considered for one new flow: its preferred ones in the
// local and in remote data centres, of up to eight services.
const maxCandidates = 2 * preferredAgents * 8

func (c *candidates) add(number uint32, t placement.Target) {
	if c.n == maxCandidates {
		return
	}
	c.numbers[c.n] = number
	c.targets[c.n] = t
	c.n++
}

func (c *candidates) list() []placement.Target { return c.targets[:c.n] }

// keepOverflowTargets keeps the targets that may take overflow from a service whose own
// targets are all saturated.
func (c *candidates) keepOverflowTargets(p *placement.Policy, own []placement.Target) {
	n := c.n
	c.n = 0
	for i := range n {
		if p.TakesOverflow(&c.targets[i], own) {
			c.add(c.numbers[i], c.targets[i])
		}
	}
}

func (e *Engine) pick(p *placement.Policy, c *candidates) (uint32, bool) {
	at, ok := p.Pick(e.cfg.Rand, c.list())
	if !ok {
		return noAgent, false
	}
	return c.numbers[at], true
}

// minKnownCandidates is how many candidates of one service must have a fresh report, so
// that the policy has two targets to choose between.
const minKnownCandidates = 2

// choice is the result of choosing an agent for a new flow.
type choice struct {
	// agent is the chosen one, noAgent if none. service is the service that it was chosen
	// for.
	agent   uint32
	service route.ServiceID
	// probe lists the agents whose load must be known first.
	probe []uint32
}

// chooser selects the agent for one flow.
type chooser struct {
	e        *Engine
	now      time.Duration
	flow     packet.Flow
	excluded []uint32
	// noWait says that the flow can't wait for further reports: agents without a fresh
	// one are left out.
	noWait bool
}

// choose picks an agent for a new flow. It prefers the service that the weights select,
// in the local data centre if a target there has a free slot, then in other data centres.
// If all of these are saturated, it may pick a less loaded target of another service of
// the route. Loads are requested only for the step at hand, so that a flow costs two or
// three probes while the fleet has free slots.
func (c *chooser) choose() choice {
	service, _ := c.e.table.Pick(c.flow)
	var own, other candidates
	if probe := c.addCandidates(service, true, &own); len(probe) > 0 {
		return choice{agent: noAgent, probe: probe}
	}
	policy := c.e.placementPolicy(c.flow)
	if own.n == 0 || !policy.HasSlot(own.list()) {
		if probe := c.addCandidates(service, false, &own); len(probe) > 0 {
			return choice{agent: noAgent, probe: probe}
		}
	}
	if policy.Overflow(own.list()) {
		if probe := c.addOtherServices(service, &other); len(probe) > 0 {
			return choice{agent: noAgent, probe: probe}
		}
		other.keepOverflowTargets(policy, own.list())
		if agent, ok := c.e.pick(policy, &other); ok {
			return choice{agent: agent, service: c.e.agents.list[agent].group.service}
		}
	}
	placement.Relate(own.list())
	if agent, ok := c.e.pick(policy, &own); ok {
		return choice{agent: agent, service: service}
	}
	return choice{agent: c.fallback(service), service: service}
}

// placementPolicy returns the policy for a flow, by the kind of its route where bulk stays
// near: where links between data centres are short, or a route of a bulk kind can make them so.
func (e *Engine) placementPolicy(f packet.Flow) *placement.Policy {
	if !e.cfg.Overload.BulkStaysNear && !e.table.CarriesBulk() {
		return &e.cfg.Policy.Place
	}
	switch e.table.Demand(f.Service).Kind {
	case route.Upload, route.Download:
		return &e.bulkPolicy
	}
	return &e.cfg.Policy.Place
}

func (c *chooser) addOtherServices(own route.ServiceID, to *candidates) (probe []uint32) {
	for _, near := range []bool{true, false} {
		for _, x := range c.e.table.Services(c.flow.Service) {
			if x.Service != own {
				probe = append(probe, c.addCandidates(x.Service, near, to)...)
			}
		}
	}
	return probe
}

// addCandidates adds the flow's preferred agents of a service that have a fresh report,
// either in the local data centre or in all others. If these are too few, it returns the
// ones to probe.
func (c *chooser) addCandidates(service route.ServiceID, near bool, to *candidates) (probe []uint32) {
	top := topAgents{flow: route.Hash(c.flow)}
	for _, g := range c.e.agents.index.byService[service] {
		if (g.zone == c.e.cfg.Zone) != near || !c.zoneAllowed(g.zone) {
			continue
		}
		for _, number := range g.members {
			if a := &c.e.agents.list[number]; c.mayReceive(number, a) {
				top.offer(number, a.hash)
			}
		}
	}
	known := 0
	for _, number := range top.list() {
		if c.e.agents.list[number].hasFreshReport(c.now) {
			known++
			to.add(number, c.e.targetOf(number, near))
		} else {
			probe = append(probe, number)
		}
	}
	if known >= minKnownCandidates || c.noWait {
		return nil
	}
	// One more than needed, so that a dead agent doesn't delay the flow.
	return probe[:min(len(probe), minKnownCandidates-known+1)]
}

// zoneAllowed tells whether targets of a data centre may take the flow: it isn't
// evacuated, and belongs to a home region of the flow's route.
func (c *chooser) zoneAllowed(zone string) bool {
	if c.e.evacuated[zone] {
		return false
	}
	homes := c.e.table.AllowedRegions(c.flow.Service)
	return homes == nil || slices.Contains(homes, c.e.cfg.Regions[zone])
}

// mayReceive tells whether an agent may receive the flow, by its last report and its
// reachability.
func (c *chooser) mayReceive(number uint32, a *agent) bool {
	switch {
	case slices.Contains(c.excluded, number), c.now < a.avoidUntil, a.report.Leaving, !a.mayHoldFlows(c.now), a.unresponsive(c.e.link.before(c.now)):
		return false
	case a.hasFreshReport(c.now):
		return a.report.AcceptsFlows
	}
	return true
}

// fallback picks the flow's preferred agent among those whose reports have expired. Where
// links or processors are so busy that no probe is answered in time, a target chosen by
// an old report serves callers better than a refusal.
func (c *chooser) fallback(service route.ServiceID) uint32 {
	for _, near := range []bool{true, false} {
		top := topAgents{flow: route.Hash(c.flow)}
		for _, g := range c.e.agents.index.byService[service] {
			if (g.zone == c.e.cfg.Zone) != near || !c.zoneAllowed(g.zone) {
				continue
			}
			for _, number := range g.members {
				a := &c.e.agents.list[number]
				if !slices.Contains(c.excluded, number) && c.now >= a.avoidUntil && a.usableAsFallback(c.now) {
					top.offer(number, a.hash)
				}
			}
		}
		if top.n > 0 {
			return top.numbers[0]
		}
	}
	return noAgent
}

// usableAsFallback tells whether an agent without a fresh report may receive new flows:
// its last report accepts them and is younger than fallbackReportAge.
func (a *agent) usableAsFallback(now time.Duration) bool {
	return a.report.AcceptsFlows && !a.report.Leaving && !a.hasFreshReport(now) && now-a.reportedAt < fallbackReportAge
}

func (e *Engine) targetOf(number uint32, near bool) placement.Target {
	a := &e.agents.list[number]
	t := placement.Target{
		Near: near, Slots: a.report.Slots, Running: float64(a.report.Running), Mean: float64(a.report.Load) / 100,
		Flows: a.report.Flows, Sent: a.flowsSent, Cold: a.report.ColdMS > 0, Unsteady: a.report.Unsteady,
	}
	if e.cfg.Overload.LearnedCapacity {
		t.Capacity = float64(a.report.Capacity) / 100
		t.Service, t.Route = time.Duration(a.report.ServiceMicros)*time.Microsecond, a.report.ServiceRoute
	}
	return t
}
