package forward

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// Output carries out the engine's decisions. Slices are valid only during the call.
type Output interface {
	// Deliver sends a client's packet to an agent; age is how long it was held here. usage is
	// that of the client, with a first packet, 0 if it isn't stated.
	Deliver(to netip.AddrPort, service route.ServiceID, age time.Duration, usage fairshare.Stamp, raw []byte)
	// Ask sends a question to an agent. Questions may be batched.
	Ask(to netip.AddrPort, q peer.Question)
	// Probe asks an agent for a report.
	Probe(to netip.AddrPort)
	// Reset sends a reset for the flow to its client.
	Reset(f packet.Flow, seq uint32)
	// LogDecision records a decision in the log.
	LogDecision(d Decision)
}

// Verdict is the outcome of a decision on a flow.
type Verdict uint8

const (
	// Placed: a first packet was sent to an agent.
	Placed Verdict = iota + 1
	// Moved: a first packet that an agent handed back was sent to another one.
	Moved
	// RefusedNoRoute: a first packet to an address without a route was reset.
	RefusedNoRoute
	// RefusedNoTarget: a first packet that no target accepts was reset.
	RefusedNoTarget
	// Found: the agent that holds the flow was found.
	Found
	// ResetRouteGone: a flow whose route was removed was reset.
	ResetRouteGone
	// ResetNoHolder: a flow that no agent holds was reset.
	ResetNoHolder
	// DroppedNotFound: a packet was dropped because the search ended without answers from
	// all agents.
	DroppedNotFound
	// HeldEarly: a packet that arrived before the table or the first reports is held.
	HeldEarly
	// DroppedBusy: a packet was dropped because too many packets or searches are pending.
	DroppedBusy
	// RefusedBulk: the first packet of a bulk flow was reset because the link has no room
	// for the flow in time.
	RefusedBulk
	// DroppedBulk: the first packet of a bulk flow wasn't passed on, or was refused by the
	// targets, but another balancer may have delivered a copy of it, so that its caller gets
	// no reset.
	DroppedBulk
	// RefusedShort: a first packet was reset at once, because callers wait at all targets that
	// it could reach.
	RefusedShort
	// DroppedMayBeOpen: no target accepts a first packet, but the flow may be open, so that its
	// caller gets no reset.
	DroppedMayBeOpen
)

var verdictNames = [...]string{"", "placed", "moved", "refused-no-route", "refused-no-target", "found",
	"reset-route-gone", "reset-nowhere", "dropped-unfound", "held-early", "dropped-busy", "refused-bulk", "dropped-bulk", "refused-short", "dropped-may-be-open"}

func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Decision is one decision with the inputs that led to it.
type Decision struct {
	Flow    packet.Flow
	Verdict Verdict
	// Version is the routing table's version.
	Version route.Version
	// Overflow says that the agent belongs to another service of the route than the
	// weights selected, because that one has no free slot.
	Overflow bool
	// Agent is the chosen or found agent, if any.
	Agent netip.AddrPort
	// Reason is why the previous agent handed the packet back, if one did.
	Reason peer.Reason
	// ReportAge is the age of the agent's last report.
	ReportAge time.Duration
	// Waited is how long the packet was held; ExpectedWait is how long it would have waited at
	// a target, with RefusedShort.
	Waited, ExpectedWait time.Duration
	// Asked is the number of agents asked (of attempts, with RefusedNoTarget), Silent the
	// number that didn't answer.
	Asked, Silent int
	// ListsIncomplete says that a search ended without a holder while control's lists of
	// agents weren't complete.
	ListsIncomplete bool
}
