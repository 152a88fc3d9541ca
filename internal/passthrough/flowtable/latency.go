package flowtable

import "time"

// latencies are observed means. They aren't constants, because targets become slow, are
// cold after a start, and differ between installations, as does the network to the
// callers.
type latencies struct {
	// handshake is the mean time from a flow's admission to its first request, service
	// from a request to its answer; 0 until something was observed.
	handshake, service time.Duration
}

const (
	// meanWeight is the number of observations over which a mean extends.
	meanWeight = 8
	// hungFactor is how many times the mean service time a request may take before it
	// counts as hung, minHungAfter the least time that it may take.
	hungFactor   = 6
	minHungAfter = 400 * time.Millisecond
	// hungScanInterval is the time between two scans for hung requests.
	hungScanInterval = 100 * time.Millisecond
)

// observe adds an observation to a mean.
func observe(mean *time.Duration, took time.Duration) {
	if *mean == 0 {
		*mean = took
		return
	}
	*mean += (took - *mean) / meanWeight
}

// hungAfter is how long a request may run before it counts as hung.
func (p *latencies) hungAfter() time.Duration { return max(minHungAfter, hungFactor*p.service) }

// completionsPerHandshake is how many of the requests in the slots finish during one
// handshake.
func (p *latencies) completionsPerHandshake(slots int) int {
	if p.service == 0 {
		return 0
	}
	return min(slots, int(float64(slots)*float64(p.handshake)/float64(p.service)+0.5))
}
