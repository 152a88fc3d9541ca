package reachability

import "time"

const (
	// refusalsForDead is how many refusals in a row establish that an agent is dead. The
	// second one rules out a message that was late.
	refusalsForDead = 2
	// AgentCheckTimeout is how long an agent may be silent before its open flows are given
	// up. A process's pause for garbage collection or for lack of processor time is well
	// below it.
	AgentCheckTimeout = 3 * time.Second
	// silencesForDead is how many unanswered probes this takes in addition, one for each
	// Tick. A checking agent that is short of processor time sends only a few probes in three
	// seconds, and would otherwise give up agents that are alive.
	silencesForDead = int(AgentCheckTimeout / Tick)
	// ResultTTL is how long a result is valid before the agent is checked again.
	ResultTTL = 5 * time.Second
)

// ProbeOutcome is the outcome of one probe.
type ProbeOutcome uint8

const (
	// Silent: the probe got no answer in time.
	Silent ProbeOutcome = iota
	// Refused: the agent's VM answered that no process listens there.
	Refused
	// Alive: the agent answered the probe.
	Alive
)

// Result is the present state of an agent check.
type Result uint8

const (
	// Pending: the check is still in progress.
	Pending Result = iota
	// Reachable: the agent answered, and packets can be forwarded to it.
	Reachable
	// Dead: the agent is gone, and its flows with it.
	Dead
)

// AgentCheck checks from another agent whether an agent that a balancer can't reach is dead.
type AgentCheck struct {
	startedAt time.Time
	refusals  int
	silences  int
}

// NewAgentCheck starts a check.
func NewAgentCheck(now time.Time) *AgentCheck { return &AgentCheck{startedAt: now} }

// Record records the outcome of a probe and returns the state of the check.
func (q *AgentCheck) Record(now time.Time, s ProbeOutcome) Result {
	switch s {
	case Alive:
		return Reachable
	case Refused:
		q.refusals++
	case Silent:
		q.refusals = 0
		q.silences++
	}
	if q.refusals >= refusalsForDead {
		return Dead
	}
	if q.silences >= silencesForDead && now.Sub(q.startedAt) >= AgentCheckTimeout {
		return Dead
	}
	return Pending
}
