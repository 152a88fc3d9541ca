package idempotency

import (
	"slices"

	"bergamotstall/internal/table"
)

// Verdict says whether a claim has won and, if not, why.
type Verdict uint8

// Verdicts of a claim.
const (
	// Pending: more replies are needed.
	Pending Verdict = iota
	// Won: the request may run, once, within MaxClaimAge.
	Won
	// NoQuorum: too few voters can vote. This claim hasn't run the request.
	NoQuorum
	// Running: another claim holds the key; its request may be running.
	Running
	// Unknown: another claim sent its request to the target and got no response.
	Unknown
	// Completed: the request has run. Its response is returned by Claim.Response if it
	// was stored.
	Completed
	// KeyMismatch: the key was used for a different request or by a different caller.
	KeyMismatch
	// LimitReached: voters have reached their limit of keys, in total or for this caller.
	LimitReached
)

// Claim is one attempt to obtain an idempotency key for one request. It isn't safe for
// concurrent use.
type Claim struct {
	request     Request
	memberships [][]table.AgentNumber
	asked       []table.AgentNumber
	replies     map[table.AgentNumber]*Reply // nil: no reply arrived in time
}

// NewClaim starts a claim. members are the service's members at nowMS (Unix
// milliseconds), lookbackMS is the Lookback of the service's key window.
func NewClaim(r Request, members []Member, nowMS, lookbackMS int64) *Claim {
	return &Claim{
		request:     r,
		memberships: recentMemberships(members, r.Key, nowMS, lookbackMS),
		replies:     map[table.AgentNumber]*Reply{},
	}
}

// Request returns the message to send to voters.
func (c *Claim) Request() Request { return c.request }

// NextVoters returns the voters to ask that haven't been returned before.
func (c *Claim) NextVoters() []table.AgentNumber {
	out := c.unasked()
	c.asked = append(c.asked, out...)
	return out
}

func (c *Claim) unasked() []table.AgentNumber {
	var out []table.AgentNumber
	closed := c.closedVoters()
	for _, membership := range c.memberships {
		for _, n := range append(openVoters(membership, nil), openVoters(membership, closed)...) {
			if !slices.Contains(c.asked, n) && !slices.Contains(out, n) {
				out = append(out, n)
			}
		}
	}
	return out
}

// Asked returns all voters that were asked, and so may hold a vote for this claim.
func (c *Claim) Asked() []table.AgentNumber { return c.asked }

// RecordReply records a voter's reply; r is nil if none arrived in time.
func (c *Claim) RecordReply(from table.AgentNumber, r *Reply) { c.replies[from] = r }

// closedVoters returns the voters that any reply reports as closed.
func (c *Claim) closedVoters() []table.AgentNumber {
	var out []table.AgentNumber
	for _, r := range c.replies {
		if r == nil {
			continue
		}
		for _, n := range r.MergedVoters {
			if !slices.Contains(out, n) {
				out = append(out, n)
			}
		}
	}
	return out
}

// openVoters returns the first groupSize members of a ranked membership, without the
// closed ones.
func openVoters(membership, closed []table.AgentNumber) []table.AgentNumber {
	var out []table.AgentNumber
	for _, n := range membership {
		if !slices.Contains(closed, n) {
			out = append(out, n)
		}
		if len(out) == groupSize {
			break
		}
	}
	return out
}

// Verdict returns the state of the claim. It is final once it isn't Pending.
func (c *Claim) Verdict() Verdict {
	if v := c.decidedByReply(); v != Pending {
		return v
	}
	if c.hasQuorum() {
		return Won
	}
	if len(c.replies) < len(c.asked) || len(c.unasked()) > 0 {
		return Pending
	}
	return c.failureVerdict()
}

// decidedByReply returns the verdict if a single reply decides it, else Pending.
func (c *Claim) decidedByReply() Verdict {
	for _, r := range c.replies {
		if r == nil {
			continue
		}
		switch r.State {
		case Done:
			return Completed
		case OtherBody, OtherCaller:
			return KeyMismatch
		}
	}
	return Pending
}

// failureVerdict returns why there is no quorum. The reply that says most about the key's
// state takes precedence.
func (c *Claim) failureVerdict() Verdict {
	verdict := NoQuorum
	for _, r := range c.replies {
		switch {
		case r == nil:
		case r.State == NoAnswer:
			return Unknown
		case r.State == HeldByOtherClaim:
			verdict = Running
		case r.State == Full && verdict == NoQuorum:
			verdict = LimitReached
		}
	}
	return verdict
}

// Response returns the stored response of a Completed request, nil if none was stored.
func (c *Claim) Response() *Response {
	for _, r := range c.replies {
		if r != nil && r.State == Done && r.Response != nil {
			return r.Response
		}
	}
	return nil
}

// hasQuorum tells whether the votes suffice in every recent membership. A membership is
// counted without its closed voters or, if that fails, with them: a voter that joined
// after another one closed has a valid vote only in the second count.
func (c *Claim) hasQuorum() bool {
	if len(c.memberships) == 0 {
		return false
	}
	closed := c.closedVoters()
	for i, membership := range c.memberships {
		current := i == len(c.memberships)-1
		if !c.hasQuorumIn(membership, closed, current) && !c.hasQuorumIn(membership, nil, current) {
			return false
		}
	}
	return true
}

// hasQuorumIn tells whether the votes suffice in one membership, leaving out the given
// closed voters. The current membership needs a quorum; an earlier one needs enough votes
// to share a voter with any claim that won in it.
func (c *Claim) hasQuorumIn(membership, closed []table.AgentNumber, current bool) bool {
	open := openVoters(membership, closed)
	skipped := skippedVoters(membership, closed, open)
	votes := 0
	for _, n := range open {
		if c.isValidVote(n, skipped) {
			votes++
		}
	}
	if current {
		return votes >= quorum
	}
	// A claim that won in this membership has the votes of two open voters, or the vote
	// of a closed voter whose records every valid voter has merged.
	need := len(open) - 1
	if need > 0 {
		return votes >= need
	}
	return c.hasValidVote(skipped)
}

// skippedVoters returns the closed voters that rank before the last of the open ones.
func skippedVoters(membership, closed, open []table.AgentNumber) []table.AgentNumber {
	var out []table.AgentNumber
	for _, n := range membership {
		if len(open) == groupSize && n == open[groupSize-1] {
			break
		}
		if slices.Contains(closed, n) {
			out = append(out, n)
		}
	}
	return out
}

// isValidVote tells whether voter n granted its vote and has merged the records of all
// skipped voters.
func (c *Claim) isValidVote(n table.AgentNumber, skipped []table.AgentNumber) bool {
	r := c.replies[n]
	if r == nil || r.State != Granted {
		return false
	}
	for _, s := range skipped {
		if !slices.Contains(r.MergedVoters, s) {
			return false
		}
	}
	return true
}

func (c *Claim) hasValidVote(skipped []table.AgentNumber) bool {
	return slices.ContainsFunc(c.asked, func(n table.AgentNumber) bool { return c.isValidVote(n, skipped) })
}
