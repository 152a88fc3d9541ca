package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/events"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/idempotency"
	"bergamotstall/internal/table"
)

const (
	// sweepEvery is how often a keeper forgets what is out of date.
	sweepEvery = 10 * time.Second
	// handoverTime bounds the handover to one peer at a planned stop.
	handoverTime = 5 * time.Second
)

// keeper guards this agent's votes.
type keeper struct {
	mu    sync.Mutex
	agent table.AgentNumber
	votes *idempotency.Voter
}

// keep runs one step of the keeper; it does nothing before the agent has its
// number.
func (x *Relay) keep(step func(k *idempotency.Voter, nowMS int64)) {
	x.keeper.mu.Lock()
	defer x.keeper.mu.Unlock()
	if x.keeper.votes != nil {
		step(x.keeper.votes, x.now().Milliseconds())
	}
}

// resetKeeper starts a keeper that knows nothing where the agent has a new
// number, and follows the service's key window.
func (x *Relay) resetKeeper(lookback time.Duration) {
	x.keeper.mu.Lock()
	defer x.keeper.mu.Unlock()
	agent := x.self()
	if agent == 0 {
		return
	}
	if x.keeper.agent != agent {
		x.keeper.agent = agent
		x.keeper.votes = idempotency.NewVoter(agent, idempotency.Limits{}, lookback)
	}
	x.keeper.votes.SetLookback(lookback)
}

// window returns how long this service's keys are valid.
func (x *Relay) window() time.Duration {
	if t := x.table.Load(); t != nil {
		if s, ok := t.ServiceNamed(x.cfg.Service); ok && s.KeyWindowMS > 0 {
			return time.Duration(s.KeyWindowMS) * time.Millisecond
		}
	}
	return idempotency.DefaultWindow
}

// vote answers a claimant.
func (x *Relay) vote(r idempotency.Request) idempotency.Reply {
	reply := idempotency.Reply{State: idempotency.Closed}
	if !idempotency.MayVote(x.table.Load(), x.self(), x.tableAge(), x.cfg.Clock().UnixMilli()) {
		x.count.add("claims.vote-stale")
		return reply
	}
	x.keep(func(k *idempotency.Voter, nowMS int64) { reply = k.Vote(nowMS, r) })
	if reply.State == idempotency.Full {
		x.count.add("claims.vote-full")
		x.complain(events.ClaimsFull)
	}
	return reply
}

func (x *Relay) tableAge() time.Duration {
	if x.cfg.TableAge == nil {
		return 0
	}
	return x.cfg.TableAge()
}

// heard is one keeper's reply on its way to the claimant.
type heard struct {
	from  table.AgentNumber
	reply *idempotency.Reply
}

// claim asks keepers until the try is decided.
func (x *Relay) claim(ctx context.Context, r idempotency.Request, t *table.Table, rows []idempotency.Member) (*idempotency.Claim, idempotency.Verdict) {
	lookback := idempotency.Lookback(x.window())
	try := idempotency.NewClaim(r, rows, x.cfg.Clock().UnixMilli(), lookback.Milliseconds())
	replies := make(chan heard, len(rows))
	begun := time.Now()
	defer func() { x.count.addN("claims.micros", time.Since(begun).Microseconds()) }()
	for {
		for _, n := range try.NextVoters() {
			go func() { replies <- heard{n, x.askKeeper(ctx, t, n, r)} }()
		}
		if v := try.Verdict(); v != idempotency.Pending {
			return try, v
		}
		h := <-replies
		try.RecordReply(h.from, h.reply)
	}
}

// askKeeper returns a keeper's reply, nil where none comes.
func (x *Relay) askKeeper(ctx context.Context, t *table.Table, n table.AgentNumber, r idempotency.Request) *idempotency.Reply {
	if n == x.self() {
		reply := x.vote(r)
		return &reply
	}
	var reply idempotency.Reply
	if err := x.tell(ctx, t, n, kindClaim, &r, &reply); err != nil {
		x.count.add("claims.keeper-silent")
		return nil
	}
	return &reply
}

// tell sends one message to a peer and waits for its answer.
func (x *Relay) tell(ctx context.Context, t *table.Table, n table.AgentNumber, kind framing.Kind, m msgp.Marshaler, answer msgp.Unmarshaler) error {
	to, ok := t.Target(n)
	if !ok {
		return errWrongPeer
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return x.frames.call(ctx, to, kind, m, answer)
}

// tellAll tells everyone who may hold a vote how a try ended, in the
// background: callers don't wait for it. The returned channel is closed when all
// have heard or couldn't be reached.
func (x *Relay) tellAll(try *idempotency.Claim, kind framing.Kind, m msgp.Marshaler, own func(*idempotency.Voter, int64)) <-chan struct{} {
	t := x.table.Load()
	var told sync.WaitGroup
	for _, n := range try.Asked() {
		if n == x.self() {
			x.keep(own)
			continue
		}
		told.Go(func() {
			if err := x.tell(context.Background(), t, n, kind, m, &Done{}); err != nil {
				x.count.add("claims.keeper-silent")
			}
		})
	}
	done := make(chan struct{})
	x.background.Go(func() {
		told.Wait()
		close(done)
	})
	return done
}

func (x *Relay) releaseKey(try *idempotency.Claim) <-chan struct{} {
	r := idempotency.Release{Key: try.Request().Key, ID: try.Request().ID}
	return x.tellAll(try, kindRelease, &r, func(k *idempotency.Voter, nowMS int64) { k.Release(nowMS, r) })
}

// finishKey tells in the background: the caller has its answer already.
func (x *Relay) finishKey(try *idempotency.Claim, standing idempotency.KeyState, answer *idempotency.Response) {
	f := idempotency.Finish{Request: try.Request(), State: standing, Response: answer}
	x.tellAll(try, kindFinish, &f, func(k *idempotency.Voter, nowMS int64) { k.Finish(nowMS, f) })
}

// handOverKeys closes the keeper and gives what it knows to the service's other
// agents. Without it, keys that two stopped agents kept are refused until the
// lookback is over.
func (x *Relay) handOverKeys() {
	t := x.table.Load()
	if t == nil || x.self() == 0 {
		return
	}
	var h idempotency.Handover
	x.keep(func(k *idempotency.Voter, nowMS int64) { h = k.Close(nowMS) })
	own, _ := t.Target(x.self())
	var wait sync.WaitGroup
	for _, peer := range t.TargetsOf(own.Service) {
		if peer.Agent != own.Agent && peer.State != table.Retired {
			wait.Go(func() { x.handOverTo(peer, &h) })
		}
	}
	wait.Wait()
	events.Log(x.log, events.ClaimsHandedOver, logrus.Fields{"keys": len(h.Records)})
}

func (x *Relay) handOverTo(peer table.Target, h *idempotency.Handover) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTime)
	defer cancel()
	var taken idempotency.HandoverReply
	err := x.frames.call(ctx, peer, kindHandover, h, &taken)
	if err == nil && taken.OK {
		x.count.add("claims.handovers")
		return
	}
	x.count.add("claims.handovers-failed")
	events.Log(x.log, events.ClaimsNotHandedOver, logrus.Fields{"agent": peer.Agent, "host": peer.Host, "error": err})
}
