package patience

import (
	"cmp"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// Class says what the answer to a waiting caller is still good for.
type Class uint8

const (
	// InTime: the answer can meet the response-time goal.
	InTime Class = iota
	// Answerable: the answer misses the goal, but the caller still waits for it.
	Answerable
	// Hopeless: the caller will have given up before the answer.
	Hopeless
	// Unheard: a copy of the caller's first packet is overdue; see Silent.
	Unheard
)

// Caller is one who waits for a turn at a target. Times are on one clock.
type Caller struct {
	// Priority is that of the route, 0 for the most urgent.
	Priority uint32
	// Class is what the caller's answer is good for if its turn comes now; see Classify.
	Class Class
	// Share ranks the clients of equally urgent callers of one class while slots are
	// divided among clients; 0 goes first.
	Share uint32
	// FirstSentAt is when the client sent its first attempt, HeldSince since when the
	// caller has been held.
	FirstSentAt, HeldSince time.Duration
	// Goal is the response-time goal, Timeout the time after which the caller gives up,
	// both from FirstSentAt; 0 means not stated.
	Goal, Timeout time.Duration
	// Opening says that the caller waits with the first packet of a flow, whose handshake
	// comes before the request. LastCopy is how long after FirstSentAt the newest copy of
	// that packet was sent.
	Opening  bool
	LastCopy time.Duration
}

// Compare is negative if c gets its turn before other: those who are heard of, then the more
// urgent route, then those who can be answered in time, then those who state a goal, then the
// share of the client, and then the one with the least time left; without a goal, the newest.
// Together with Judge, which turns callers away while there is more than can be served, this
// answers the most of them in time.
func (c *Caller) Compare(other *Caller) int {
	return cmp.Or(
		cmp.Compare(c.unheard(), other.unheard()),
		cmp.Compare(c.Priority, other.Priority),
		cmp.Compare(c.Class, other.Class),
		cmp.Compare(c.goalless(), other.goalless()),
		cmp.Compare(c.Share, other.Share),
		cmp.Compare(c.dueAt(), other.dueAt()),
	)
}

// unheard is 1 for a caller of the class Unheard, 0 for others.
func (c *Caller) unheard() int {
	if c.Class == Unheard {
		return 1
	}
	return 0
}

// goalless is 1 for a caller without a goal, 0 for others.
func (c *Caller) goalless() int {
	if c.Goal == 0 {
		return 1
	}
	return 0
}

// dueAt is the end of what the caller's class promises. Without a goal it only ranks the
// newest first.
func (c *Caller) dueAt() time.Duration {
	switch {
	case c.Goal == 0:
		return -c.FirstSentAt
	case c.Class == InTime:
		return c.FirstSentAt + c.Goal
	}
	return c.FirstSentAt + c.limit()
}

// unstatedTimeout stands for the timeout of a route that states none.
const unstatedTimeout = 10 * time.Second

// limit is how long after its first attempt the caller gives up if nobody answers.
func (c *Caller) limit() time.Duration { return Limit(c.Timeout, c.Opening) }

// Limit is how long after its first attempt a caller gives up that nobody has answered. For
// one that is opening a flow, the client's patience with the handshake is a limit too.
func Limit(timeout time.Duration, opening bool) time.Duration {
	if timeout == 0 {
		timeout = unstatedTimeout
	}
	if opening {
		return min(timeout, packet.HandshakeTimeout)
	}
	return timeout
}

// Classify sets the class for a turn that comes now.
func (c *Caller) Classify(now time.Duration, o *Outlook) {
	c.Class = c.ClassAt(now, o)
	if c.Goal > 0 && c.Silent(now) {
		c.Class = Unheard
	}
}

// ClassAt is what the caller's answer is good for if its turn comes at the given time. Without
// a goal, any answer counts as in time.
func (c *Caller) ClassAt(turn time.Duration, o *Outlook) Class {
	if c.Goal == 0 {
		return InTime
	}
	age := turn - c.FirstSentAt
	network := time.Duration(0)
	if c.Opening {
		// A handshake takes a round trip to the client. The first packet's way here and the
		// answer's way back take another one.
		network = 2 * o.Handshake
	}
	answered := age + network + o.Service
	switch {
	case c.Timeout > 0 && answered > c.Timeout, c.Opening && age+o.Handshake/2 > packet.HandshakeTimeout:
		return Hopeless
	case answered+c.reserve(network+o.Service, o) <= c.Goal:
		return InTime
	}
	return Answerable
}

// reserve is the time that is kept for an answer that takes longer than the mean: as long
// as the mean again, which most requests don't exceed, or half of what the goal leaves. While
// nothing was observed, half of the goal is kept.
func (c *Caller) reserve(needed time.Duration, o *Outlook) time.Duration {
	if o.Service == 0 {
		return c.Goal / 2
	}
	return max(0, min(needed, (c.Goal-needed)/2))
}

// copyGrace is how much later than expected a copy of a first packet may arrive: balancers
// send copies on without delay, but from shared processors.
const copyGrace = 50 * time.Millisecond

// Silent reports whether the copy of the first packet is overdue that the client sends while
// it waits: it has ended the attempt, its copies go elsewhere, or one was lost or is late.
func (c *Caller) Silent(now time.Duration) bool {
	if !c.Opening {
		return false
	}
	next, ok := packet.NextCopy(c.LastCopy)
	return ok && now-c.FirstSentAt > next+copyGrace
}
