package control

import (
	"sync"
	"time"

	"bergamotstall/internal/passthrough/route"
)

// orderTimes records when this VM learned of evacuation orders. VMs' clocks differ and may
// be set, so the age of an order is measured here, on the monotonic clock, from the moment
// at which this VM learned of it. The order is at least as old.
type orderTimes struct {
	mu sync.Mutex
	// revision is that of the evacuations that were observed last.
	revision uint64
	byZone   map[string]orderTime
}

// orderTime records the last order for a data centre.
type orderTime struct {
	revision uint64
	// learnedAt is when this VM learned of the order, previousAt of the one before it.
	learnedAt, previousAt time.Time
}

// observe records the orders that are new. If there are several, the one before the last for
// a data centre may be among them.
func (o *orderTimes) observe(e *route.Evacuations, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e.Revision <= o.revision {
		return // observed already
	}
	single := e.Revision == o.revision+1
	seen := make(map[string]orderTime, len(e.Zones))
	for _, z := range e.Zones {
		last, known := o.byZone[z.Zone]
		if !known || last.revision != z.Revision {
			next := orderTime{revision: z.Revision, learnedAt: now, previousAt: now}
			if known && single {
				next.previousAt = last.learnedAt
			}
			last = next
		}
		seen[z.Zone] = last
	}
	o.revision, o.byZone = e.Revision, seen
}

// mayBeDelayedCopy reports whether an order may be a delayed copy of one that was applied
// and has since been reversed. Operators resend an order for at most resendWindow.
func (o *orderTimes) mayBeDelayedCopy(held *route.Evacuations, order route.EvacuationOrder, now time.Time, resendWindow time.Duration) bool {
	o.observe(held, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	return held.RepeatsEarlierOrder(order) && now.Sub(o.byZone[order.Zone].previousAt) < resendWindow
}
