package forward

import (
	"net/netip"
	"slices"
	"time"

	"bergamotstall/internal/pass/packet"
	"bergamotstall/internal/pass/peer"
	"bergamotstall/internal/pass/place"
	"bergamotstall/internal/pass/route"
)

// noAgent is the number of no agent.
const noAgent = ^uint32(0)

// agent is what a balancer knows of one agent, all by the agent's own reports.
type agent struct {
	address netip.AddrPort
	report  peer.Report
	heardAt time.Duration
	// sent counts the flows sent since the last report.
	sent       uint32
	avoidUntil time.Duration
	// hash is that of the address; group is where the index holds the agent, nil
	// once it was forgotten.
	hash  uint64
	group *group
}

func (a *agent) service() route.ServiceID { return route.ServiceID(a.report.Service) }

// asked tells whether the agent may hold flows. One that stops may: its target
// lives, unless it says that there is none, and its next process goes on with the
// flows.
func (a *agent) asked(now time.Duration) bool {
	return a.heardAt > 0 && !a.report.Empty && now-a.heardAt < agentForgotten
}

// agents numbers addresses, so that an entry of the flow table is small. An
// address keeps its number for the life of the process.
type agents struct {
	list      []agent
	byAddress map[netip.AddrPort]uint32
	index     index
}

func newAgents() agents {
	return agents{byAddress: map[netip.AddrPort]uint32{}, index: newIndex()}
}

func (a *agents) number(address netip.AddrPort) uint32 {
	if n, ok := a.byAddress[address]; ok {
		return n
	}
	n := uint32(len(a.list))
	a.list = append(a.list, agent{address: address, hash: hashOf(address)})
	a.byAddress[address] = n
	return n
}

// regroup puts an agent where its service and data centre say.
func (a *agents) regroup(number uint32) {
	x := &a.list[number]
	key := groupKey{x.service(), x.report.Zone}
	if x.group != nil && x.group.service == key.service && x.group.zone == key.zone {
		return
	}
	a.forget(number)
	x.group = a.index.add(key, number)
}

// forget takes an agent out of the index.
func (a *agents) forget(number uint32) {
	x := &a.list[number]
	if x.group == nil {
		return
	}
	a.index.remove(x.group, number)
	x.group = nil
}

// Reported takes an agent's report. Those of one process that come late are
// ignored; a new process of the same address starts anew.
func (e *Engine) Reported(now time.Duration, from netip.AddrPort, r peer.Report) {
	number := e.agents.number(from)
	a := &e.agents.list[number]
	if a.report.Process == r.Process && a.report.Number >= r.Number {
		return
	}
	a.report = r
	a.heardAt = now
	a.sent = 0
	e.agents.regroup(number)
}

// sweepAgents takes agents out of the index that were silent for so long that they
// are no longer asked.
func (e *Engine) sweepAgents(now time.Duration) {
	for i := range e.agents.list {
		if now-e.agents.list[i].heardAt >= agentForgotten {
			e.agents.forget(uint32(i))
		}
	}
}

// Heard counts the agents with a fresh report.
func (e *Engine) Heard(now time.Duration) int {
	n := 0
	for i := range e.agents.list {
		if a := &e.agents.list[i]; a.heardAt > 0 && now-a.heardAt < reportStale {
			n++
		}
	}
	return n
}

// Isolated tells whether the balancer hears none of the agents that there are, as
// when it is cut off from them. It can place nothing then, and the fabric does
// better without it.
func (e *Engine) Isolated(now time.Duration) bool { return e.listed > 0 && e.Heard(now) == 0 }

// candidates are the agents of a service that take new flows, and their targets.
type candidates struct {
	numbers [maxCandidates]uint32
	targets [maxCandidates]place.Target
	n       int
}

func (c *candidates) add(number uint32, t place.Target) {
	if c.n == maxCandidates {
		return
	}
	c.numbers[c.n] = number
	c.targets[c.n] = t
	c.n++
}

// list is what there is to choose from.
func (c *candidates) list() []place.Target { return c.targets[:c.n] }

// choose picks an agent for a new flow: of the service that the weights say, or of
// another one of the route where that one has no target, or none with a free slot.
func (e *Engine) choose(now time.Duration, f packet.Flow, tried []uint32) (uint32, bool) {
	service, _ := e.table.Pick(f)
	var own candidates
	e.gather(now, f, service, tried, &own)
	if e.cfg.Policy.Place.Overflow(own.list()) {
		if agent, ok := e.overflow(now, f, service, tried, own.n == 0); ok {
			return agent, true
		}
	}
	return e.pick(&own)
}

// overflow picks an agent of the route's other services: an idle one, or any where
// the own service has none.
func (e *Engine) overflow(now time.Duration, f packet.Flow, own route.ServiceID, tried []uint32, anyLoad bool) (uint32, bool) {
	var other candidates
	for _, c := range e.table.Services(f.Service) {
		if c.Service != own {
			e.gather(now, f, c.Service, tried, &other)
		}
	}
	if !anyLoad {
		other.keepIdle(&e.cfg.Policy.Place)
	}
	return e.pick(&other)
}

// keepIdle leaves the targets that have room for another service's flows.
func (c *candidates) keepIdle(p *place.Policy) {
	n := c.n
	c.n = 0
	for i := range n {
		if p.HasRoom(&c.targets[i]) {
			c.add(c.numbers[i], c.targets[i])
		}
	}
}

func (e *Engine) pick(c *candidates) (uint32, bool) {
	at, ok := e.cfg.Policy.Place.Pick(e.cfg.Rand, c.list())
	if !ok {
		return 0, false
	}
	return c.numbers[at], true
}

// gather adds the agents of a service that the flow prefers among those that take
// new flows, in this data centre and in all others.
func (e *Engine) gather(now time.Duration, f packet.Flow, service route.ServiceID, tried []uint32, to *candidates) {
	hash := route.Hash(f)
	near, far := best{flow: hash}, best{flow: hash}
	for _, g := range e.agents.index.byService[service] {
		from := &far
		if g.zone == e.cfg.Zone {
			from = &near
		}
		for _, number := range g.members {
			if a := &e.agents.list[number]; e.takes(now, a) && !slices.Contains(tried, number) {
				from.offer(number, a.hash)
			}
		}
	}
	for _, number := range near.list() {
		to.add(number, e.targetOf(number, true))
	}
	for _, number := range far.list() {
		to.add(number, e.targetOf(number, false))
	}
}

func (e *Engine) targetOf(number uint32, near bool) place.Target {
	a := &e.agents.list[number]
	return place.Target{
		Near: near, Slots: a.report.Slots, Running: float64(a.report.Running), Mean: float64(a.report.Load) / 100,
		Flows: a.report.Flows, Sent: a.sent, Cold: a.report.ColdMS > 0, Unsteady: a.report.Unsteady,
	}
}

// maxCandidates bounds the targets looked at for one new flow: those that it prefers
// near and far, of up to eight services.
const maxCandidates = 2 * preferred * 8

// takes tells whether an agent may be sent a new flow.
func (e *Engine) takes(now time.Duration, a *agent) bool {
	return a.report.Open && !a.report.Leaving && now-a.heardAt < reportStale && now >= a.avoidUntil
}
