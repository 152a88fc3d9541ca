package fairshare

import "math"

// Stamp is a client's usage as a balancer states it in one byte with a first packet, on a
// logarithmic scale; 0 if the balancer doesn't state it, as builds before did.
type Stamp uint8

const (
	// stampsPerDoubling is the resolution of a stamp: steps of 9 %.
	stampsPerDoubling = 8
	// maxStated is the highest usage, in flows, that one node takes from another. A client
	// that is wrongly stated to have used more would go last for minutes.
	maxStated = 1 << 16
)

// StampOf returns the stamp of a usage in flows.
func StampOf(flows float64) Stamp {
	return Stamp(min(math.MaxUint8, 1+math.Round(stampsPerDoubling*math.Log2(1+max(0, flows)))))
}

// Flows returns the usage that a stamp states.
func (s Stamp) Flows() float64 {
	if s == 0 {
		return 0
	}
	return min(maxStated, math.Exp2(float64(s-1)/stampsPerDoubling)-1)
}
