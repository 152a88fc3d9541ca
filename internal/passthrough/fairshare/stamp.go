package fairshare

import "math"

// Stamp is a client's usage as a balancer states it in one byte with a first packet, on a
// logarithmic scale; 0 if the balancer doesn't state it, as builds before did.
type Stamp uint8

// stampsPerDoubling is the resolution of a stamp: steps of 9 %, up to 2^31 flows.
const stampsPerDoubling = 8

// StampOf returns the stamp of a usage in flows.
func StampOf(flows float64) Stamp {
	return Stamp(min(math.MaxUint8, 1+math.Round(stampsPerDoubling*math.Log2(1+max(0, flows)))))
}

// Flows returns the usage that a stamp states.
func (s Stamp) Flows() float64 {
	if s == 0 {
		return 0
	}
	return math.Exp2(float64(s-1)/stampsPerDoubling) - 1
}
