package forward

import (
	"cmp"
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// A balancer that has just started receives packets before it has the routing table and
// the agents' reports: after a power outage of all VMs the fabric has no other balancer to
// send them to. Callers retransmit 200 ms and 600 ms after the first packet, so a drop
// shortly before the balancer is ready makes the request miss its latency goal. The newest
// packet of each flow is held instead, and handled once the engine can.

const (
	// earlyPacketTTL is how long a packet is held.
	earlyPacketTTL = packet.HandshakeTimeout
	// maxEarlyPackets bounds the packets held, 1.3 kB each.
	maxEarlyPackets = 4_096
	// maxStartUp is the longest start-up time, counted from the first table.
	maxStartUp = 400 * time.Millisecond
)

// earlyPacket is the newest packet of a flow that arrived before the engine could handle
// it.
type earlyPacket struct {
	arrival
	// searchFailed says that the agents known by then were searched for the flow without
	// success.
	searchFailed bool
}

// StartingUp reports whether agents may still be missing because the balancer has just
// started: in the time of Policy.Youth after the first table, and then until control's lists
// are complete. It ends after maxStartUp in any case, since callers don't wait for a control
// VM that doesn't answer.
func (e *Engine) StartingUp(now time.Duration) bool {
	if e.table == nil {
		return true
	}
	age := now - e.firstTableAt
	return age < e.cfg.Policy.Youth || !e.listsWereComplete && age < maxStartUp
}

// SetListsComplete tells whether the lists of all control VMs have arrived, so that every
// agent is known. While they haven't, no flow is taken for one without a holder.
func (e *Engine) SetListsComplete(complete bool) {
	e.listsComplete = complete
	e.listsWereComplete = e.listsWereComplete || complete
}

// holdUntilReady holds a packet that arrived before the engine could handle it, in place of
// any older one of its flow.
func (e *Engine) holdUntilReady(f packet.Flow, a arrival, searchFailed bool) {
	if e.cfg.Policy.DropEarly {
		return
	}
	if _, ok := e.earlyPackets[f]; !ok && len(e.earlyPackets) >= maxEarlyPackets {
		e.logDecision(Decision{Flow: f, Verdict: DroppedBusy})
		return
	}
	if _, ok := e.earlyPackets[f]; !ok {
		e.logDecision(Decision{Flow: f, Verdict: HeldEarly})
	}
	a.raw = append([]byte(nil), a.raw...)
	e.earlyPackets[f] = earlyPacket{arrival: a, searchFailed: searchFailed}
}

// replayWhenReady handles held packets once there is a table and an agent, the newest
// first: targets admit flows in order of arrival while they have free slots, and only the newest
// callers can still be answered in time.
func (e *Engine) replayWhenReady(now time.Duration) {
	if len(e.earlyPackets) == 0 {
		return
	}
	var ready []earlyPacket
	for f, x := range e.earlyPackets {
		if x.age(now) > earlyPacketTTL || e.callerLeft(now, f, x.arrival) {
			delete(e.earlyPackets, f)
			continue
		}
		if e.canHandle(now, x) {
			delete(e.earlyPackets, f)
			ready = append(ready, x)
		}
	}
	e.sortEarly(now, ready)
	for _, x := range ready {
		e.fromClient(now, x.arrival)
	}
}

// sortEarly sorts held packets into the order in which they are handled.
func (e *Engine) sortEarly(now time.Duration, ready []earlyPacket) {
	slices.SortFunc(ready, func(a, b earlyPacket) int { return cmp.Compare(a.age(now), b.age(now)) })
	if e.cfg.Policy.OldestFirst {
		slices.Reverse(ready)
		return
	}
	if slices.ContainsFunc(ready, func(x earlyPacket) bool { return e.hasGoal(x.p.Dst) }) {
		slices.SortStableFunc(ready, func(a, b earlyPacket) int {
			x, y := e.callerOf(now, a.arrival), e.callerOf(now, b.arrival)
			return x.Compare(&y)
		})
	}
}

// canHandle tells whether a held packet can be handled. That takes an agent to ask or to
// send it to. After a failed search it takes the end of the start-up time, or else the
// flow of an agent that is listed late would be taken for one without a holder.
func (e *Engine) canHandle(now time.Duration, x earlyPacket) bool {
	if e.table == nil {
		return false
	}
	return !e.StartingUp(now) || !x.searchFailed && e.AgentCount() > 0
}
