package forward

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/link"
	"bergamotstall/internal/passthrough/peer"
)

const (
	// usualTickGap is the time between two ticks that a VM with enough processor time
	// keeps; a longer gap is a stall, in which packets queued at the sockets.
	usualTickGap = 60 * time.Millisecond
	// questionsYieldAt is the delay of the link at which questions leave it to others but
	// for minSpare of their budget.
	questionsYieldAt = 200 * time.Millisecond
	minSpare         = 0.25
	// longStall is the time without an event after which packets in the sockets may be so old
	// that their clients have sent copies; oldPacketsFor is how long it takes to read them.
	longStall     = 100 * time.Millisecond
	oldPacketsFor = time.Second
	// roomBelow is the backlog below which bulk is passed to the link: enough that the link
	// isn't idle until the next look at it.
	roomBelow = 3 * time.Millisecond
)

// linkQueues is what the engine knows of its own link. The zero value knows nothing and
// changes nothing.
type linkQueues struct {
	estimator *link.Estimator
	// now is the time of the last tick, lookedAt that of the last event.
	now, lookedAt time.Duration
	// oldPacketsUntil is when the packets are read that arrived during the last long stall.
	oldPacketsUntil time.Duration
	// delay is how much longer than usual an answer takes because of the VM's own queues,
	// as of the last tick.
	delay time.Duration
}

func newLinkQueues(cfg Config) linkQueues {
	if !cfg.Overload.LinkQueues {
		return linkQueues{}
	}
	return linkQueues{estimator: link.New(cfg.LinkRate)}
}

// tick updates the delay.
func (l *linkQueues) tick(now time.Duration) {
	l.look(now)
	if l.estimator == nil {
		return
	}
	if gap := now - l.now; l.now > 0 && gap > usualTickGap {
		l.estimator.Stalled(now, gap)
	}
	l.now = now
	l.estimator.Tick(now)
	l.delay = l.estimator.Delay(now)
}

// look takes the time of an event, which is that of the bytes sent because of it.
func (l *linkQueues) look(now time.Duration) {
	if l.lookedAt > 0 && now-l.lookedAt > longStall {
		l.oldPacketsUntil = now + oldPacketsFor
	}
	l.lookedAt = max(l.lookedAt, now)
}

// hasOldPackets reports whether packets that arrived during a long stall may be unread.
func (l *linkQueues) hasOldPackets(now time.Duration) bool { return now < l.oldPacketsUntil }

// extend returns a timeout for an answer that passes the link's queues.
func (l *linkQueues) extend(timeout time.Duration) time.Duration { return timeout + l.delay }

// before returns the time as far as answers that pass the link's queues can tell of it.
func (l *linkQueues) before(now time.Duration) time.Duration { return now - l.delay }

// spare returns the part of the budget of questions that the link has room for.
func (l *linkQueues) spare() float64 {
	return max(minSpare, 1-float64(l.delay)/float64(questionsYieldAt))
}

// roomIn returns in what time bulk may be passed to the link; 0 if now, and always if the
// link's rate is unknown.
func (l *linkQueues) roomIn(now time.Duration) time.Duration {
	if l.estimator == nil {
		return 0
	}
	l.look(now)
	return max(0, l.estimator.Backlog(l.lookedAt)-roomBelow)
}

// linkRate returns what the link carries, in bytes a second; 0 if that isn't known.
func (e *Engine) linkRate() float64 {
	if e.link.estimator == nil {
		return e.cfg.LinkRate
	}
	return e.link.estimator.Rate()
}

func (l *linkQueues) sent(bytes int) {
	if l.estimator != nil {
		l.estimator.Sent(l.lookedAt, bytes)
	}
}

// asked records a question or a probe to an agent.
func (l *linkQueues) asked(now time.Duration) {
	if l.estimator != nil {
		l.estimator.Asked(now)
		l.sent(peer.SharedQuestionCost)
	}
}

// markSeen records that a datagram arrived from an agent, and returns its number. If it is
// the first since a probe, it tells how long the probe's answer took.
func (e *Engine) markSeen(now time.Duration, from netip.AddrPort) uint32 {
	e.link.look(now)
	if e.link.estimator != nil {
		e.link.estimator.Heard()
		if a := &e.agents.list[e.agents.number(from)]; a.probedAt > a.lastSeenAt {
			e.link.estimator.RoundTrip(now, now-a.probedAt)
		}
	}
	return e.agents.markSeen(now, from)
}
