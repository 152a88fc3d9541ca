package forward

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// maxWaitMS bounds the wait, in milliseconds, that is taken from a report: no caller waits
// longer.
const maxWaitMS = 60_000

// noAgent marks the absence of an agent number.
const noAgent = ^uint32(0)

// AgentInfo is an entry of the agent list that control distributes.
type AgentInfo struct {
	Address netip.AddrPort
	Zone    string
	// Service is the one that the agent's VM belongs to, 0 if unknown.
	Service route.ServiceID
	// Process is a random number drawn at each start of the agent.
	Process uint64
}

// agent is a balancer's state for one agent: its entry in control's list, and its
// target's load from the agent's own reports.
type agent struct {
	address netip.AddrPort
	// listed says that control lists the agent; delistedAt is when it was removed from
	// the list.
	listed     bool
	entry      AgentInfo
	delistedAt time.Duration
	report     peer.Report
	// reportedAt is the time of the last report, lastSeenAt of the last datagram,
	// probedAt of the last probe sent, askedAt of the last question.
	reportedAt time.Duration
	lastSeenAt time.Duration
	probedAt   time.Duration
	askedAt    time.Duration
	// flowsSent counts the flows sent since the last report.
	flowsSent  uint32
	avoidUntil time.Duration
	// hash is that of the address; group is the agent's group in the index, nil if it
	// isn't indexed.
	hash  uint64
	group *group
}

// service returns the target's service from the last report, or else from control's list.
func (a *agent) service() route.ServiceID {
	if a.report.Service != 0 {
		return route.ServiceID(a.report.Service)
	}
	return a.entry.Service
}

func (a *agent) zone() string {
	if a.reportedAt > 0 {
		return a.report.Zone
	}
	return a.entry.Zone
}

// mayHoldFlows tells whether the agent is asked for flows. A stopping agent is: its
// target runs on, unless it reports that there is none, and its next process takes the
// flows over.
func (a *agent) mayHoldFlows(now time.Duration) bool {
	if a.report.NoTarget && (a.report.Leaving || a.hasFreshReport(now)) {
		return false
	}
	return a.listed || max(a.reportedAt, a.delistedAt) > 0 && now-max(a.reportedAt, a.delistedAt) < delistedAgentTTL
}

// hasFreshReport tells whether the last report is recent enough to be used without a
// probe.
func (a *agent) hasFreshReport(now time.Duration) bool {
	return a.reportedAt > 0 && now-a.reportedAt < reportFreshFor
}

// probeTimedOut tells whether the last probe has gone unanswered for probeTimeout.
func (a *agent) probeTimedOut(now time.Duration) bool {
	return a.probedAt > a.lastSeenAt && now-a.probedAt >= probeTimeout
}

// unresponsive tells whether the agent failed to answer a probe sent less than
// unresponsiveFor ago.
func (a *agent) unresponsive(now time.Duration) bool {
	return a.probeTimedOut(now) && now-a.probedAt < unresponsiveFor
}

// agentTable numbers agents by address, so that an entry of the flow table is small. An
// address keeps its number for the life of the process.
type agentTable struct {
	list      []agent
	byAddress map[netip.AddrPort]uint32
	index     agentIndex
	// addedAt is when an agent was last added to the index, lastSeenAt when a datagram of
	// any agent last arrived, listed how many agents control lists.
	addedAt    time.Duration
	lastSeenAt time.Duration
	listed     int
	// lastWatched is the agent that probeNextAgent probed last; nextWatchAt is when it
	// probes the next one.
	lastWatched int
	nextWatchAt time.Duration
}

func newAgentTable() agentTable {
	return agentTable{byAddress: map[netip.AddrPort]uint32{}, index: newAgentIndex()}
}

func (a *agentTable) number(address netip.AddrPort) uint32 {
	if n, ok := a.byAddress[address]; ok {
		return n
	}
	n := uint32(len(a.list))
	a.list = append(a.list, agent{address: address, hash: addressHash(address)})
	a.byAddress[address] = n
	return n
}

// updateGroup moves an agent to the group of its service and data centre.
func (a *agentTable) updateGroup(now time.Duration, number uint32) {
	x := &a.list[number]
	key := groupKey{x.service(), x.zone()}
	if x.group != nil && x.group.service == key.service && x.group.zone == key.zone {
		return
	}
	if x.group == nil {
		a.addedAt = now
	}
	a.unindex(number)
	x.group = a.index.add(key, number)
}

// unindex removes an agent from the index.
func (a *agentTable) unindex(number uint32) {
	x := &a.list[number]
	if x.group == nil {
		return
	}
	a.index.remove(x.group, number)
	x.group = nil
}

// markSeen records that a datagram arrived from an agent, and returns its number.
func (a *agentTable) markSeen(now time.Duration, from netip.AddrPort) uint32 {
	number := a.number(from)
	a.list[number].lastSeenAt = now
	a.lastSeenAt = now
	return number
}

// ListAgent adds an agent that control lists, or updates its entry.
func (e *Engine) ListAgent(now time.Duration, x AgentInfo) {
	number := e.agents.number(x.Address)
	a := &e.agents.list[number]
	if !a.listed {
		e.agents.listed++
	}
	if a.report.Process != x.Process {
		// The report of an earlier process may be of another service's target.
		a.report = peer.Report{}
		a.reportedAt = 0
	}
	a.listed = true
	a.entry = x
	e.agents.updateGroup(now, number)
}

// DelistAgent records that control no longer lists an agent. It is asked for flows for
// delistedAgentTTL, since it may be cut off from control only.
func (e *Engine) DelistAgent(now time.Duration, at netip.AddrPort) {
	a := &e.agents.list[e.agents.number(at)]
	if !a.listed {
		return
	}
	a.listed = false
	a.delistedAt = now
	e.agents.listed--
}

// RetireAgent records that an agent is gone together with its target. It isn't asked any more,
// since no flow can be open there.
func (e *Engine) RetireAgent(at netip.AddrPort) {
	a := &e.agents.list[e.agents.number(at)]
	if a.listed {
		e.agents.listed--
	}
	a.listed = false
	a.delistedAt, a.reportedAt = 0, 0
	a.report = peer.Report{}
}

// HandleReport handles an agent's report. Reports of one process that arrive out of order are
// ignored; the first report of a new process at the address replaces the old state.
func (e *Engine) HandleReport(now time.Duration, from netip.AddrPort, r peer.Report) {
	number := e.markSeen(now, from)
	a := &e.agents.list[number]
	if a.report.Process == r.Process && a.report.Sequence >= r.Sequence {
		return
	}
	hadRoom := a.hasRoom(now, 0)
	r.WaitMS = min(r.WaitMS, maxWaitMS)
	a.report = r
	a.reportedAt = now
	a.flowsSent = 0
	e.agents.updateGroup(now, number)
	if !hadRoom && a.hasRoom(now, 0) {
		e.forgetViews(a.service()) // nothing may be refused beside a target with room
	}
	e.resumePlacements(now, number)
}

// sweepAgents removes agents from the index that are no longer asked.
func (e *Engine) sweepAgents(now time.Duration) {
	for i := range e.agents.list {
		if !e.agents.list[i].mayHoldFlows(now) {
			e.agents.unindex(uint32(i))
		}
	}
}

// AgentCount returns the number of agents that flows are placed at or asked for.
func (e *Engine) AgentCount() int {
	n := 0
	for _, g := range e.agents.index.groups {
		n += len(g.members)
	}
	return n
}

// Isolated tells whether the balancer receives nothing from any listed agent, as in a
// network partition. It can't place flows then, so the fabric should send packets to
// other balancers.
func (e *Engine) Isolated(now time.Duration) bool {
	return e.agents.listed > 0 && (e.agents.lastSeenAt == 0 || now-e.agents.lastSeenAt > isolationTimeout)
}

// probeNextAgent probes the agents in turn, so that a balancer without new flows detects
// isolation too.
func (e *Engine) probeNextAgent(now time.Duration) {
	if now < e.agents.nextWatchAt || len(e.agents.list) == 0 {
		return
	}
	e.agents.nextWatchAt = now + watchProbeInterval
	for range e.agents.list {
		e.agents.lastWatched = (e.agents.lastWatched + 1) % len(e.agents.list)
		if e.agents.list[e.agents.lastWatched].mayHoldFlows(now) {
			e.probe(now, uint32(e.agents.lastWatched))
			return
		}
	}
}

// probe asks an agent for a report, and returns false if a probe is already outstanding.
func (e *Engine) probe(now time.Duration, number uint32) bool {
	a := &e.agents.list[number]
	if a.probedAt > a.lastSeenAt && now-a.probedAt < e.link.extend(probeTimeout) {
		return false
	}
	a.probedAt = now
	e.link.asked(now)
	e.cfg.Out.Probe(a.address)
	return true
}
