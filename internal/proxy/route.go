package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotstall/internal/idempotency"
	"bergamotstall/internal/placement"
	"bergamotstall/internal/retry"
	"bergamotstall/internal/slowstart"
	"bergamotstall/internal/table"
)

const (
	// maxProbeRounds is one round for near peers and one for far peers.
	maxProbeRounds = 2
	// probeTimeout is how long a request waits for peers' loads: eight round trips
	// between data centres, half the time of a typical request. Beyond that, running the
	// request here is better.
	probeTimeout = 25 * time.Millisecond
	// lateProbePause is how long a peer that answered a probe too late isn't probed.
	lateProbePause = 2 * time.Second
)

// route is where an attempt goes: to this agent's target or to a peer.
type route struct {
	here bool
	peer table.Target
}

// run makes attempts until one of them has a final result.
func (x *Proxy) run(c *call) result {
	x.recordRequest()
	var tried []table.AgentNumber
	next, ok := x.route(c, nil)
	if !ok {
		return refused(ReasonDraining)
	}
	for attempts := 1; ; attempts++ {
		res := x.attempt(c, next, &tried)
		if res.outcome == 0 || c.ctx.Err() != nil {
			return res
		}
		if !x.shouldRetry(c, res, attempts) {
			return res
		}
		if next, ok = x.route(c, tried); !ok {
			x.counters.add("retries.no-other-target")
			return res
		}
		x.counters.add("retries.made")
		res.close()
		res.waitReleased()
	}
}

func (x *Proxy) attempt(c *call, r route, tried *[]table.AgentNumber) result {
	c.newAttemptBody()
	if r.here {
		*tried = append(*tried, x.self())
		return x.runHere(c)
	}
	*tried = append(*tried, r.peer.Agent)
	return x.runAtPeer(c, r.peer)
}

// shouldRetry asks the retry budget for another attempt, and counts the reason if it is
// refused.
func (x *Proxy) shouldRetry(c *call, res result, attempts int) bool {
	a := retry.Attempt{
		Outcome:         res.outcome,
		Repeatable:      c.repeatable() || (res.outcome == retry.Shed && x.cfg.ShedMeansNotRun),
		Attempts:        attempts,
		Deadline:        x.deadlineSinceStart(c),
		TypicalDuration: x.admitter.load().MeanSlotTime,
	}
	if !c.resendable() {
		x.counters.add("retries.refused.body-sent")
		return false
	}
	x.budgetMu.Lock()
	reason, ok := x.budget.TakeRetry(x.now(), a)
	x.budgetMu.Unlock()
	if !ok {
		x.counters.add("retries.refused." + string(reason))
	}
	return ok
}

func (x *Proxy) recordRequest() {
	x.budgetMu.Lock()
	defer x.budgetMu.Unlock()
	x.budget.RecordRequest(x.now())
}

// route chooses where the next attempt goes: here if there is room; else a peer that is
// likely to respond sooner; else here to wait; else any peer that takes requests.
func (x *Proxy) route(c *call, tried []table.AgentNumber) (route, bool) {
	here := !x.isDraining() && !slices.Contains(tried, x.self())
	own := x.load()
	own.Closed = !here || !x.mayUseTarget(c)
	if own.Room() && (c.isFeed() || !placement.ShouldProbe(own)) {
		return route{here: true}, true
	}
	peers := x.peers()
	if peer, ok := x.probe(c.ctx, own, peers, tried); ok {
		return route{peer: peer}, true
	}
	if here {
		return route{here: true}, true
	}
	if peer, ok := x.anyPeer(peers, tried); ok {
		return route{peer: peer}, true
	}
	return route{}, false
}

// isFeed tells whether the caller requests a feed. A feed is forwarded only if it can't
// start here: at a peer it depends on two agents for hours, while here it costs nothing,
// since it holds no slot.
func (c *call) isFeed() bool {
	return strings.Contains(c.request.Header.Get("Accept"), eventStream)
}

// peers returns the other agents of the service that may get new requests.
func (x *Proxy) peers() []placement.Peer {
	t := x.table.Load()
	if t == nil {
		return nil
	}
	own, ok := t.Target(x.self())
	if !ok {
		return nil
	}
	now := x.cfg.Clock().UnixMilli()
	var out []placement.Peer
	for _, p := range t.Targets {
		if p.Service == own.Service && p.Agent != own.Agent && p.State == table.Active && !x.latePeers.paused(p.Agent, x.now()) {
			out = append(out, placement.Peer{Agent: p.Agent, Near: p.DataCentre == own.DataCentre, Share: slowstart.Share(p, now)})
		}
	}
	return out
}

// probe asks a few peers for their load, near ones first, and returns the best one that
// has room and is better than this host.
func (x *Proxy) probe(ctx context.Context, own placement.Load, peers []placement.Peer, tried []table.AgentNumber) (table.Target, bool) {
	t := x.table.Load()
	for round := range maxProbeRounds {
		drawn := placement.Draw(x.newRNG(), peers, round == 0, tried)
		loads := x.probeLoads(ctx, t, drawn)
		if i := placement.Best(own, loads); i >= 0 {
			return t.Target(drawn[i].Agent)
		}
	}
	return table.Target{}, false
}

// probeLoads probes peers concurrently. A peer that doesn't answer in time counts as
// closed.
func (x *Proxy) probeLoads(ctx context.Context, t *table.Table, peers []placement.Peer) []placement.Load {
	loads := make([]placement.Load, len(peers))
	var wait sync.WaitGroup
	for i, p := range peers {
		wait.Go(func() { loads[i] = x.probeLoad(ctx, t, p.Agent) })
	}
	wait.Wait()
	return loads
}

// probeLoad probes one peer. The call continues after the timeout, so that a connection
// that is slow to open is ready for the next probe.
func (x *Proxy) probeLoad(ctx context.Context, t *table.Table, peer table.AgentNumber) placement.Load {
	x.counters.add("peers.probes")
	reply := make(chan placement.Load, 1)
	go func() {
		var r LoadReport
		if err := x.callPeer(context.WithoutCancel(ctx), t, peer, kindProbe, &Probe{}, &r); err != nil {
			reply <- placement.Load{Closed: true}
			return
		}
		reply <- placement.Load{
			Slots: r.Slots, Running: r.Running, Waiting: r.Waiting,
			Hold: time.Duration(r.SlotTimeMicros) * time.Microsecond, Closed: r.Closed,
		}
	}()
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	select {
	case l := <-reply:
		return l
	case <-timer.C:
		x.counters.add("peers.probes-late")
		x.latePeers.pause(peer, x.now()+lateProbePause)
	case <-ctx.Done():
	}
	return placement.Load{Closed: true}
}

// latePeers holds the peers that answered a probe too late. A dead VM doesn't answer
// until control removes it from the table; without the pause, each request that probes it
// would wait for the full timeout.
type latePeers struct {
	mu    sync.Mutex
	until map[table.AgentNumber]time.Duration
}

func (l *latePeers) pause(peer table.AgentNumber, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = map[table.AgentNumber]time.Duration{}
	}
	l.until[peer] = until
}

// paused tells whether the peer isn't to be probed now.
func (l *latePeers) paused(peer table.AgentNumber, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.until[peer]
	if ok && until <= now {
		delete(l.until, peer)
	}
	return ok && until > now
}

// load returns this host's load according to its agent.
func (x *Proxy) load() placement.Load {
	l := x.admitter.load()
	return placement.Load{Slots: l.Slots, Running: l.Running, Waiting: l.Waiting, Hold: l.MeanSlotTime}
}

func (x *Proxy) loadReport() *LoadReport {
	l := x.load()
	return &LoadReport{
		Slots: l.Slots, Running: l.Running, Waiting: l.Waiting,
		SlotTimeMicros: l.Hold.Microseconds(), Closed: x.isDraining() || x.unhealthy(),
	}
}

// anyPeer returns a random peer, near ones first, regardless of its load. It is used if
// this host can't run the request and no peer has room: the request then waits at the
// peer.
func (x *Proxy) anyPeer(peers []placement.Peer, tried []table.AgentNumber) (table.Target, bool) {
	t := x.table.Load()
	for _, near := range []bool{true, false} {
		if drawn := placement.Draw(x.newRNG(), peers, near, tried); len(drawn) > 0 {
			return t.Target(drawn[0].Agent)
		}
	}
	return table.Target{}, false
}

// newRNG returns a random number generator for one decision.
func (x *Proxy) newRNG() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// responseResult returns the result for a target's response. A 503 may be retried
// elsewhere.
func responseResult(resp *http.Response, p *permit) result {
	r := result{resp: resp, permit: p}
	if resp.StatusCode == http.StatusServiceUnavailable {
		r.outcome = retry.Shed
	}
	return r
}

// isKeyed tells whether the request has an idempotency key that applies.
func (c *call) isKeyed() bool { return !c.safe && c.request.Header.Get(HeaderKey) != "" }

func formatHash(s idempotency.Hash) string { return encodeHex(s[:]) }
