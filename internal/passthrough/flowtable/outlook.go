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

// expectedWait is how long a first packet that arrives now waits for its turn: those who
// can still be answered in time go first; 0 while there is room.
func (e *Engine) expectedWait(now time.Duration) time.Duration {
	if !e.busy(now) {
		return 0
	}
	e.classify(now)
	ahead := 0
	for i := range e.admission.queue {
		if e.admission.queue[i].caller.Class == patience.InTime {
			ahead++
		}
	}
	o := e.outlook(now)
	return min(max(o.Wait(ahead, 0), minReportedWait), maxReportedWait)
}

// minReportedWait is reported by a target without room that is faster, or whose pace isn't
// known: 0 stands for room.
const minReportedWait = time.Millisecond

// maxReportedWait bounds the wait that a report states: no caller waits that long.
const maxReportedWait = time.Minute
