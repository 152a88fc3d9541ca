package experiment

import (
	"math/rand/v2"
	"time"

	"bergamotstall/internal/placement"
	"bergamotstall/internal/table"
)

var sizes = []size{
	{"7 hosts x 7 slots", 7, 7},
	{"3 hosts x 7 slots", 3, 7},
	{"7 hosts x 4 slots", 7, 4},
	{"3 hosts x 4 slots", 3, 4},
}

func shortWork(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(meanWork))
}

// mixedWork makes 2% of the requests take 25 times as long as the mean of the rest, and
// keeps the overall mean close to meanWork.
func mixedWork(rng *rand.Rand) time.Duration {
	if rng.IntN(50) == 0 {
		return 25 * meanWork * 2 / 3
	}
	return time.Duration(rng.ExpFloat64() * float64(meanWork) * 2 / 3)
}

var scenarios = []scenario{
	{name: "even load", load: 0.6, work: shortWork},
	{name: "burst", load: 0.4, work: shortWork, burstFactor: 4},
	{name: "few heavy callers", load: 0.6, work: shortWork, heavyCallers: 3},
	{name: "one slow target", load: 0.5, work: shortWork, slowFactor: 4},
	{name: "long among short", load: 0.6, work: mixedWork},
	{name: "saturation", load: 1.3, work: shortWork},
	{name: "cold start", load: 0.6, work: shortWork, coldAt: 10 * time.Second},
	{name: "data centre drained", load: 0.5, work: shortWork, drainDataCentre: true},
	{name: "preset switched at peak", load: 0.8, work: shortWork, shiftWeights: true},
}

// active reports whether a host may get new work.
func (l *loop) active(i int) bool {
	return l.hosts[i].target.State == table.Active && l.share(l.hosts[i]) > 0
}

func (l *loop) peersOf(home int) []placement.Peer {
	var out []placement.Peer
	for i, h := range l.hosts {
		if i != home && l.active(i) {
			out = append(out, placement.Peer{Agent: h.target.Agent, Near: l.hosts[home].target.DataCentre == h.target.DataCentre, Share: l.share(h)})
		}
	}
	return out
}

// sendToPeer sends the request to a peer; it arrives after half a round trip.
func (l *loop) sendToPeer(r *loopRequest, to int) {
	r.triedHosts = append(r.triedHosts, to)
	l.after(l.roundTripTime(r.home, to)/2, func() { l.offer(r, to) })
}

// waitAtHome offers the request to its home host, or to any active peer if the home
// host isn't active.
func (l *loop) waitAtHome(r *loopRequest) {
	if l.active(r.home) {
		l.offer(r, r.home)
		return
	}
	for i := range l.hosts {
		if peer := (r.home + i + l.rng.IntN(len(l.hosts))) % len(l.hosts); l.active(peer) {
			l.sendToPeer(r, peer)
			return
		}
	}
	l.countRefused(r)
}

func overflowRandom(l *loop, r *loopRequest) {
	peers := l.peersOf(r.home)
	if len(peers) == 0 {
		l.waitAtHome(r)
		return
	}
	l.sendToPeer(r, int(peers[l.rng.IntN(len(peers))].Agent)-1)
}

func overflowRoundRobin(l *loop, r *loopRequest) {
	peers := l.peersOf(r.home)
	if len(peers) == 0 {
		l.waitAtHome(r)
		return
	}
	l.nextPeer++
	l.sendToPeer(r, int(peers[l.nextPeer%len(peers)].Agent)-1)
}

// overflowLeastReported sends to the peer with the lowest load in the last reports.
func overflowLeastReported(l *loop, r *loopRequest) {
	best := -1
	for _, p := range l.peersOf(r.home) {
		i := int(p.Agent) - 1
		if best < 0 || l.hosts[i].report.Running+l.hosts[i].report.Waiting < l.hosts[best].report.Running+l.hosts[best].report.Waiting {
			best = i
		}
	}
	if best < 0 {
		l.waitAtHome(r)
		return
	}
	l.sendToPeer(r, best)
}

// overflowProbes probes drawn peers and picks one by placement.Best, near peers first,
// like package proxy.
func overflowProbes(l *loop, r *loopRequest) { l.probe(r, true, placement.Best) }

// overflowProbesAnyDistance draws from near and far peers alike.
func overflowProbesAnyDistance(l *loop, r *loopRequest) { l.probe(r, false, placement.Best) }

// overflowByRunning compares only the number of running requests, not how long they
// take.
func overflowByRunning(l *loop, r *loopRequest) { l.probe(r, true, leastRunning) }

func leastRunning(_ placement.Load, loads []placement.Load) int {
	best := -1
	for i, l := range loads {
		if l.Room() && (best < 0 || l.Running < loads[best].Running) {
			best = i
		}
	}
	return best
}

// overflowFarOnlyWhenFull probes far peers only if the home host is full.
func overflowFarOnlyWhenFull(l *loop, r *loopRequest) {
	if l.loadOf(l.hosts[r.home]).Room() {
		l.probeNear(r)
		return
	}
	overflowProbes(l, r)
}

func (l *loop) probeNear(r *loopRequest) {
	drawn := placement.DrawUpTo(l.rng, l.peersOf(r.home), true, nil, l.tuning.probesPerRound)
	if len(drawn) == 0 {
		l.waitAtHome(r)
		return
	}
	l.probes += len(drawn)
	l.after(nearRTT, func() {
		var loads []placement.Load
		for _, p := range drawn {
			loads = append(loads, l.loadOf(l.hosts[p.Agent-1]))
		}
		if i := placement.Best(l.loadOf(l.hosts[r.home]), loads); i >= 0 {
			l.sendToPeer(r, int(drawn[i].Agent)-1)
			return
		}
		l.waitAtHome(r)
	})
}

// probe probes peers in rounds. A round takes one round trip, so the loads it compares
// are half a round trip old.
func (l *loop) probe(r *loopRequest, nearFirst bool, choose func(placement.Load, []placement.Load) int) {
	peers := l.peersOf(r.home)
	if !nearFirst {
		for i := range peers {
			peers[i].Near = false
		}
	}
	var round func(near bool)
	round = func(near bool) {
		drawn := placement.DrawUpTo(l.rng, peers, near, nil, l.tuning.probesPerRound)
		if len(drawn) == 0 {
			l.nextRound(near, round, r)
			return
		}
		l.probes += len(drawn)
		rtt := nearRTT
		if !near {
			rtt = farRTT
		}
		loads := make([]placement.Load, len(drawn))
		l.after(rtt/2, func() {
			for i, p := range drawn {
				loads[i] = l.loadOf(l.hosts[p.Agent-1])
			}
		})
		l.after(rtt, func() {
			if i := choose(l.loadOf(l.hosts[r.home]), loads); i >= 0 {
				l.sendToPeer(r, int(drawn[i].Agent)-1)
				return
			}
			l.nextRound(near, round, r)
		})
	}
	round(nearFirst)
}

func (l *loop) nextRound(near bool, round func(bool), r *loopRequest) {
	if near {
		round(false)
		return
	}
	l.waitAtHome(r)
}

// overflowPriority tries a fixed list of hosts in order, a different list for each home
// host, near hosts first. It tries the next host only if the previous one is busy, and
// each busy host costs a round trip. The tables name the policy after the paper it comes
// from.
func overflowPriority(l *loop, r *loopRequest) {
	var list []int
	n := len(l.hosts)
	for _, near := range []bool{true, false} {
		for d := 1; d < n; d++ {
			i := (r.home + d) % n
			if l.active(i) && near == (l.hosts[i].target.DataCentre == l.hosts[r.home].target.DataCentre) {
				list = append(list, i)
			}
		}
	}
	var next func(k int)
	next = func(k int) {
		if k == len(list) || k == 3 {
			l.waitAtHome(r)
			return
		}
		l.probes++
		l.after(l.roundTripTime(r.home, list[k])/2, func() {
			if l.loadOf(l.hosts[list[k]]).Room() {
				r.triedHosts = append(r.triedHosts, list[k])
				l.offer(r, list[k])
				return
			}
			l.after(l.roundTripTime(r.home, list[k])/2, func() { next(k + 1) })
		})
	}
	next(0)
}

func noOverflow(l *loop, r *loopRequest) { l.waitAtHome(r) }

var policies = []policy{
	{name: "hash only", overflow: noOverflow},
	{name: "hash, bounded flows", overflow: noOverflow, boundedFlows: true},
	{name: "random, all requests", overflow: overflowRandom, everyRequest: true},
	{name: "round robin, all requests", overflow: overflowRoundRobin, everyRequest: true},
	{name: "overflow: random", overflow: overflowRandom},
	{name: "overflow: least loaded, 10 s old", overflow: overflowLeastReported},
	{name: "overflow: priority list (paper)", overflow: overflowPriority},
	{name: "overflow: two probes, any", overflow: overflowProbesAnyDistance},
	{name: "overflow: two probes, by running", overflow: overflowByRunning},
	{name: "overflow: two probes", overflow: overflowProbes},
	{name: "early: two probes, any", overflow: overflowProbesAnyDistance, belowLimit: true},
	{name: "early: two probes, far only when full", overflow: overflowFarOnlyWhenFull, belowLimit: true},
	{name: currentPolicyName, overflow: overflowProbes, belowLimit: true},
	{name: "early: two probes, bounded flows", overflow: overflowProbes, belowLimit: true, boundedFlows: true},
}

// currentPolicyName is the policy that package proxy implements.
const currentPolicyName = "early: two probes (kept)"

var defaultTuning = tuning{probesPerRound: placement.Draws, probeThreshold: placement.ProbeThreshold, queueLimit: 16, overloadAfter: 500 * time.Millisecond}
