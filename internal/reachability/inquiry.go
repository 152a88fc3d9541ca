package reachability

import "time"

const (
	// refusalsEnough are the refusals in a row that settle an inquiry. A second
	// one rules out a message that was late.
	refusalsEnough = 2
	// InquiryPatience is how long an agent may be silent before its open flows
	// are given up; a pause of a process for collection of garbage or for lack of
	// processor time is well below.
	InquiryPatience = 3 * time.Second
	// silencesEnough are the unanswered probes that this takes besides, one each
	// Tick. An inquirer that gets no processor time sends a few in three seconds,
	// and gave up agents that lived: 1 in 20 runs of a test beside eight others.
	silencesEnough = int(InquiryPatience / Tick)
	// GivenUp is how long the outcome holds before it is looked into again.
	GivenUp = 5 * time.Second
)

// Sign is what became of one probe.
type Sign uint8

const (
	// Silent probes got no answer in time.
	Silent Sign = iota
	// Refused probes were answered by the other VM: nobody listens there.
	Refused
	// Alive probes were answered by the agent.
	Alive
)

// Finding is what an inquiry has come to.
type Finding uint8

const (
	// Open inquiries go on.
	Open Finding = iota
	// Reachable agents answered: packets can be handed on to them.
	Reachable
	// Dead agents have no flows any more.
	Dead
)

// Inquiry is the second opinion on an agent that a balancer can't reach.
type Inquiry struct {
	began    time.Time
	refusals int
	silences int
}

// NewInquiry begins an inquiry.
func NewInquiry(now time.Time) *Inquiry { return &Inquiry{began: now} }

// Note takes in the outcome of a probe.
func (q *Inquiry) Note(now time.Time, s Sign) Finding {
	switch s {
	case Alive:
		return Reachable
	case Refused:
		q.refusals++
	case Silent:
		q.refusals = 0
		q.silences++
	}
	if q.refusals >= refusalsEnough {
		return Dead
	}
	if q.silences >= silencesEnough && now.Sub(q.began) >= InquiryPatience {
		return Dead
	}
	return Open
}
