package forward

import (
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/placement"
	"bergamotstall/internal/passthrough/route"
)

// candidates are the agents that a flow may be placed at, and their targets.
type candidates struct {
	numbers [maxCandidates]uint32
	targets [maxCandidates]placement.Target
	n       int
}

// maxCandidates bounds the targets looked at for one new flow: those that it prefers
// near and far, of up to eight services.
const maxCandidates = 2 * preferred * 8

func (c *candidates) add(number uint32, t placement.Target) {
	if c.n == maxCandidates {
		return
	}
	c.numbers[c.n] = number
	c.targets[c.n] = t
	c.n++
}

// list is what there is to choose from.
func (c *candidates) list() []placement.Target { return c.targets[:c.n] }

// keepRelieving leaves the targets that take flows of a service with the given targets,
// all of them saturated.
func (c *candidates) keepRelieving(p *placement.Policy, own []placement.Target) {
	n := c.n
	c.n = 0
	for i := range n {
		if p.Relieves(&c.targets[i], own) {
			c.add(c.numbers[i], c.targets[i])
		}
	}
}

func (e *Engine) pick(c *candidates) (uint32, bool) {
	at, ok := e.cfg.Policy.Place.Pick(e.cfg.Rand, c.list())
	if !ok {
		return noAgent, false
	}
	return c.numbers[at], true
}

// enough is how many candidates of one kind must have said how busy they are: one is
// drawn against another.
const enough = 2

// choice is the outcome of choosing an agent for a new flow.
type choice struct {
	// agent is the one chosen, noAgent if none.
	agent uint32
	// probe are the agents whose load must be known first.
	probe []uint32
}

// chooser looks for the agent of one flow.
type chooser struct {
	e        *Engine
	now      time.Duration
	flow     packet.Flow
	excluded []uint32
	// hasty says that the caller has waited long enough: what isn't known by now is
	// left out.
	hasty bool
}

// choose picks an agent for a new flow: of the service that the weights say, in this
// data centre if one has room; else in another data centre, or of another service of
// the route that is idle. Each step asks for loads only if the one before isn't
// enough, so that a quiet fleet costs two or three probes a flow.
func (c *chooser) choose() choice {
	service, _ := c.e.table.Pick(c.flow)
	var own, other candidates
	if probe := c.gather(service, true, &own); len(probe) > 0 {
		return choice{agent: noAgent, probe: probe}
	}
	policy := &c.e.cfg.Policy.Place
	if own.n == 0 || !policy.HasSlot(own.list()) {
		if probe := c.gather(service, false, &own); len(probe) > 0 {
			return choice{agent: noAgent, probe: probe}
		}
	}
	if policy.Overflow(own.list()) {
		if probe := c.gatherOthers(service, &other); len(probe) > 0 {
			return choice{agent: noAgent, probe: probe}
		}
		other.keepRelieving(policy, own.list())
		if agent, ok := c.e.pick(&other); ok {
			return choice{agent: agent}
		}
	}
	if agent, ok := c.e.pick(&own); ok {
		return choice{agent: agent}
	}
	return choice{agent: c.unheard(service)}
}

func (c *chooser) gatherOthers(own route.ServiceID, to *candidates) (probe []uint32) {
	for _, near := range []bool{true, false} {
		for _, x := range c.e.table.Services(c.flow.Service) {
			if x.Service != own {
				probe = append(probe, c.gather(x.Service, near, to)...)
			}
		}
	}
	return probe
}

// gather adds the flow's preferred agents of a service, in this data centre or in all
// others, whose load is known. If these are too few it returns the ones to probe.
func (c *chooser) gather(service route.ServiceID, near bool, to *candidates) (probe []uint32) {
	b := topAgents{flow: route.Hash(c.flow)}
	for _, g := range c.e.agents.index.byService[service] {
		if (g.zone == c.e.cfg.Zone) != near || !c.admits(g.zone) {
			continue
		}
		for _, number := range g.members {
			if a := &c.e.agents.list[number]; c.mayTake(number, a) {
				b.offer(number, a.hash)
			}
		}
	}
	known := 0
	for _, number := range b.list() {
		if c.e.agents.list[number].fresh(c.now) {
			known++
			to.add(number, c.e.targetOf(number, near))
		} else {
			probe = append(probe, number)
		}
	}
	if known >= enough || c.hasty {
		return nil
	}
	// One more than needed, so that a dead one costs no time.
	return probe[:min(len(probe), enough-known+1)]
}

// admits tells whether targets of a data centre may take the flow: it isn't evacuated,
// and in a home of the flow's route.
func (c *chooser) admits(zone string) bool {
	if c.e.evacuated[zone] {
		return false
	}
	homes := c.e.table.Homes(c.flow.Service)
	return homes == nil || slices.Contains(homes, c.e.cfg.Regions[zone])
}

// mayTake tells whether an agent may take the flow, as far as is known.
func (c *chooser) mayTake(number uint32, a *agent) bool {
	switch {
	case slices.Contains(c.excluded, number), c.now < a.avoidUntil, a.report.Leaving, !a.asked(c.now), a.silent(c.now):
		return false
	case a.fresh(c.now):
		return a.report.Open
	}
	return true
}

// unheard picks the agent that the flow prefers among those of which nothing was heard
// in time. Where links or processors are so busy that no answer comes in time, callers
// are better served by a guess than refused.
func (c *chooser) unheard(service route.ServiceID) uint32 {
	for _, near := range []bool{true, false} {
		b := topAgents{flow: route.Hash(c.flow)}
		for _, g := range c.e.agents.index.byService[service] {
			if (g.zone == c.e.cfg.Zone) != near || !c.admits(g.zone) {
				continue
			}
			for _, number := range g.members {
				a := &c.e.agents.list[number]
				if !slices.Contains(c.excluded, number) && c.now >= a.avoidUntil && a.guessed(c.now) {
					b.offer(number, a.hash)
				}
			}
		}
		if b.n > 0 {
			return b.numbers[0]
		}
	}
	return noAgent
}

// guessed tells whether an agent of which nothing was heard in time may be sent a new
// flow all the same: by its last word it takes them, and that isn't long ago.
func (a *agent) guessed(now time.Duration) bool {
	return a.report.Open && !a.report.Leaving && !a.fresh(now) && now-a.heardAt < guessFor
}

func (e *Engine) targetOf(number uint32, near bool) placement.Target {
	a := &e.agents.list[number]
	return placement.Target{
		Near: near, Slots: a.report.Slots, Running: float64(a.report.Running), Mean: float64(a.report.Load) / 100,
		Flows: a.report.Flows, Sent: a.sent, Cold: a.report.ColdMS > 0, Unsteady: a.report.Unsteady,
	}
}
