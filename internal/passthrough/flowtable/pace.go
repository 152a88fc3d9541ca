package flowtable

import "time"

// pace is how fast callers and the target are, as observed. Targets turn slow, are
// cold after a start, and differ from one installation to the next, as does the way
// to the callers.
type pace struct {
	// handshake is the mean time from a flow's admission to its first request,
	// service from a request to its answer; 0 while nothing was observed.
	handshake, service time.Duration
}

const (
	// paceMemory is over how many observations a mean goes.
	paceMemory = 8
	// hungTimes is how many times the mean a request may take before it counts as hung,
	// hungLeast the least time that it may.
	hungTimes = 6
	hungLeast = 400 * time.Millisecond
	// hungScan is the time between two looks for hung requests.
	hungScan = 100 * time.Millisecond
)

// observe takes one more observation into a mean.
func observe(mean *time.Duration, took time.Duration) {
	if *mean == 0 {
		*mean = took
		return
	}
	*mean += (took - *mean) / paceMemory
}

// hungAfter is how long a request may run before it is taken to hang.
func (p *pace) hungAfter() time.Duration { return max(hungLeast, hungTimes*p.service) }

// endDuringHandshake is how many of the requests in the slots end during one.
func (p *pace) endDuringHandshake(slots int) int {
	if p.service == 0 {
		return 0
	}
	return min(slots, int(float64(slots)*float64(p.handshake)/float64(p.service)+0.5))
}
