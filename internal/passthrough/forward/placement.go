package forward

import (
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// Target loads are requested when a flow is placed, and each report is reused for the flows
// that follow shortly. So the cost is at most a few probes for each new flow, and doesn't
// grow with the number of balancers times that of agents.

const (
	// reportFreshFor is the age up to which a report is used without a new probe. Flows
	// sent since the report are counted in addition.
	reportFreshFor = 100 * time.Millisecond
	// probeTimeout is how long a probe may take: several round trips between data centres
	// of one region, and the scheduling delay of a busy VM.
	probeTimeout = 40 * time.Millisecond
	// unresponsiveFor is how long an agent that failed to answer a probe gets no new
	// flows. A killed agent is back within seconds.
	unresponsiveFor = time.Second
	// placementTimeout is how long a first packet waits for all its probes. Its caller
	// retransmits after 200 ms.
	placementTimeout = 100 * time.Millisecond
	// maxPlacementTimeout is the same while the balancer's own link delays the answers.
	maxPlacementTimeout = 180 * time.Millisecond
	// fallbackReportAge is the age up to which a report may be used for placement while
	// no probe is answered.
	fallbackReportAge = 5 * time.Second
	// watchProbeInterval is the time between two probes that check for isolation;
	// isolationTimeout is how long the balancer may hear of no agent before it counts as
	// isolated.
	watchProbeInterval = 100 * time.Millisecond
	isolationTimeout   = 800 * time.Millisecond
	// maxPendingPlacements bounds the first packets that wait for probes, 100 B each;
	// beyond it they are placed by the loads known already.
	maxPendingPlacements = 4_096
)

// pendingPlacement is a first packet that waits for its candidates' loads.
type pendingPlacement struct {
	arrival
	entry     flowEntry
	reason    peer.Reason
	startedAt time.Duration
}

// pendingPlacements are the waiting first packets, in order of arrival.
type pendingPlacements struct {
	byFlow map[packet.Flow]*pendingPlacement
	order  []packet.Flow
	// byAgent holds the flows that wait for each agent's report.
	byAgent map[uint32][]packet.Flow
	// retransmits are retransmitted first packets whose agent is being probed.
	retransmits []arrival
}

func newPendingPlacements() pendingPlacements {
	return pendingPlacements{byFlow: map[packet.Flow]*pendingPlacement{}, byAgent: map[uint32][]packet.Flow{}}
}

// place offers a first packet to a target that hasn't handed it back.
func (e *Engine) place(now time.Duration, x arrival, f packet.Flow, entry flowEntry, reason peer.Reason) {
	if entry.attempts >= maxPlacementAttempts {
		e.rejectFlow(now, f, entry, reason)
		return
	}
	e.tryPlacement(now, f, &pendingPlacement{arrival: x, entry: entry, reason: reason, startedAt: now})
}

// tryPlacement places a first packet if enough loads are known.
func (e *Engine) tryPlacement(now time.Duration, f packet.Flow, p *pendingPlacement) {
	if len(e.table.Services(f.Service)) == 0 {
		delete(e.placements.byFlow, f)
		e.rejectNoRoute(p.p, f)
		return
	}
	noWait := now-p.startedAt >= min(e.link.extend(placementTimeout), maxPlacementTimeout) || len(e.placements.byFlow) >= maxPendingPlacements
	c := chooser{e: e, now: now, flow: f, excluded: p.entry.excludedAgents(), noWait: noWait}
	chosen := c.choose()
	if len(chosen.probe) > 0 {
		e.waitForReports(now, f, p, chosen.probe)
		return
	}
	delete(e.placements.byFlow, f)
	switch {
	case chosen.agent != noAgent:
		if chosen, ok := e.atDoor(now, f, p, chosen); ok {
			e.placeAt(now, f, p, chosen)
		}
	case p.entry.attempts == 0 && e.StartingUp(now):
		e.holdUntilReady(f, p.arrival, false)
	default:
		e.rejectFlow(now, f, p.entry, p.reason)
	}
}

// waitForReports holds a first packet until the given agents have reported.
func (e *Engine) waitForReports(now time.Duration, f packet.Flow, p *pendingPlacement, probe []uint32) {
	if e.placements.byFlow[f] == nil {
		p.raw = append([]byte(nil), p.raw...)
		e.placements.byFlow[f] = p
		e.placements.order = append(e.placements.order, f)
	}
	for _, number := range probe {
		e.placements.byAgent[number] = append(e.placements.byAgent[number], f)
		e.probe(now, number)
	}
}

// placeAt sends a first packet to the chosen agent.
func (e *Engine) placeAt(now time.Duration, f packet.Flow, p *pendingPlacement, chosen choice) {
	verdict := Placed
	if p.entry.attempts > 0 {
		verdict = Moved
	}
	p.entry.attempts++
	p.entry.agent = chosen.agent
	p.entry.service = chosen.service
	p.entry.lastPacketAt = now
	p.entry.copies = copyNumber(p.p)
	if len(e.flows) < maxFlows {
		e.flows[f] = p.entry
	}
	a := &e.agents.list[chosen.agent]
	a.flowsSent++
	e.deliverFirst(now, f, p.entry, p.arrival)
	picked, _ := e.table.Pick(f)
	e.logDecision(Decision{
		Flow: f, Verdict: verdict, Agent: a.address, Reason: p.reason, ReportAge: now - a.reportedAt, Waited: now - p.arrival.arrivedAt,
		Overflow: chosen.service != picked,
	})
}

// resumePlacements retries the placements that wait for an agent's report.
func (e *Engine) resumePlacements(now time.Duration, agent uint32) {
	flows := e.placements.byAgent[agent]
	if len(flows) == 0 {
		return
	}
	delete(e.placements.byAgent, agent)
	for _, f := range flows {
		if p := e.placements.byFlow[f]; p != nil {
			e.tryPlacement(now, f, p)
		}
	}
}

// tickPlacements retries placements whose probes weren't answered in time.
func (e *Engine) tickPlacements(now time.Duration) {
	if len(e.placements.order) > 0 {
		order := e.placements.order
		e.placements.order = nil
		clear(e.placements.byAgent)
		for _, f := range order {
			p := e.placements.byFlow[f]
			if p == nil {
				continue
			}
			e.placements.order = append(e.placements.order, f)
			e.tryPlacement(now, f, p)
		}
	}
	e.tickRetransmits(now)
}

// placementValid tells whether retransmits of a flow's first packet may go to its agent:
// the table still allows the service that the flow was placed for, and the agent isn't
// known to belong to another one.
func (e *Engine) placementValid(f packet.Flow, entry flowEntry) bool {
	at := e.agents.list[entry.agent].service()
	return (at == 0 || at == entry.service) && e.table.Allows(f.Service, entry.service)
}

// forwardRetransmit sends a retransmitted first packet to the agent of the first one and
// probes that agent; if it is unresponsive, the packet goes to another one.
func (e *Engine) forwardRetransmit(now time.Duration, a arrival, f packet.Flow, entry flowEntry) {
	entry.lastPacketAt = now
	entry.copies = max(entry.copies, copyNumber(a.p))
	e.flows[f] = entry
	e.deliverFirst(now, f, entry, a)
	if e.agents.list[entry.agent].hasFreshReport(now) || len(e.placements.retransmits) >= maxPendingPlacements {
		return
	}
	e.probe(now, entry.agent)
	a.raw = append([]byte(nil), a.raw...)
	e.placements.retransmits = append(e.placements.retransmits, a)
}

// tickRetransmits places retransmits anew whose agent left the probe unanswered.
func (e *Engine) tickRetransmits(now time.Duration) {
	retransmits := e.placements.retransmits
	e.placements.retransmits = nil
	for _, a := range retransmits {
		f := a.p.FromClient()
		entry, known := e.flows[f]
		switch {
		case !known || e.placements.byFlow[f] != nil:
		case e.agents.list[entry.agent].probeTimedOut(e.link.before(now)):
			entry.exclude(entry.agent)
			e.place(now, a, f, entry, peer.TargetSilent)
		case e.agents.list[entry.agent].probedAt > e.agents.list[entry.agent].lastSeenAt:
			e.placements.retransmits = append(e.placements.retransmits, a)
		}
	}
}
