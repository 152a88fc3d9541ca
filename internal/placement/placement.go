// Package placement decides which other agent of the service gets a request that
// this host can't run now. It has no network and no clock; loads and randomness
// come in as arguments.
//
// Load patterns and rules:
//
//   - A burst on one host while others are idle, long work among short, a slow
//     target: flows are spread by a hash, so one host may be full for seconds
//     while its neighbours have free slots. Without hand-over its callers wait
//     for nothing.
//   - Lagging or lying load reports: hosts that look idle in a ten-second-old
//     report get everybody's overflow at once. So a few peers are asked at the
//     moment of need, and their agents answer with what they carry themselves.
//   - Everybody choosing the best: of two peers drawn at random the better one
//     is taken (power of two choices). Two draws are enough to avoid full hosts,
//     and too few for all to pick the same one.
//   - Distance: peers of the same data centre are asked first, others only where
//     none of these has room.
//   - Saturation: with no room anywhere a request stays where it is; moving it
//     from queue to queue costs messages and gains nothing.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"bergamotstall/internal/table"
)

const (
	// Draws is how many peers are asked at once; see docs/PLACEMENT.md.
	Draws = 2
	// ProbeThreshold is the part of its slots at which a host begins to look for a peer
	// with less to do; see docs/PLACEMENT.md.
	ProbeThreshold = 0.5
)

// Peer is another agent that may get work.
type Peer struct {
	Agent table.AgentNumber
	// Near is set for peers of the same data centre.
	Near bool
	// Share is the peer's relative weight for new work (package slowstart).
	Share float64
}

// Load is what a peer says about itself when asked.
type Load struct {
	// Slots is its limit, Running and Waiting what is there now.
	Slots, Running, Waiting int
	// Hold is the mean time that a request keeps a slot there.
	Hold time.Duration
	// Closed is set by a peer that takes no new work.
	Closed bool
}

// Room tells whether a request would start at once.
func (l Load) Room() bool { return !l.Closed && l.Waiting == 0 && l.Running < l.Slots }

// Draw picks up to Draws peers to ask, by share, near ones only or far ones
// only. tried peers are left out.
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
		i := drawOne(rng, fit)
		out = append(out, fit[i])
		fit = append(fit[:i], fit[i+1:]...)
	}
	return out
}

// drawOne picks an index with a probability in proportion to the share.
func drawOne(rng *rand.Rand, peers []Peer) int {
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

// ShouldProbe tells whether a host with this load asks peers about a new request,
// though it may have a slot free.
func ShouldProbe(home Load) bool { return ShouldProbeFrom(home, ProbeThreshold) }

// ShouldProbeFrom is ShouldProbe from another part of the slots, for experiments.
func ShouldProbeFrom(home Load, from float64) bool {
	return !home.Room() || float64(home.Running) >= from*float64(home.Slots)
}

// Best returns the index of the peer that promises the earliest answer among
// those with room, -1 where none has. A home with room keeps the request unless
// the peer promises better.
func Best(home Load, loads []Load) int {
	best := -1
	for i, l := range loads {
		if l.Room() && (best < 0 || expected(l) < expected(loads[best])) {
			best = i
		}
	}
	if best >= 0 && home.Room() && expected(loads[best]) >= expected(home) {
		return -1
	}
	return best
}

// expected is the cost of one more request: the usual time there, more where
// much runs already. A slow target shows in Hold, a busy one in Running.
func expected(l Load) time.Duration {
	hold := max(l.Hold, time.Millisecond)
	return hold * time.Duration(l.Running+1) / time.Duration(max(l.Slots, 1))
}
