package flowtable

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// Output takes what the engine decides. Slices are valid during the call.
type Output interface {
	// ToTarget sends a client's packet to the target.
	ToTarget(raw []byte)
	// ToClient sends a target's packet to its client.
	ToClient(client packet.Endpoint, raw []byte)
	// Refuse hands a packet back to a balancer; age is how long ago its client
	// sent it, as far as is known.
	Refuse(to netip.AddrPort, why peer.Reason, age time.Duration, raw []byte)
	// Answer tells a balancer who holds a flow.
	Answer(to netip.AddrPort, r peer.Answer)
	// Reset tells a client that its flow is over.
	Reset(f packet.Flow, seq uint32)
	// Report says that balancers should hear of a change at once.
	Report()
	// Note tells of a decision, for the log.
	Note(d Decision)
	// Answered tells how long the target took from a request to the begin of its
	// answer, Admitted how long a first packet waited for room.
	Answered(took time.Duration)
	Admitted(waited time.Duration)
}

// Verdict is the outcome of a decision.
type Verdict uint8

const (
	// RefusedFirst: a first packet was handed back.
	RefusedFirst Verdict = iota + 1
	// RefusedLater: another packet was handed back, since the flow isn't here.
	RefusedLater
	// TargetArrived, TargetDrains and TargetLeft follow announcements.
	TargetArrived
	TargetDrains
	TargetLeft
	// TargetSilent: the target doesn't answer; it gets no new flows.
	TargetSilent
	// TargetAnswers: it does again.
	TargetAnswers
	// TargetDead: its flows are reset.
	TargetDead
	// StaleAnnouncement: an announcement of an incarnation that is over.
	StaleAnnouncement
	// FlowsReset: flows of a target that is gone were reset.
	FlowsReset
	// FlowsRecalled: flows of a living target are known again after the agent's
	// restart.
	FlowsRecalled
	// TargetUnsteady: the target has broken off too many requests; others go first.
	TargetUnsteady
	// RequestDropped: a request over an open flow waited for longer than its caller.
	RequestDropped
)

var verdictNames = [...]string{"", "refused-first", "refused-later", "target-arrived", "target-drains", "target-left",
	"target-silent", "target-answers", "target-dead", "stale-announcement", "flows-reset", "flows-recalled",
	"target-unsteady", "request-dropped"}

func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Decision is one decision with the inputs that decided it.
type Decision struct {
	Verdict Verdict
	// Flow is set for decisions on one flow.
	Flow   packet.Flow
	Reason peer.Reason
	// Target and Born tell the incarnation.
	Target string
	Born   int64
	// Age is how old the deciding input was: the target's last sign of life.
	Age time.Duration
	// Flows counts the flows concerned.
	Flows int
	// Answered and Broken count the requests that made the target unsteady.
	Answered, Broken int
}
