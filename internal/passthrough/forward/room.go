package forward

import (
	"math"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/patience"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// A first packet that an agent's queue has no turn for isn't reset while another target has
// a free slot. Any target of the route's services will do, not only the flow's preferred
// ones: a search that has to ask all agents for the flow later costs less than a caller
// refused beside free slots.

// hasGoal tells whether the goal of a service address's route is in force.
func (e *Engine) hasGoal(service packet.Endpoint) bool {
	return e.cfg.Overload.CallerGoals && e.table.Demand(service).Goal > 0
}

// overtaken tells whether an agent's refusal of a first packet as busy no longer matters: a
// copy of it waits for its own placement, or has gone to the agent since and may have been
// admitted there. If not, it is refused too.
func (e *Engine) overtaken(f packet.Flow, entry flowEntry, p packet.Packet) bool {
	return e.hasGoal(f.Service) && (e.placements.byFlow[f] != nil || copyNumber(p) < entry.copies)
}

// copyNumber is how many copies of a first packet its client sent before it.
func copyNumber(p packet.Packet) uint8 { return uint8(min(p.Ack, math.MaxUint8)) }

// retryBusy offers a first packet, which an agent has no turn for, to a target with room, or
// resets its flow if there is none.
func (e *Engine) retryBusy(now time.Duration, a arrival, f packet.Flow, entry flowEntry, agent uint32) {
	entry.exclude(agent)
	entry.attempts = max(entry.attempts, 1)
	to := choice{agent: noAgent}
	if entry.attempts < maxPlacementAttempts {
		c := chooser{e: e, now: now, flow: f, excluded: entry.excludedAgents()}
		to = c.withRoom(e.longestWait(now, a, f))
	}
	if to.agent == noAgent {
		e.rejectFlow(now, f, entry, peer.Busy)
		return
	}
	e.placeAt(now, f, &pendingPlacement{arrival: a, entry: entry, reason: peer.Busy, startedAt: now}, to)
}

// noteBusy records that an agent has no turn for a caller, until its next report.
func (e *Engine) noteBusy(agent uint32) {
	r := &e.agents.list[agent].report
	r.Running = max(r.Running, r.Slots)
}

// turnShare is the part of what is left until its goal that a caller may wait for a turn at
// another target; the handshake and the answer take the rest.
const turnShare = 0.25

// longestWait is how long a first packet may wait at another target and still make its goal;
// 0 if it was held for so long already that another agent would hand it back.
func (e *Engine) longestWait(now time.Duration, a arrival, f packet.Flow) time.Duration {
	d := e.table.Demand(f.Service)
	if now-a.arrivedAt >= patience.LongestHold(d.Timeout, true) {
		return 0
	}
	left := d.Goal - a.age(now)
	return time.Duration(turnShare * float64(max(0, left)))
}

// callerLimit is how long after its client's first attempt a first packet is of use.
func (e *Engine) callerLimit(f packet.Flow) time.Duration {
	if !e.hasGoal(f.Service) {
		return packet.HandshakeTimeout
	}
	return patience.Limit(e.table.Timeout(f.Service), true)
}

// callerLeft tells whether the caller of a held first packet no longer waits for an answer.
// A copy that is overdue doesn't tell: it may wait in a socket, or for a link.
func (e *Engine) callerLeft(now time.Duration, f packet.Flow, a arrival) bool {
	return e.hasGoal(f.Service) && a.p.Opens() && a.age(now) >= e.callerLimit(f)
}

// callerOf returns the caller of a held packet. Nothing is known of the targets yet, so that
// only the time that has passed tells what an answer is still good for.
func (e *Engine) callerOf(now time.Duration, a arrival) patience.Caller {
	d := e.table.Demand(a.p.Dst)
	c := patience.Caller{Priority: d.Priority, FirstSentAt: now - a.age(now), HeldSince: a.arrivedAt, Goal: d.Goal, Timeout: d.Timeout, Opening: a.p.Opens(), LastCopy: a.p.SinceFirst()}
	c.Classify(now, &patience.Outlook{})
	return c
}

// withRoom picks a target that has a free slot, or else one whose queue gives the caller a
// turn well in time: first among those of the service that the weights select, and there
// among those in the local data centre.
func (c *chooser) withRoom(longestWait time.Duration) choice {
	own, _ := c.e.table.Pick(c.flow)
	for _, wait := range []time.Duration{0, longestWait} {
		if to := c.withRoomOf(own, wait); to.agent != noAgent {
			return to
		}
		for _, x := range c.e.table.Services(c.flow.Service) {
			if x.Service == own {
				continue
			}
			if to := c.withRoomOf(x.Service, wait); to.agent != noAgent {
				return to
			}
		}
	}
	return choice{agent: noAgent}
}

// withRoomOf picks a target of one service, at random among those with a free slot, or with a
// queue of at most the given time if that is above 0.
func (c *chooser) withRoomOf(service route.ServiceID, longestWait time.Duration) choice {
	for _, near := range []bool{true, false} {
		picked, seen := noAgent, 0
		for _, g := range c.e.agents.index.byService[service] {
			if (g.zone == c.e.cfg.Zone) != near || !c.zoneAllowed(g.zone) {
				continue
			}
			for _, number := range g.members {
				a := &c.e.agents.list[number]
				if !a.hasRoom(c.now, longestWait) || !c.mayReceive(number, a) {
					continue
				}
				seen++
				if c.e.cfg.Rand.IntN(seen) == 0 {
					picked = number
				}
			}
		}
		if picked != noAgent {
			return choice{agent: picked, service: service}
		}
	}
	return choice{agent: noAgent}
}

// hasRoom tells whether a flow sent to the agent now gets a turn within the given time, by
// the agent's last report; with 0, whether it gets one at once.
func (a *agent) hasRoom(now, longestWait time.Duration) bool {
	if !a.hasFreshReport(now) {
		return false
	}
	if longestWait > 0 {
		return a.hasShortQueue(longestWait)
	}
	return a.hasFreeSlot()
}

// hasFreeSlot tells whether the target has a slot beyond the flows sent since the report.
func (a *agent) hasFreeSlot() bool {
	return a.report.WaitMS == 0 && a.report.Running+a.flowsSent < a.report.Slots
}

// hasShortQueue tells whether a flow waits at most the given time, as far as known: the flows
// sent since the report have made the queue longer by an unknown time.
func (a *agent) hasShortQueue(longestWait time.Duration) bool {
	wait := time.Duration(a.report.WaitMS) * time.Millisecond
	return wait > 0 && a.flowsSent == 0 && wait <= longestWait
}
