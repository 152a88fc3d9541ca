package flowtable

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/patience"
	"bergamotstall/internal/passthrough/peer"
)

// Output carries out what the engine decides. Slices are valid during the call only.
type Output interface {
	// ToTarget sends a client's packet to the target.
	ToTarget(raw []byte)
	// ToClient sends a target's packet to its client.
	ToClient(client packet.Endpoint, raw []byte)
	// Refuse returns a packet to a balancer; age is the time since its client sent it, as
	// far as known.
	Refuse(to netip.AddrPort, reason peer.Reason, age time.Duration, raw []byte)
	// Answer tells a balancer whether this agent's target holds a flow.
	Answer(to netip.AddrPort, r peer.Answer)
	// Reset tells a client that its flow is over.
	Reset(f packet.Flow, seq uint32)
	// Report asks for a report to balancers at once, because something has changed.
	Report()
	// LogDecision logs and counts a decision.
	LogDecision(d Decision)
	// Answered receives the time from a request to the start of its answer, Admitted the
	// time that a held first packet or request had waited when it was admitted.
	Answered(took time.Duration)
	Admitted(waited time.Duration)
}

// Verdict is the kind of a decision.
type Verdict uint8

const (
	// RefusedFirst: a first packet was returned to the balancer.
	RefusedFirst Verdict = iota + 1
	// RefusedLater: another packet was returned, because the target doesn't hold the
	// flow.
	RefusedLater
	// TargetArrived, TargetDrains and TargetLeft follow from announcements.
	TargetArrived
	TargetDrains
	TargetLeft
	// TargetSilent: the target doesn't answer and gets no new flows.
	TargetSilent
	// TargetAnswers: the target answers again.
	TargetAnswers
	// TargetDead: the target's process is gone, and its flows are reset.
	TargetDead
	// StaleAnnouncement: an announcement that seems to be older than the last accepted one
	// was refused.
	StaleAnnouncement
	// FlowsReset: the flows of a target that is gone were reset.
	FlowsReset
	// FlowsRecalled: after the agent's restart, flows of a live target were restored from
	// control's record.
	FlowsRecalled
	// TargetUnsteady: the target broke off too many requests; balancers prefer others.
	TargetUnsteady
	// RequestDropped: a request over an open flow was held for longer than its caller
	// waits.
	RequestDropped
	// FirstDropped: a silent caller's first packet was dropped once its time had passed.
	FirstDropped
	// CapacityLearned: the target is given fewer requests at once than it has slots, or as
	// many again, because of its service times.
	CapacityLearned
	// ShortageBegan: callers wait for a slot. ShortageEnded: nobody has waited for a while.
	ShortageBegan
	ShortageEnded
)

var verdictNames = [...]string{"", "refused-first", "refused-later", "target-arrived", "target-drains", "target-left",
	"target-silent", "target-answers", "target-dead", "stale-announcement", "flows-reset", "flows-recalled",
	"target-unsteady", "request-dropped", "first-dropped", "capacity-learned", "shortage-began", "shortage-ended"}

func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Decision is one decision with the inputs that led to it.
type Decision struct {
	Verdict Verdict
	// Flow is set for decisions on one flow.
	Flow   packet.Flow
	Reason peer.Reason
	// Patience says why a caller wasn't allowed to wait on, Waited how long it had waited;
	// set for first packets that are refused or dropped by callers' goals.
	Patience patience.Verdict
	Waited   time.Duration
	// Target and Born identify the incarnation.
	Target string
	Born   int64
	// Sender and SenderBorn identify the incarnation whose announcement was refused.
	Sender     string
	SenderBorn int64
	// AllFlowsKnown is set for a target that arrived if the agent has seen all its flows.
	AllFlowsKnown bool
	// Age is the time since the target last sent anything.
	Age time.Duration
	// Flows is the number of flows concerned.
	Flows int
	// AnsweredRequests and BrokenRequests are the numbers of answered and of broken-off
	// requests by which the target was found unsteady.
	AnsweredRequests, BrokenRequests int
	// Limit is how many requests the target is given at once besides those of new flows'
	// handshakes, Service how long it takes for one, as learned.
	Limit   int
	Service time.Duration
	// Waiting is the number of callers that wait for a slot.
	Waiting int
}

func (e *Engine) noteDecision(now time.Duration, d Decision) {
	d.Target = e.target.id
	d.Born = e.target.born
	if e.target.lastSeenAt > 0 {
		d.Age = now - e.target.lastSeenAt
	}
	e.cfg.Out.LogDecision(d)
}
