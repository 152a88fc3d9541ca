package patience

import "time"

// Verdict says whether a caller may go on waiting, and why not.
type Verdict uint8

const (
	// Waits: the caller may wait.
	Waits Verdict = iota
	// NoTurn: more callers go before it than are served in its time.
	NoTurn
	// OutOfTime: it would have given up before an answer that began now.
	OutOfTime
	// HeldTooLong: it was held for half of its time. The other half is its own, for another
	// attempt.
	HeldTooLong
	// Silent: it would have given up by now, and a copy of its first packet is overdue. Its
	// copies may have opened the flow elsewhere, so it must not be told anything.
	Silent
)

var verdictNames = [...]string{"waits", "no-turn", "out-of-time", "held-too-long", "silent"}

func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// heldShare is the part of its time for which a caller may be held without a turn: half,
// less what passes until the caller hears of it.
const heldShare = 0.45

// LongestHold is how long a caller may be held without a turn.
func LongestHold(timeout time.Duration, opening bool) time.Duration {
	return time.Duration(heldShare * float64(Limit(timeout, opening)))
}

// Judge says whether a caller may go on waiting at a busy target. ahead is how many go
// before it. moreUrgent is the part of the target's time that later arrivals of more urgent
// routes take, asUrgent that of those and of equally urgent ones who come in time.
func (c *Caller) Judge(now time.Duration, o *Outlook, ahead int, moreUrgent, asUrgent float64) Verdict {
	if c.Silent(now) {
		return c.judgeSilent(now, o)
	}
	switch {
	case c.ClassAt(now, o) == Hopeless:
		return OutOfTime
	case now-c.HeldSince >= LongestHold(c.Timeout, c.Opening):
		return HeldTooLong
	case c.ClassAt(now+o.Wait(ahead, moreUrgent), o) == InTime:
		return Waits
	case c.ClassAt(now+o.Wait(ahead, asUrgent), o) == Hopeless:
		// Without a turn in time it is overtaken by those who can still be in time.
		return NoTurn
	}
	return Waits
}

// judgeSilent keeps a silent caller for as long as its copy may only be late: pauses of
// processors delay copies, and lost ones are followed by others.
func (c *Caller) judgeSilent(now time.Duration, o *Outlook) Verdict {
	if c.ClassAt(now, o) == Hopeless {
		return Silent
	}
	return Waits
}
