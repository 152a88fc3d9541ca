package forward

import (
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// How busy a target is is asked for when a flow is to be placed, and the answer serves
// the flows that come shortly after. So the cost grows with new flows, at most a few
// probes each, and not with the number of balancers times that of agents.

const (
	// loadFresh is the age up to which a report is as good as a new one. Flows sent
	// since are counted.
	loadFresh = 100 * time.Millisecond
	// loadPatience is how long a probe may take: several round trips between data
	// centres of one region, and a busy VM's turn at the processor.
	loadPatience = 40 * time.Millisecond
	// silentFor is how long an agent that left a probe unanswered gets no flows. A
	// killed one is back within seconds.
	silentFor = time.Second
	// placePatience is how long a first packet waits for probes in all. Its caller
	// sends a copy after 200 ms.
	placePatience = 100 * time.Millisecond
	// guessFor is the age of a report up to which its target may be guessed to take
	// flows while no probe is answered.
	guessFor = 5 * time.Second
	// watchInterval is the time between two probes of any agent, to see whether the
	// balancer is cut off; isolatedAfter is when it is taken to be.
	watchInterval = 100 * time.Millisecond
	isolatedAfter = 800 * time.Millisecond
	// maxPlacing bounds the first packets that wait for probes, 100 B each; past it
	// they are placed by what is known.
	maxPlacing = 4_096
)

// pendingPlacement is a first packet that waits for its candidates' loads.
type pendingPlacement struct {
	arrival
	at    holder
	why   peer.Reason
	since time.Duration
}

// placements are the first packets that wait, in the order in which they came.
type placements struct {
	byFlow map[packet.Flow]*pendingPlacement
	order  []packet.Flow
	// waiting are the flows that wait for an agent's report.
	waiting map[uint32][]packet.Flow
	// copies are copies of first packets whose agent is being probed.
	copies []arrival
}

func newPlacements() placements {
	return placements{byFlow: map[packet.Flow]*pendingPlacement{}, waiting: map[uint32][]packet.Flow{}}
}

// place offers a first packet to a target that hasn't handed it back.
func (e *Engine) place(now time.Duration, x arrival, f packet.Flow, at holder, why peer.Reason) {
	if at.tries >= maxTries {
		e.refuseCaller(f, at, why)
		return
	}
	e.tryPlacement(now, f, &pendingPlacement{arrival: x, at: at, why: why, since: now})
}

// tryPlacement places a first packet if enough is known.
func (e *Engine) tryPlacement(now time.Duration, f packet.Flow, p *pendingPlacement) {
	hasty := now-p.since >= placePatience || len(e.placements.byFlow) >= maxPlacing
	c := chooser{e: e, now: now, flow: f, excluded: p.at.excluded(), hasty: hasty}
	chosen := c.choose()
	if len(chosen.probe) > 0 {
		e.await(now, f, p, chosen.probe)
		return
	}
	delete(e.placements.byFlow, f)
	switch {
	case chosen.agent != noAgent:
		e.placeAt(now, f, p, chosen.agent)
	case p.at.tries == 0 && e.young(now):
		e.keepEarly(f, p.arrival, false)
	default:
		e.refuseCaller(f, p.at, p.why)
	}
}

// await has a first packet wait for reports.
func (e *Engine) await(now time.Duration, f packet.Flow, p *pendingPlacement, probe []uint32) {
	if e.placements.byFlow[f] == nil {
		p.raw = append([]byte(nil), p.raw...)
		e.placements.byFlow[f] = p
		e.placements.order = append(e.placements.order, f)
	}
	for _, number := range probe {
		e.placements.waiting[number] = append(e.placements.waiting[number], f)
		e.probe(now, number)
	}
}

// placeAt sends a first packet to the agent chosen.
func (e *Engine) placeAt(now time.Duration, f packet.Flow, p *pendingPlacement, agent uint32) {
	verdict := Placed
	if p.at.tries > 0 {
		verdict = Moved
	}
	p.at.tries++
	p.at.agent = agent
	p.at.seenAt = now
	if len(e.flows) < maxFlows {
		e.flows[f] = p.at
	}
	a := &e.agents.list[agent]
	a.sent++
	e.deliverAged(agent, now-p.arrival.at, p.raw)
	picked, _ := e.table.Pick(f)
	e.note(Decision{
		Flow: f, Verdict: verdict, Agent: a.address, Reason: p.why, ReportAge: now - a.heardAt, Waited: now - p.arrival.at,
		Overflow: a.service() != picked,
	})
}

// resumeAfter goes on with the first packets that wait for an agent's report.
func (e *Engine) resumeAfter(now time.Duration, agent uint32) {
	flows := e.placements.waiting[agent]
	if len(flows) == 0 {
		return
	}
	delete(e.placements.waiting, agent)
	for _, f := range flows {
		if p := e.placements.byFlow[f]; p != nil {
			e.tryPlacement(now, f, p)
		}
	}
}

// tickPlacements goes on with first packets whose probes weren't answered in time.
func (e *Engine) tickPlacements(now time.Duration) {
	if len(e.placements.order) > 0 {
		order := e.placements.order
		e.placements.order = nil
		clear(e.placements.waiting)
		for _, f := range order {
			p := e.placements.byFlow[f]
			if p == nil {
				continue
			}
			e.placements.order = append(e.placements.order, f)
			e.tryPlacement(now, f, p)
		}
	}
	e.tickCopies(now)
}

// followFirst sends a copy of a first packet after the first one, and has its agent
// probed: if that one is silent, the copy goes elsewhere.
func (e *Engine) followFirst(now time.Duration, a arrival, f packet.Flow, at holder) {
	at.seenAt = now
	e.flows[f] = at
	e.deliverAged(at.agent, now-a.at, a.raw)
	if e.agents.list[at.agent].fresh(now) || len(e.placements.copies) >= maxPlacing {
		return
	}
	e.probe(now, at.agent)
	a.raw = append([]byte(nil), a.raw...)
	e.placements.copies = append(e.placements.copies, a)
}

// tickCopies moves copies whose agent left the probe unanswered.
func (e *Engine) tickCopies(now time.Duration) {
	copies := e.placements.copies
	e.placements.copies = nil
	for _, a := range copies {
		f := a.p.FromClient()
		at, known := e.flows[f]
		switch {
		case !known || e.placements.byFlow[f] != nil:
		case e.agents.list[at.agent].unanswered(now):
			at.exclude(at.agent)
			e.place(now, a, f, at, peer.Silent)
		case e.agents.list[at.agent].probedAt > e.agents.list[at.agent].aliveAt:
			e.placements.copies = append(e.placements.copies, a)
		}
	}
}
