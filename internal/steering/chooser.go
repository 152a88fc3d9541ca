package steering

import (
	"math"

	"bergamotstall/internal/table"
)

// Candidate is a target that may be chosen for new flows.
type Candidate struct {
	Agent table.AgentNumber
	// Share is the target's share of the new flows, in any unit; it gets none if 0 or
	// less.
	Share float64
}

// Chooser picks the target of a new flow by weighted rendezvous hashing: for each target,
// the hash of flow and target gives an exponential variate, which is divided by the
// target's share; the smallest wins. The order of all targets by this value is the
// fallback order after a refusal.
type Chooser struct {
	slots []chooserSlot
}

type chooserSlot struct {
	agent        table.AgentNumber
	seed         uint64
	inverseShare float64
}

// NewChooser returns a chooser over the candidates that have a share.
func NewChooser(candidates []Candidate) *Chooser {
	c := &Chooser{slots: make([]chooserSlot, 0, len(candidates))}
	for _, x := range candidates {
		if x.Share <= 0 {
			continue
		}
		c.slots = append(c.slots, chooserSlot{
			agent:        x.Agent,
			seed:         mix(uint64(x.Agent) * goldenGamma),
			inverseShare: 1 / x.Share,
		})
	}
	return c
}

// Len returns the number of targets with a share.
func (c *Chooser) Len() int { return len(c.slots) }

// Choose returns the first choice for a flow, and false if no target has a share.
func (c *Chooser) Choose(flow uint64) (table.AgentNumber, bool) {
	best, lowest := table.AgentNumber(0), math.Inf(1)
	for i := range c.slots {
		s := &c.slots[i]
		u := s.uniform(flow)
		// -ln(u) is at least 1-u, so nearly all logarithms can be skipped.
		if (1-u)*s.inverseShare >= lowest {
			continue
		}
		if d := -math.Log(u) * s.inverseShare; d < lowest {
			best, lowest = s.agent, d
		}
	}
	return best, best != 0
}

// After returns the choice that follows the given agent in the flow's order, and false
// after the last one. After an agent without a share it returns the first choice.
func (c *Chooser) After(flow uint64, agent table.AgentNumber) (table.AgentNumber, bool) {
	floor := math.Inf(-1)
	for i := range c.slots {
		if c.slots[i].agent == agent {
			floor = c.slots[i].draw(flow)
		}
	}
	best, lowest := table.AgentNumber(0), math.Inf(1)
	for i := range c.slots {
		s := &c.slots[i]
		d := s.draw(flow)
		if d > floor && d < lowest {
			best, lowest = s.agent, d
		}
	}
	return best, best != 0
}

// draw returns the slot's exponential variate for a flow, divided by its share.
func (s *chooserSlot) draw(flow uint64) float64 {
	return -math.Log(s.uniform(flow)) * s.inverseShare
}

// uniform returns the slot's uniform variate for a flow, in the open interval from 0 to
// 1.
func (s *chooserSlot) uniform(flow uint64) float64 {
	// 53 bits, plus one half so that the logarithm is finite.
	return (float64(mix(flow^s.seed)>>11) + 0.5) * (1.0 / (1 << 53))
}

const goldenGamma = 0x9e3779b97f4a7c15

// mix is the finalizer of SplitMix64. It only has to distribute the values: the flow's
// hash is a keyed SipHash, which resists attacks.
func mix(x uint64) uint64 {
	x += goldenGamma
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
