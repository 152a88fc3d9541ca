package idempotency

import (
	"slices"

	"bergamotstall/internal/table"
)

// Verdict is what a claimant may do.
type Verdict uint8

// Verdicts.
const (
	// Pending: more replies are needed.
	Pending Verdict = iota
	// Won: the request may run, once, within MaxHold.
	Won
	// NoQuorum: too few keepers can vote. The request hasn't run under this try.
	NoQuorum
	// Running: another try has the key.
	Running
	// Unknown: another try handed its request over and got no answer.
	Unknown
	// Known: the request has run; the answer may be there.
	Known
	// Misused: the key belongs to another request or another caller.
	Misused
	// TooMany: keepers hold too many keys, in all or of this caller.
	TooMany
)

// Claimant is one try for one key.
type Claimant struct {
	request Request
	sets    [][]table.AgentNumber
	asked   []table.AgentNumber
	replies map[table.AgentNumber]*Reply // nil: no reply came
}

// NewClaimant begins a try. rows are the service's at nowMS (Unix
// milliseconds), lookbackMS is Lookback of its window.
func NewClaimant(r Request, rows []Row, nowMS, lookbackMS int64) *Claimant {
	return &Claimant{
		request: r,
		sets:    rowSets(rows, r.Key, nowMS, lookbackMS),
		replies: map[table.AgentNumber]*Reply{},
	}
}

// Request returns what to send to keepers.
func (c *Claimant) Request() Request { return c.request }

// Ask returns keepers to ask that weren't asked before.
func (c *Claimant) Ask() []table.AgentNumber {
	out := c.unasked()
	c.asked = append(c.asked, out...)
	return out
}

func (c *Claimant) unasked() []table.AgentNumber {
	var out []table.AgentNumber
	closed := c.closed()
	for _, set := range c.sets {
		for _, n := range append(top(set, nil), top(set, closed)...) {
			if !slices.Contains(c.asked, n) && !slices.Contains(out, n) {
				out = append(out, n)
			}
		}
	}
	return out
}

// Asked returns everyone who may hold a vote for this try.
func (c *Claimant) Asked() []table.AgentNumber { return c.asked }

// Hear takes a keeper's reply; nil where none came in time.
func (c *Claimant) Hear(from table.AgentNumber, r *Reply) { c.replies[from] = r }

// closed returns the keepers that some reply says have closed.
func (c *Claimant) closed() []table.AgentNumber {
	var out []table.AgentNumber
	for _, r := range c.replies {
		if r == nil {
			continue
		}
		for _, n := range r.Merged {
			if !slices.Contains(out, n) {
				out = append(out, n)
			}
		}
	}
	return out
}

// top returns the set's first rows, passing over those that have closed.
func top(set, closed []table.AgentNumber) []table.AgentNumber {
	var out []table.AgentNumber
	for _, n := range set {
		if !slices.Contains(closed, n) {
			out = append(out, n)
		}
		if len(out) == group {
			break
		}
	}
	return out
}

// Verdict tells how the try stands. It is final once it isn't Pending.
func (c *Claimant) Verdict() Verdict {
	if v := c.told(); v != Pending {
		return v
	}
	if c.won() {
		return Won
	}
	if len(c.replies) < len(c.asked) || len(c.unasked()) > 0 {
		return Pending
	}
	return c.lost()
}

// told finds replies that decide alone.
func (c *Claimant) told() Verdict {
	for _, r := range c.replies {
		if r == nil {
			continue
		}
		switch r.Standing {
		case Done:
			return Known
		case OtherBody, OtherCaller:
			return Misused
		}
	}
	return Pending
}

// lost says why there is no quorum, the most telling reply first.
func (c *Claimant) lost() Verdict {
	verdict := NoQuorum
	for _, r := range c.replies {
		switch {
		case r == nil:
		case r.Standing == Lost:
			return Unknown
		case r.Standing == Held:
			verdict = Running
		case r.Standing == Full && verdict == NoQuorum:
			verdict = TooMany
		}
	}
	return verdict
}

// Answer returns the answer that came with Known, nil where none was kept.
func (c *Claimant) Answer() *Answer {
	for _, r := range c.replies {
		if r != nil && r.Standing == Done && r.Answer != nil {
			return r.Answer
		}
	}
	return nil
}

// won tells whether the votes suffice on every set of rows. A set is judged with
// closed keepers passed over, or, where that fails, with them in their places:
// a keeper that joined after the closing has a valid vote only in the latter.
func (c *Claimant) won() bool {
	if len(c.sets) == 0 {
		return false
	}
	closed := c.closed()
	for i, set := range c.sets {
		present := i == len(c.sets)-1
		if !c.wonOn(set, closed, present) && !c.wonOn(set, nil, present) {
			return false
		}
	}
	return true
}

// wonOn judges one set of rows, passing over the given closed keepers.
func (c *Claimant) wonOn(set, closed []table.AgentNumber, present bool) bool {
	live := top(set, closed)
	passed := passedOver(set, closed, live)
	votes := 0
	for _, n := range live {
		if c.validVote(n, passed) {
			votes++
		}
	}
	if present {
		return votes >= quorum
	}
	// Whoever won on this set has two votes of live, or one of a closed keeper's
	// that every valid voter knows.
	need := len(live) - 1
	if need > 0 {
		return votes >= need
	}
	return c.anyValidVote(passed)
}

// passedOver returns the closed keepers that stand before the last of live.
func passedOver(set, closed, live []table.AgentNumber) []table.AgentNumber {
	var out []table.AgentNumber
	for _, n := range set {
		if len(live) == group && n == live[group-1] {
			break
		}
		if slices.Contains(closed, n) {
			out = append(out, n)
		}
	}
	return out
}

func (c *Claimant) validVote(n table.AgentNumber, passed []table.AgentNumber) bool {
	r := c.replies[n]
	if r == nil || r.Standing != Granted {
		return false
	}
	for _, p := range passed {
		if !slices.Contains(r.Merged, p) {
			return false
		}
	}
	return true
}

func (c *Claimant) anyValidVote(passed []table.AgentNumber) bool {
	return slices.ContainsFunc(c.asked, func(n table.AgentNumber) bool { return c.validVote(n, passed) })
}
