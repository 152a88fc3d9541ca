package flowtable

import "time"

// All packets of a target pass through its agent, so an agent misses only the flows that
// an earlier process of the agent forwarded. Whether there are any can't be told from what
// the target says of its start: its clock may be set between its start and the agent's, and
// a target takes flows before it first announces itself.

// knowsAllFlows reports whether the agent has seen every flow that the target can hold:
// since the agent's start nobody listened at the target's address, so that the target
// started later, or the flows from before are older than flows get.
func (e *Engine) knowsAllFlows(now time.Duration) bool {
	return e.foundNoTarget || now-e.learningSince >= learningPeriod
}

// forgetFlows records that the target may hold flows that the agent has removed.
func (e *Engine) forgetFlows(now time.Duration) {
	e.foundNoTarget = false
	e.learningSince = now
}
