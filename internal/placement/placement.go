// Package placement selects another agent of the service for a request that this host
// can't run now. It does no network I/O and reads no clock; loads and the random source
// are arguments.
//
// The load patterns and the rules that answer them:
//
//   - A burst on one host while others are idle, long requests among short ones, a slow
//     target: flows are distributed by a hash, so one host may be full for seconds while
//     others have free slots. Without handing requests over, its callers would wait
//     needlessly.
//   - Load reports that lag or are wrong: hosts that look idle in a ten-second-old report
//     would get every host's overflow at once. Therefore a few peers are probed when the
//     request arrives, and their agents answer with their present load.
//   - Every host selecting the best peer: of two peers drawn at random the better one is
//     taken (power of two choices). Two draws are enough to avoid full hosts, and too few
//     for all hosts to select the same one.
//   - Distance: peers in the same data centre are probed first, others only if none of
//     these has room.
//   - Saturation: if no peer has room, a request stays where it is; moving it from queue
//     to queue costs messages and gains nothing.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"bergamotstall/internal/table"
)

const (
	// Draws is how many peers are probed at once; see docs/PLACEMENT.md.
	Draws = 2
	// ProbeThreshold is the fraction of its slots in use from which a host looks for a less loaded
	// peer; see docs/PLACEMENT.md.
	ProbeThreshold = 0.5
)

// Peer is another agent that a request may be handed to.
type Peer struct {
	Agent table.AgentNumber
	// Near is set for peers in the same data centre.
	Near bool
	// Share is the peer's relative weight for new requests (package slowstart).
	Share float64
}

// Load is a peer's answer to a probe.
type Load struct {
	// Slots is the limit of running requests, Running and Waiting are the present
	// numbers.
	Slots, Running, Waiting int
	// Hold is the mean time that a request occupies a slot.
	Hold time.Duration
	// Closed is set by a peer that takes no new requests.
	Closed bool
}

// Room reports whether a request would start at once.
func (l Load) Room() bool { return !l.Closed && l.Waiting == 0 && l.Running < l.Slots }

// Draw draws up to Draws peers to probe, weighted by their share. It draws among the near
// or among the far peers, and leaves out the peers in tried.
func Draw(rng *rand.Rand, peers []Peer, near bool, tried []table.AgentNumber) []Peer {
	return DrawUpTo(rng, peers, near, tried, Draws)
}

// DrawUpTo is Draw with another number of peers, for experiments.
func DrawUpTo(rng *rand.Rand, peers []Peer, near bool, tried []table.AgentNumber, draws int) []Peer {
	var fit []Peer
	for _, p := range peers {
		if p.Near == near && p.Share > 0 && !slices.Contains(tried, p.Agent) {
			fit = append(fit, p)
		}
	}
	var out []Peer
	for len(out) < draws && len(fit) > 0 {
		i := drawWeighted(rng, fit)
		out = append(out, fit[i])
		fit = append(fit[:i], fit[i+1:]...)
	}
	return out
}

// drawWeighted returns the index of a peer drawn with a probability proportional to its
// share.
func drawWeighted(rng *rand.Rand, peers []Peer) int {
	sum := 0.0
	for _, p := range peers {
		sum += p.Share
	}
	at := rng.Float64() * sum
	for i, p := range peers {
		at -= p.Share
		if at < 0 {
			return i
		}
	}
	return len(peers) - 1
}

// ShouldProbe reports whether a host with this load probes peers for a new request, even
// if it has a free slot.
func ShouldProbe(home Load) bool { return ShouldProbeFrom(home, ProbeThreshold) }

// ShouldProbeFrom is ShouldProbe with another threshold, for experiments.
func ShouldProbeFrom(home Load, from float64) bool {
	return !home.Room() || float64(home.Running) >= from*float64(home.Slots)
}

// Best returns the index of the peer with the earliest expected answer among those with
// room, -1 if none has room. If the home host has room, it returns -1 unless a peer is
// expected to be faster.
func Best(home Load, loads []Load) int {
	best := -1
	for i, l := range loads {
		if l.Room() && (best < 0 || expectedTime(l) < expectedTime(loads[best])) {
			best = i
		}
	}
	if best >= 0 && home.Room() && expectedTime(loads[best]) >= expectedTime(home) {
		return -1
	}
	return best
}

// expectedTime estimates the time for one more request: the mean time at the host, scaled
// by its load. A slow target shows in Hold, a busy one in Running.
func expectedTime(l Load) time.Duration {
	hold := max(l.Hold, time.Millisecond)
	return hold * time.Duration(l.Running+1) / time.Duration(max(l.Slots, 1))
}
