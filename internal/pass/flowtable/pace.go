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

// paceMemory is over how many observations a mean goes.
const paceMemory = 8

// observe takes one more observation into a mean.
func observe(mean *time.Duration, took time.Duration) {
	if *mean == 0 {
		*mean = took
		return
	}
	*mean += (took - *mean) / paceMemory
}

// endDuringHandshake is how many of the requests in the slots end during one.
func (p *pace) endDuringHandshake(slots int) int {
	if p.service == 0 {
		return 0
	}
	return min(slots, int(float64(slots)*float64(p.handshake)/float64(p.service)+0.5))
}
