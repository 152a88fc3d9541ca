package forward

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// noAgent is the number of no agent.
const noAgent = ^uint32(0)

// Listed is an agent that control tells of.
type Listed struct {
	Address netip.AddrPort
	Zone    string
	// Service is the one that the agent's VM belongs to, 0 if any.
	Service route.ServiceID
	// Process is random for each start of the agent.
	Process uint64
}

// agent is what a balancer knows of one agent: that it exists, by control's list,
// and how its target fares, by the agent's own reports.
type agent struct {
	address netip.AddrPort
	// listed says that control lists the agent; goneAt is since when not.
	listed bool
	entry  Listed
	goneAt time.Duration
	report peer.Report
	// heardAt is the time of the report, aliveAt of the last datagram, probedAt of
	// the last probe sent, askedAt of the last question.
	heardAt  time.Duration
	aliveAt  time.Duration
	probedAt time.Duration
	askedAt  time.Duration
	// sent counts the flows sent since the last report.
	sent       uint32
	avoidUntil time.Duration
	// hash is that of the address; group is where the index holds the agent, nil
	// once it was forgotten.
	hash  uint64
	group *group
}

// service is the target's by the last report, or else by control's list.
func (a *agent) service() route.ServiceID {
	if a.report.Service != 0 {
		return route.ServiceID(a.report.Service)
	}
	return a.entry.Service
}

func (a *agent) zone() string {
	if a.heardAt > 0 {
		return a.report.Zone
	}
	return a.entry.Zone
}

// asked tells whether the agent may hold flows. One that stops may: its target
// lives, unless it says that there is none, and its next process goes on with the
// flows.
func (a *agent) asked(now time.Duration) bool {
	if a.report.Empty && (a.report.Leaving || a.fresh(now)) {
		return false
	}
	return a.listed || max(a.heardAt, a.goneAt) > 0 && now-max(a.heardAt, a.goneAt) < agentForgotten
}

// fresh tells whether the last report is as good as one asked for now.
func (a *agent) fresh(now time.Duration) bool {
	return a.heardAt > 0 && now-a.heardAt < loadFresh
}

// unanswered tells whether the last probe should have been answered by now.
func (a *agent) unanswered(now time.Duration) bool {
	return a.probedAt > a.aliveAt && now-a.probedAt >= loadPatience
}

// silent tells whether the agent left a probe unanswered a moment ago.
func (a *agent) silent(now time.Duration) bool {
	return a.unanswered(now) && now-a.probedAt < silentFor
}

// agents numbers addresses, so that an entry of the flow table is small. An
// address keeps its number for the life of the process.
type agents struct {
	list      []agent
	byAddress map[netip.AddrPort]uint32
	index     index
	// addedAt is when an agent was last added to the index, aliveAt when any was
	// last heard, listed how many control lists.
	addedAt time.Duration
	aliveAt time.Duration
	listed  int
	// watched is the agent that was probed last to see whether any can be reached.
	watched int
	watchAt time.Duration
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
func (a *agents) regroup(now time.Duration, number uint32) {
	x := &a.list[number]
	key := groupKey{x.service(), x.zone()}
	if x.group != nil && x.group.service == key.service && x.group.zone == key.zone {
		return
	}
	if x.group == nil {
		a.addedAt = now
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

// alive takes note that an agent has sent something.
func (a *agents) alive(now time.Duration, from netip.AddrPort) uint32 {
	number := a.number(from)
	a.list[number].aliveAt = now
	a.aliveAt = now
	return number
}

// List takes control's word that an agent exists.
func (e *Engine) List(now time.Duration, x Listed) {
	number := e.agents.number(x.Address)
	a := &e.agents.list[number]
	if !a.listed {
		e.agents.listed++
	}
	if a.report.Process != x.Process {
		// Another process, maybe beside another service's target.
		a.report = peer.Report{}
		a.heardAt = 0
	}
	a.listed = true
	a.entry = x
	e.agents.regroup(now, number)
}

// Delist takes control's word that an agent is gone. It is asked for flows some time
// longer, since it may be cut off from control only.
func (e *Engine) Delist(now time.Duration, at netip.AddrPort) {
	a := &e.agents.list[e.agents.number(at)]
	if !a.listed {
		return
	}
	a.listed = false
	a.goneAt = now
	e.agents.listed--
}

// Retire takes control's word that an agent is gone with its target. It isn't asked any
// more: no flow can be open there.
func (e *Engine) Retire(at netip.AddrPort) {
	a := &e.agents.list[e.agents.number(at)]
	if a.listed {
		e.agents.listed--
	}
	a.listed = false
	a.goneAt, a.heardAt = 0, 0
	a.report = peer.Report{}
}

// Reported takes an agent's report. Those of one process that come late are
// ignored; a new process of the same address starts anew.
func (e *Engine) Reported(now time.Duration, from netip.AddrPort, r peer.Report) {
	number := e.agents.alive(now, from)
	a := &e.agents.list[number]
	if a.report.Process == r.Process && a.report.Number >= r.Number {
		return
	}
	a.report = r
	a.heardAt = now
	a.sent = 0
	e.agents.regroup(now, number)
	e.resumeAfter(now, number)
}

// sweepAgents takes agents out of the index that are no longer asked.
func (e *Engine) sweepAgents(now time.Duration) {
	for i := range e.agents.list {
		if !e.agents.list[i].asked(now) {
			e.agents.forget(uint32(i))
		}
	}
}

// Known counts the agents that flows are placed at or asked for.
func (e *Engine) Known() int {
	n := 0
	for _, g := range e.agents.index.groups {
		n += len(g.members)
	}
	return n
}

// Isolated tells whether the balancer hears none of the agents that there are, as
// when it is cut off from them. It can place nothing then, and the fabric does
// better without it.
func (e *Engine) Isolated(now time.Duration) bool {
	return e.agents.listed > 0 && (e.agents.aliveAt == 0 || now-e.agents.aliveAt > isolatedAfter)
}

// watch probes one agent after the other, so that a balancer without new flows knows
// whether it can be reached.
func (e *Engine) watch(now time.Duration) {
	if now < e.agents.watchAt || len(e.agents.list) == 0 {
		return
	}
	e.agents.watchAt = now + watchInterval
	for range e.agents.list {
		e.agents.watched = (e.agents.watched + 1) % len(e.agents.list)
		if e.agents.list[e.agents.watched].asked(now) {
			e.probe(now, uint32(e.agents.watched))
			return
		}
	}
}

// probe asks an agent for a report, unless an answer is under way.
func (e *Engine) probe(now time.Duration, number uint32) {
	a := &e.agents.list[number]
	if a.probedAt > a.aliveAt && now-a.probedAt < loadPatience {
		return
	}
	a.probedAt = now
	e.cfg.Out.Probe(a.address)
}
