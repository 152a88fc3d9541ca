package flowtable

import (
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// SetEvacuated sets whether the data centre is evacuated, so that its targets take no new
// flows.
//
// The agent refuses new flows itself, because a balancer that hasn't received the order
// goes on sending them. Held first packets are returned as well; open flows continue.
func (e *Engine) SetEvacuated(now time.Duration, evacuated bool) {
	if e.evacuated == evacuated {
		return
	}
	e.evacuated = evacuated
	if !evacuated {
		// The target may have restarted meanwhile: it counts as cold until its next
		// announcement.
		e.target.coldUntil = max(e.target.coldUntil, now+e.announcementTimeout())
	}
	e.removeExpired(now)
	e.cfg.Out.Report()
}

// regionAllowed reports whether a flow's route may use targets of this region.
func (e *Engine) regionAllowed(f packet.Flow) bool {
	homes := e.table.AllowedRegions(f.Service)
	return homes == nil || slices.Contains(homes, e.cfg.Region)
}
