package flowtable

import (
	"time"

	"bergamotstall/internal/passthrough/patience"
)

// outlook returns how fast the target serves.
func (e *Engine) outlook(now time.Duration) patience.Outlook {
	o := patience.Outlook{Handshake: e.latencies.handshake, Service: e.latencies.service, Capacity: e.capacity()}
	if since := max(e.load.answeredAt, e.load.busySince); since > 0 && len(e.admission.queue) > 0 {
		o.SinceAnswer = now - since
	}
	return o
}

// expectedWait is how long a first packet that arrives now waits for its turn if all that
// waits already goes first; 0 while there is room.
func (e *Engine) expectedWait(now time.Duration) time.Duration {
	if len(e.admission.queue) == 0 && !e.busy(now) {
		return 0
	}
	o := e.outlook(now)
	return min(o.Wait(len(e.admission.queue), 0), maxReportedWait)
}

// maxReportedWait bounds the wait that a report states: no caller waits that long.
const maxReportedWait = time.Minute
