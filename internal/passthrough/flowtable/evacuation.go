package flowtable

import (
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// SetEvacuated tells whether the data centre's targets take no new flows.
//
// The agent refuses them itself, since a balancer that hasn't heard of the order goes on
// sending. First packets that wait are handed back as well; flows that are open go on.
func (e *Engine) SetEvacuated(now time.Duration, evacuated bool) {
	if e.evacuated == evacuated {
		return
	}
	e.evacuated = evacuated
	if !evacuated {
		// The target may have been restarted meanwhile; its next announcement says.
		e.target.coldTill = max(e.target.coldTill, now+e.overdue())
	}
	e.dropOverdue(now)
	e.cfg.Out.Report()
}

// atHome tells whether a flow's route may use targets of this region.
func (e *Engine) atHome(f packet.Flow) bool {
	homes := e.table.AllowedRegions(f.Service)
	return homes == nil || slices.Contains(homes, e.cfg.Region)
}
