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
	// maxProbeRounds is near peers, then far ones.
	maxProbeRounds = 2
	// probeTime is how long a request waits for peers' loads: eight round trips
	// between data centres, half of usual work. Later, starting here is better.
	probeTime = 25 * time.Millisecond
	// probePause is how long a peer that was late isn't asked.
	probePause = 2 * time.Second
)

// route is where an attempt goes: to a peer, or here.
type route struct {
	here bool
	peer table.Target
}

// run makes attempts until one has a final result.
func (x *Relay) run(c *call) result {
	x.fresh()
	var tried []table.AgentNumber
	next, ok := x.route(c, nil)
	if !ok {
		return refused(ReasonDraining)
	}
	for made := 1; ; made++ {
		res := x.attempt(c, next, &tried)
		if res.outcome == 0 || c.ctx.Err() != nil {
			return res
		}
		if !x.again(c, res, made) {
			return res
		}
		if next, ok = x.route(c, tried); !ok {
			x.count.add("retries.no-other-target")
			return res
		}
		x.count.add("retries.made")
		res.close()
		res.settle()
	}
}

func (x *Relay) attempt(c *call, r route, tried *[]table.AgentNumber) result {
	c.newAttempt()
	if r.here {
		*tried = append(*tried, x.self())
		return x.runHere(c)
	}
	*tried = append(*tried, r.peer.Agent)
	return x.runAt(c, r.peer)
}

// again asks the retry decision, and counts its reason where it says no.
func (x *Relay) again(c *call, res result, made int) bool {
	a := retry.Attempt{
		Outcome:    res.outcome,
		Repeatable: c.repeatable() || (res.outcome == retry.Shed && x.cfg.ShedUnrun),
		Made:       made,
		Deadline:   x.deadlineOf(c),
		Need:       x.gate.load().Hold,
	}
	if !c.resendable() {
		x.count.add("retries.refused.body-sent")
		return false
	}
	x.budgetMu.Lock()
	reason, ok := x.budget.Again(x.now(), a)
	x.budgetMu.Unlock()
	if !ok {
		x.count.add("retries.refused." + string(reason))
	}
	return ok
}

func (x *Relay) fresh() {
	x.budgetMu.Lock()
	defer x.budgetMu.Unlock()
	x.budget.Fresh(x.now())
}

// route picks the next place: here, a peer that promises an earlier answer, or
// where nobody has room, here to wait, or any peer that takes work.
func (x *Relay) route(c *call, tried []table.AgentNumber) (route, bool) {
	here := !x.drained() && !slices.Contains(tried, x.self())
	home := x.load()
	home.Closed = !here || !x.fit(c)
	if home.Room() && (c.isFeed() || !placement.LookAround(home)) {
		return route{here: true}, true
	}
	peers := x.peers()
	if peer, ok := x.probe(c.ctx, home, peers, tried); ok {
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

// isFeed tells whether the caller asks for a feed. A feed moves only where it
// can't start here: at a peer it hangs on two agents for hours, and since it
// holds no slot, leaving it here costs nothing.
func (c *call) isFeed() bool {
	return strings.Contains(c.request.Header.Get("Accept"), eventStream)
}

// peers returns the other agents that may get new work.
func (x *Relay) peers() []placement.Peer {
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
		if p.Service == own.Service && p.Agent != own.Agent && p.State == table.Active && !x.silent.paused(p.Agent, x.now()) {
			out = append(out, placement.Peer{Agent: p.Agent, Near: p.DataCentre == own.DataCentre, Share: slowstart.Share(p, now)})
		}
	}
	return out
}

// probe asks a few peers for their load, near ones first, and returns the best
// that has room and is better than home.
func (x *Relay) probe(ctx context.Context, home placement.Load, peers []placement.Peer, tried []table.AgentNumber) (table.Target, bool) {
	t := x.table.Load()
	for round := range maxProbeRounds {
		drawn := placement.Draw(x.rng(), peers, round == 0, tried)
		loads := x.loadsOf(ctx, t, drawn)
		if i := placement.Best(home, loads); i >= 0 {
			return t.Target(drawn[i].Agent)
		}
	}
	return table.Target{}, false
}

// loadsOf asks peers at the same time. One that doesn't answer in time counts as
// closed.
func (x *Relay) loadsOf(ctx context.Context, t *table.Table, peers []placement.Peer) []placement.Load {
	loads := make([]placement.Load, len(peers))
	var wait sync.WaitGroup
	for i, p := range peers {
		wait.Go(func() { loads[i] = x.loadOf(ctx, t, p.Agent) })
	}
	wait.Wait()
	return loads
}

// loadOf asks one peer. The question itself goes on when the wait is over, so
// that a connection that is slow to open is there for the next one.
func (x *Relay) loadOf(ctx context.Context, t *table.Table, peer table.AgentNumber) placement.Load {
	x.count.add("peers.probes")
	answer := make(chan placement.Load, 1)
	go func() {
		var r LoadReport
		if err := x.tell(context.WithoutCancel(ctx), t, peer, kindProbe, &Probe{}, &r); err != nil {
			answer <- placement.Load{Closed: true}
			return
		}
		answer <- placement.Load{
			Slots: r.Slots, Running: r.Running, Waiting: r.Waiting,
			Hold: time.Duration(r.HoldMicros) * time.Microsecond, Closed: r.Closed,
		}
	}()
	timer := time.NewTimer(probeTime)
	defer timer.Stop()
	select {
	case l := <-answer:
		return l
	case <-timer.C:
		x.count.add("peers.probes-late")
		x.silent.note(peer, x.now()+probePause)
	case <-ctx.Done():
	}
	return placement.Load{Closed: true}
}

// silence remembers peers that let a probe wait. A dead VM answers nothing until
// control has taken it out; without the pause each request that draws it would
// wait for the whole probe time.
type silence struct {
	mu    sync.Mutex
	until map[table.AgentNumber]time.Duration
}

func (s *silence) note(peer table.AgentNumber, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[table.AgentNumber]time.Duration{}
	}
	s.until[peer] = until
}

// paused tells whether the peer isn't to be asked now.
func (s *silence) paused(peer table.AgentNumber, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[peer]
	if ok && until <= now {
		delete(s.until, peer)
	}
	return ok && until > now
}

// load is this host's own, as its agent knows it.
func (x *Relay) load() placement.Load {
	l := x.gate.load()
	return placement.Load{Slots: l.Slots, Running: l.Running, Waiting: l.Waiting, Hold: l.Hold}
}

func (x *Relay) loadReport() *LoadReport {
	l := x.load()
	return &LoadReport{
		Slots: l.Slots, Running: l.Running, Waiting: l.Waiting,
		HoldMicros: l.Hold.Microseconds(), Closed: x.drained() || x.ill(),
	}
}

// anyPeer is for a host that can't take the request itself while all peers are
// full: one of them lets it wait.
func (x *Relay) anyPeer(peers []placement.Peer, tried []table.AgentNumber) (table.Target, bool) {
	t := x.table.Load()
	for _, near := range []bool{true, false} {
		if drawn := placement.Draw(x.rng(), peers, near, tried); len(drawn) > 0 {
			return t.Target(drawn[0].Agent)
		}
	}
	return table.Target{}, false
}

// rng returns a source of randomness for one decision.
func (x *Relay) rng() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// answered is a target's answer. A shed one may be tried elsewhere.
func answered(resp *http.Response, p *pass) result {
	r := result{resp: resp, pass: p}
	if resp.StatusCode == http.StatusServiceUnavailable {
		r.outcome = retry.Shed
	}
	return r
}

// isKeyed tells whether the claim rules apply.
func (c *call) isKeyed() bool { return !c.safe && c.request.Header.Get(HeaderKey) != "" }

func formatSum(s idempotency.Hash) string { return encodeHex(s[:]) }
