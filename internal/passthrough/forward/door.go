package forward

import (
	"slices"
	"time"

	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/route"
)

// The door: what a balancer does with a first packet while callers wait at the target that
// was chosen for it. It looks at all targets that the flow could reach, not only the preferred
// ones: if one has room, the flow goes there; if callers wait at all of them, the packet may be
// refused at once (package fairshare). Where a target's state isn't known, nothing is refused.

const (
	// shortageKnownFor is how long a report counts that says that callers wait. Agents tell
	// when that is over; the bound is for reports that are lost.
	shortageKnownFor = 200 * time.Millisecond
	// surroundingsFor is how long the view of a route's targets is used: there are more first
	// packets than reports while callers wait.
	surroundingsFor = 5 * time.Millisecond
	// maxSurroundings bounds the routes whose view is kept.
	maxSurroundings = 1_024
	// enoughKnown is how many targets whose state is known stand for those whose state isn't:
	// a large fleet can't be asked as often as reports expire.
	enoughKnown = 16
	// maxDoorProbes bounds the probes that the door sends in each doorProbeInterval.
	maxDoorProbes     = 3
	doorProbeInterval = 5 * time.Millisecond
)

// surroundings is what a balancer knows of the targets that a route's flows could reach.
type surroundings struct {
	at time.Duration
	// unknown is set if of too many of them it isn't known whether callers wait.
	unknown bool
	// room is set if one of them has a free slot.
	room bool
	// wait is the mean time that a first packet would wait at the others.
	wait time.Duration
}

// viewKey says whose view it is: that of a route's callers of one urgency.
type viewKey struct {
	route   packet.Endpoint
	urgency fairshare.Urgency
}

// doorState is the state of the door.
type doorState struct {
	usage *fairshare.Usage
	views map[viewKey]*surroundings
	// unknown are the targets that the last survey knew nothing of. probeFrom is where among
	// them the next probes begin, probesAt when these may be sent.
	unknown   []uint32
	probeFrom int
	probesAt  time.Duration
}

func newDoorState() doorState {
	return doorState{usage: fairshare.NewUsage(), views: map[viewKey]*surroundings{}}
}

func (e *Engine) clientOf(f packet.Flow) fairshare.Client {
	return fairshare.Client{IP: f.Client.IP, Priority: e.table.Priority(f.Service)}
}

// countOpened counts a flow that was placed here and has opened.
func (e *Engine) countOpened(now time.Duration, f packet.Flow, entry *flowEntry, p packet.Packet) {
	if !e.cfg.Overload.FairShares || entry.opened || entry.attempts == 0 || p.Flags.Has(packet.RST) {
		return
	}
	entry.opened = true
	e.shortage.usage.Add(now, e.clientOf(f))
}

// stampOf returns the stamp of a first packet.
func (e *Engine) stampOf(now time.Duration, f packet.Flow) fairshare.Stamp {
	if !e.cfg.Overload.FairShares {
		return 0
	}
	return fairshare.StampOf(e.shortage.usage.Of(now, e.clientOf(f)))
}

// atDoor decides on a first packet for which a target was chosen. It returns where the flow
// goes, and false if the packet was refused.
func (e *Engine) atDoor(now time.Duration, f packet.Flow, p *pendingPlacement, chosen choice) (choice, bool) {
	if !e.mayRefuse(now, f, p) {
		return chosen, true
	}
	client := e.clientOf(f)
	e.shortage.usage.See(now, client)
	if a := &e.agents.list[chosen.agent]; !a.hasFreshReport(now) || a.report.WaitMS == 0 {
		return chosen, true
	}
	urgency := fairshare.UrgencyOf(client.Priority, e.shortage.usage.Rank(now, client))
	s := e.lookAround(now, f, urgency)
	if s.room {
		c := chooser{e: e, now: now, flow: f}
		if to := c.withRoom(0); to.agent != noAgent {
			return to, true
		}
		s = e.lookAgain(now, f, urgency) // other flows took it
	}
	wait, known := e.agents.list[chosen.agent].expectedWait(now, urgency)
	if s.unknown || !known || e.passes(now, f, min(wait, s.wait)) {
		return chosen, true
	}
	e.cfg.Out.Reset(f, 0)
	e.logDecision(Decision{Flow: f, Verdict: RefusedShort, Waited: now - p.arrivedAt, ExpectedWait: min(wait, s.wait)})
	return choice{}, false
}

// passes draws whether a first packet passes the door that would wait for the given time.
func (e *Engine) passes(now time.Duration, f packet.Flow, wait time.Duration) bool {
	v := fairshare.Visit{
		Wait: wait, Patience: fairshare.Patience(e.table.Demand(f.Service).Goal),
		Excess: e.shortage.usage.Excess(now, e.clientOf(f)),
	}
	return e.cfg.Rand.Float64() < v.PassChance()
}

// mayRefuse tells whether a first packet may be refused at the door: nothing of its flow can be
// open at a target. Bulk flows have passed a gate of their own.
func (e *Engine) mayRefuse(now time.Duration, f packet.Flow, p *pendingPlacement) bool {
	if _, known := e.flows[f]; known || !e.cfg.Overload.FairShares || e.isBulk(f) {
		return false
	}
	return p.entry.attempts == 0 && p.reason == 0 && !e.mayBeOpen(now, f, p.entry)
}

// lookAround returns the view of the targets that a flow could reach.
func (e *Engine) lookAround(now time.Duration, f packet.Flow, urgency fairshare.Urgency) *surroundings {
	key := viewKey{f.Service, urgency}
	if s := e.shortage.views[key]; s != nil && now-s.at < surroundingsFor {
		return s
	}
	return e.lookAgain(now, f, urgency)
}

// lookAgain replaces the view of the targets that a flow could reach.
func (e *Engine) lookAgain(now time.Duration, f packet.Flow, urgency fairshare.Urgency) *surroundings {
	if len(e.shortage.views) >= maxSurroundings {
		clear(e.shortage.views)
	}
	s := e.survey(now, f, urgency)
	e.shortage.views[viewKey{f.Service, urgency}] = s
	return s
}

// forgetViews drops the views of the routes that use a service.
func (e *Engine) forgetViews(service route.ServiceID) {
	uses := func(x route.Choice) bool { return x.Service == service }
	for key := range e.shortage.views {
		if slices.ContainsFunc(e.table.Services(key.route), uses) {
			delete(e.shortage.views, key)
		}
	}
}

// survey goes through the targets of a flow's route, and probes some whose state isn't known
// if too few are known.
func (e *Engine) survey(now time.Duration, f packet.Flow, urgency fairshare.Urgency) *surroundings {
	s := &surroundings{at: now}
	c := chooser{e: e, now: now, flow: f}
	sum, n := time.Duration(0), 0
	e.shortage.unknown = e.shortage.unknown[:0]
	c.eachReachable(func(number uint32, a *agent) {
		switch wait, known := a.expectedWait(now, urgency); {
		case a.hasRoom(now, 0):
			s.room = true
		case known:
			sum += min(wait, packet.HandshakeTimeout)
			n++
		default:
			e.shortage.unknown = append(e.shortage.unknown, number)
		}
	})
	if n > 0 {
		s.wait = sum / time.Duration(n)
	}
	if len(e.shortage.unknown) > 0 && n < enoughKnown {
		s.unknown = true
		e.probeUnknown(now)
	}
	return s
}

// probeUnknown probes some of the targets that the last survey knew nothing of, in turn.
func (e *Engine) probeUnknown(now time.Duration) {
	d := &e.shortage
	if now < d.probesAt {
		return
	}
	d.probesAt = now + doorProbeInterval
	sent := 0
	for range d.unknown {
		if sent == maxDoorProbes {
			return
		}
		d.probeFrom++
		if e.probe(now, d.unknown[d.probeFrom%len(d.unknown)]) {
			sent++
		}
	}
}

// eachReachable calls do for the agents whose targets the flow could reach.
func (c *chooser) eachReachable(do func(number uint32, a *agent)) {
	for _, choice := range c.e.table.Services(c.flow.Service) {
		for _, g := range c.e.agents.index.byService[choice.Service] {
			if !c.zoneAllowed(g.zone) {
				continue
			}
			for _, number := range g.members {
				if a := &c.e.agents.list[number]; c.mayReceive(number, a) {
					do(number, a)
				}
			}
		}
	}
}

// expectedWait returns how long a first packet of an urgency would wait at the target, behind
// those who wait there that aren't less urgent and the flows sent since the report; false if
// that isn't known.
func (a *agent) expectedWait(now time.Duration, urgency fairshare.Urgency) (time.Duration, bool) {
	r := &a.report
	before, all := r.WaitingBefore(urgency)
	switch {
	case a.reportedAt == 0 || now-a.reportedAt >= shortageKnownFor || !a.hasFreshReport(now) && all == 0:
		return 0, false
	case r.WaitMS == 0 && (all > 0 || uint64(r.Running) > 2*uint64(r.Slots)):
		return 0, false // from a build that doesn't state the wait
	}
	turn := time.Duration(r.WaitMS) * time.Millisecond / time.Duration(all+1)
	return turn * time.Duration(before+int(a.flowsSent)), true
}
