package flowtable

import "time"

// An agent may be paused, alone or with its VM, or get no processor time. When it resumes, its
// timers run before it has read what its target has sent meanwhile. So the silence of a target
// counts only from when the agent has resumed.

// pauseLimit is the time without a tick after which the agent counts as paused. It is
// shorter than any timeout after which flows are reset, and long enough that an agent on a
// busy VM still detects silence.
const pauseLimit = 200 * time.Millisecond

// pauses tells since when the agent has been running without a pause.
type pauses struct {
	lastTickAt, resumedAt time.Duration
}

// tick must be called by each tick. It reports whether the agent has just resumed.
func (p *pauses) tick(now time.Duration) bool {
	resumed := now-p.lastTickAt > pauseLimit
	if resumed {
		p.resumedAt = now
	}
	p.lastTickAt = now
	return resumed
}

// runningSince returns since when the agent has been running. Packets may be handled before
// the first tick after a pause.
func (p *pauses) runningSince(now time.Duration) time.Duration {
	if now-p.lastTickAt > pauseLimit {
		return now
	}
	return p.resumedAt
}

// silentFor returns how long the agent has been running since the given time, at which
// something was last heard or the wait for it began.
func (e *Engine) silentFor(now, since time.Duration) time.Duration {
	return now - max(since, e.pauses.runningSince(now))
}

// announcementsOverdue reports whether two announcements of the target should have arrived
// since the last one.
func (e *Engine) announcementsOverdue(now time.Duration) bool {
	return e.silentFor(now, e.target.announcedAt) > e.announcementTimeout()
}
