package flowtable

import "time"

// A target that has just started can take few new flows a second. Many balancers send to
// it at once, and each knows only its own flows; the agent sees all of them and enforces
// the limit.

// coldWindow is the interval in which new flows are counted. It is a little longer than
// the second that limits refer to, because packets take unequal times to reach the
// target, which could put more of them into one second.
const coldWindow = time.Second + 50*time.Millisecond

// flowCounter holds the times of the latest new flows sent to the target.
type flowCounter struct{ at []time.Duration }

// add counts a new flow and forgets those older than the window.
func (c *flowCounter) add(now time.Duration) {
	kept := c.at[:0]
	for _, at := range c.at {
		if now-at < coldWindow {
			kept = append(kept, at)
		}
	}
	c.at = append(kept, now)
}

// count returns the number of new flows in the window that ends now.
func (c *flowCounter) count(now time.Duration) int {
	n := 0
	for _, at := range c.at {
		if now-at < coldWindow {
			n++
		}
	}
	return n
}

// coldFull reports whether the target is cold and has had as many new flows as it can
// take. An agent that has just started next to an older target doesn't know how many it
// had, and takes the limit for reached during the first window.
func (e *Engine) coldFull(now time.Duration) bool {
	perSecond := e.table.ColdPerSecond(e.target.service)
	if perSecond <= 0 || now >= e.target.coldUntil {
		return false
	}
	if !e.knowsAllFlows(now) && now-e.startedAt < coldWindow {
		return true
	}
	return e.coldFlows.count(now) >= int(perSecond*max(1, e.cfg.ColdOverage)+e.cfg.ColdSlack)
}
