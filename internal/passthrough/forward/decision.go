package forward

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// Output takes what the engine decides. Slices are valid during the call.
type Output interface {
	// Deliver sends a client's packet to an agent; age is how long it waited here.
	Deliver(to netip.AddrPort, service route.ServiceID, age time.Duration, raw []byte)
	// Ask sends a question to an agent; questions may be batched.
	Ask(to netip.AddrPort, q peer.Question)
	// Probe asks an agent for a report.
	Probe(to netip.AddrPort)
	// Reset tells the client that the flow is over.
	Reset(f packet.Flow, seq uint32)
	// Note tells of a decision, for the log.
	Note(d Decision)
}

// Verdict is the outcome of a decision on a flow.
type Verdict uint8

const (
	// Placed: a first packet went to an agent.
	Placed Verdict = iota + 1
	// Moved: a first packet that one agent handed back went to another.
	Moved
	// RefusedNoRoute: a first packet to an address without a route was reset.
	RefusedNoRoute
	// RefusedNoTarget: a first packet that no target takes was reset.
	RefusedNoTarget
	// Found: an agent that holds the flow was found.
	Found
	// ResetRouteGone: a flow whose route was dropped was reset.
	ResetRouteGone
	// ResetNowhere: a flow that every agent lacks was reset.
	ResetNowhere
	// DroppedUnfound: a packet was dropped because not all agents answered.
	DroppedUnfound
	// HeldEarly: a packet came before the table or the first reports, and waits.
	HeldEarly
	// DroppedBusy: a packet was dropped because too many wait.
	DroppedBusy
)

var verdictNames = [...]string{"", "placed", "moved", "refused-no-route", "refused-no-target", "found",
	"reset-route-gone", "reset-nowhere", "dropped-unfound", "held-early", "dropped-busy"}

func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Decision is one decision with the inputs that decided it.
type Decision struct {
	Flow    packet.Flow
	Verdict Verdict
	// Version is the table's.
	Version route.Version
	// Overflow says that the agent is of another service of the route than the
	// weights picked, since that one has no free slot.
	Overflow bool
	// Agent is the agent chosen or found, if any.
	Agent netip.AddrPort
	// Reason is why the agent before handed the packet back, if one did.
	Reason peer.Reason
	// ReportAge is how old the chosen agent's report was.
	ReportAge time.Duration
	// Waited is how long the packet was held back, in a search or before it.
	Waited time.Duration
	// Asked and Silent count the agents asked, and those without an answer.
	Asked, Silent int
}
