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

func short(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(baseWork))
}

// longAmongShort keeps the mean: 2% take 25 times as long as the rest.
func longAmongShort(rng *rand.Rand) time.Duration {
	if rng.IntN(50) == 0 {
		return 25 * baseWork * 2 / 3
	}
	return time.Duration(rng.ExpFloat64() * float64(baseWork) * 2 / 3)
}

var scenarios = []scenario{
	{name: "even load", load: 0.6, work: short},
	{name: "burst", load: 0.4, work: short, burst: 4},
	{name: "few heavy callers", load: 0.6, work: short, heavy: 3},
	{name: "one slow target", load: 0.5, work: short, slow: 4},
	{name: "long among short", load: 0.6, work: longAmongShort},
	{name: "saturation", load: 1.3, work: short},
	{name: "cold start", load: 0.6, work: short, coldAt: 10 * time.Second},
	{name: "data centre drained", load: 0.5, work: short, drain: true},
	{name: "preset switched at peak", load: 0.8, work: short, shift: true},
}

// active tells whether a host may get new work.
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

// send moves the request to a peer, half a round trip away.
func (l *loop) send(r *loopRequest, to int) {
	r.tries = append(r.tries, to)
	l.after(l.rtt(r.home, to)/2, func() { l.offer(r, to) })
}

// stay lets the request wait at home, or at any peer where home takes nothing.
func (l *loop) stay(r *loopRequest) {
	if l.active(r.home) {
		l.offer(r, r.home)
		return
	}
	for i := range l.hosts {
		if peer := (r.home + i + l.rng.IntN(len(l.hosts))) % len(l.hosts); l.active(peer) {
			l.send(r, peer)
			return
		}
	}
	l.countRefused(r)
}

func overflowRandom(l *loop, r *loopRequest) {
	peers := l.peersOf(r.home)
	if len(peers) == 0 {
		l.stay(r)
		return
	}
	l.send(r, int(peers[l.rng.IntN(len(peers))].Agent)-1)
}

func overflowRoundRobin(l *loop, r *loopRequest) {
	peers := l.peersOf(r.home)
	if len(peers) == 0 {
		l.stay(r)
		return
	}
	l.turn++
	l.send(r, int(peers[l.turn%len(peers)].Agent)-1)
}

// overflowStale sends to the peer that looked least loaded in its last report.
func overflowStale(l *loop, r *loopRequest) {
	best := -1
	for _, p := range l.peersOf(r.home) {
		i := int(p.Agent) - 1
		if best < 0 || l.hosts[i].report.Running+l.hosts[i].report.Waiting < l.hosts[best].report.Running+l.hosts[best].report.Waiting {
			best = i
		}
	}
	if best < 0 {
		l.stay(r)
		return
	}
	l.send(r, best)
}

// overflowProbes is the product's: placement.Draw and placement.Best, near peers first.
func overflowProbes(l *loop, r *loopRequest) { l.probe(r, true, placement.Best) }

// overflowAny draws near and far peers alike.
func overflowAny(l *loop, r *loopRequest) { l.probe(r, false, placement.Best) }

// overflowByRunning compares only what runs, not how long it takes there.
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

// overflowNearEarly asks far peers only where home is full.
func overflowNearEarly(l *loop, r *loopRequest) {
	if l.loadOf(l.hosts[r.home]).Room() {
		l.probeNear(r)
		return
	}
	overflowProbes(l, r)
}

func (l *loop) probeNear(r *loopRequest) {
	drawn := placement.DrawUpTo(l.rng, l.peersOf(r.home), true, nil, l.tune.draws)
	if len(drawn) == 0 {
		l.stay(r)
		return
	}
	l.probes += len(drawn)
	l.after(nearRTT, func() {
		var loads []placement.Load
		for _, p := range drawn {
			loads = append(loads, l.loadOf(l.hosts[p.Agent-1]))
		}
		if i := placement.Best(l.loadOf(l.hosts[r.home]), loads); i >= 0 {
			l.send(r, int(drawn[i].Agent)-1)
			return
		}
		l.stay(r)
	})
}

// probe asks in rounds; each takes a round trip, then the loads are a half old.
func (l *loop) probe(r *loopRequest, nearFirst bool, choose func(placement.Load, []placement.Load) int) {
	peers := l.peersOf(r.home)
	if !nearFirst {
		for i := range peers {
			peers[i].Near = false
		}
	}
	var round func(near bool)
	round = func(near bool) {
		drawn := placement.DrawUpTo(l.rng, peers, near, nil, l.tune.draws)
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
				l.send(r, int(drawn[i].Agent)-1)
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
	l.stay(r)
}

// overflowPriority is the paper's idea: a fixed list for each host, from a plan
// that sends overflow to near and distinct hosts; the next choice only where
// the one before is busy. A busy host costs a round trip.
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
			l.stay(r)
			return
		}
		l.probes++
		l.after(l.rtt(r.home, list[k])/2, func() {
			if l.loadOf(l.hosts[list[k]]).Room() {
				r.tries = append(r.tries, list[k])
				l.offer(r, list[k])
				return
			}
			l.after(l.rtt(r.home, list[k])/2, func() { next(k + 1) })
		})
	}
	next(0)
}

func wait(l *loop, r *loopRequest) { l.stay(r) }

var policies = []policy{
	{name: "hash only", overflow: wait},
	{name: "hash, bounded flows", overflow: wait, bounded: true},
	{name: "random, all requests", overflow: overflowRandom, always: true},
	{name: "round robin, all requests", overflow: overflowRoundRobin, always: true},
	{name: "overflow: random", overflow: overflowRandom},
	{name: "overflow: least loaded, 10 s old", overflow: overflowStale},
	{name: "overflow: priority list (paper)", overflow: overflowPriority},
	{name: "overflow: two probes, any", overflow: overflowAny},
	{name: "overflow: two probes, by running", overflow: overflowByRunning},
	{name: "overflow: two probes", overflow: overflowProbes},
	{name: "early: two probes, any", overflow: overflowAny, early: true},
	{name: "early: two probes, far only when full", overflow: overflowNearEarly, early: true},
	{name: productPolicy, overflow: overflowProbes, early: true},
	{name: "early: two probes, bounded flows", overflow: overflowProbes, early: true, bounded: true},
}

// productPolicy is what package proxy does.
const productPolicy = "early: two probes (kept)"

var standard = tuning{draws: placement.Draws, from: placement.ProbeThreshold, queue: 16, patience: 500 * time.Millisecond}
