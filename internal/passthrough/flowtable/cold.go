package flowtable

import "time"

// A target that has just started bears few requests a second. Many balancers send to it
// at once, and each knows its own flows only; the agent sees all of them, and counts.

// coldWindow is the span in which new flows are counted. It is a little more than the
// second that limits are stated for, so that packets which take unequally long to arrive
// don't crowd a second.
const coldWindow = time.Second + 50*time.Millisecond

// coldLimit is when the latest new flows were sent to the target.
type coldLimit struct{ at []time.Duration }

// admitted notes a new flow. What is older than a window is forgotten.
func (c *coldLimit) admitted(now time.Duration) {
	kept := c.at[:0]
	for _, at := range c.at {
		if now-at < coldWindow {
			kept = append(kept, at)
		}
	}
	c.at = append(kept, now)
}

// within counts the new flows of the window that ends now.
func (c *coldLimit) within(now time.Duration) int {
	n := 0
	for _, at := range c.at {
		if now-at < coldWindow {
			n++
		}
	}
	return n
}

// coldFull tells whether the target is cold and has had as many new flows as it bears. An
// agent that has just started beside a target that was there before doesn't know how many
// it had.
func (e *Engine) coldFull(now time.Duration) bool {
	perSecond := e.table.ColdPerSecond(e.target.service)
	if perSecond <= 0 || now >= e.target.coldTill {
		return false
	}
	if e.target.older && now-e.startedAt < coldWindow {
		return true
	}
	return e.cold.within(now) >= int(perSecond*max(1, e.cfg.ColdOverage)+e.cfg.ColdSlack)
}
