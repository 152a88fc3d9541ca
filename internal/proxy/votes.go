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
	// sweepInterval is how often a voter removes expired records.
	sweepInterval = 10 * time.Second
	// handoverTimeout bounds the handover of records to one peer at a planned shutdown.
	handoverTimeout = 5 * time.Second
)

// lockedVoter guards this agent's voter.
type lockedVoter struct {
	mu    sync.Mutex
	agent table.AgentNumber
	voter *idempotency.Voter
}

// withVoter calls step with the voter locked. It does nothing before the agent has its
// number.
func (x *Proxy) withVoter(step func(v *idempotency.Voter, nowMS int64)) {
	x.voter.mu.Lock()
	defer x.voter.mu.Unlock()
	if x.voter.voter != nil {
		step(x.voter.voter, x.now().Milliseconds())
	}
}

// configureVoter replaces the voter by one without records if the agent has a new number,
// and sets how long the voter keeps new records.
func (x *Proxy) configureVoter(lookback time.Duration) {
	x.voter.mu.Lock()
	defer x.voter.mu.Unlock()
	agent := x.self()
	if agent == 0 {
		return
	}
	if x.voter.agent != agent {
		x.voter.agent = agent
		x.voter.voter = idempotency.NewVoter(agent, idempotency.Limits{}, lookback)
	}
	x.voter.voter.SetLookback(lookback)
}

// keyWindow returns how long this service's keys are valid.
func (x *Proxy) keyWindow() time.Duration {
	if t := x.table.Load(); t != nil {
		if s, ok := t.ServiceNamed(x.cfg.Service); ok && s.KeyWindowMS > 0 {
			return time.Duration(s.KeyWindowMS) * time.Millisecond
		}
	}
	return idempotency.DefaultWindow
}

// vote handles a claim's request.
func (x *Proxy) vote(r idempotency.Request) idempotency.Reply {
	reply := idempotency.Reply{State: idempotency.Closed}
	if !idempotency.MayVote(x.table.Load(), x.self(), x.tableAge(), x.cfg.Clock().UnixMilli()) {
		x.counters.add("claims.vote-stale")
		return reply
	}
	x.withVoter(func(v *idempotency.Voter, nowMS int64) { reply = v.Vote(nowMS, r) })
	if reply.State == idempotency.Full {
		x.counters.add("claims.vote-full")
		x.logRepeated(events.ClaimsKeyLimitReached)
	}
	return reply
}

func (x *Proxy) tableAge() time.Duration {
	if x.cfg.TableAge == nil {
		return 0
	}
	return x.cfg.TableAge()
}

// voterReply is one voter's reply to a claim.
type voterReply struct {
	from  table.AgentNumber
	reply *idempotency.Reply
}

// runClaim asks voters until the claim is decided.
func (x *Proxy) runClaim(ctx context.Context, r idempotency.Request, t *table.Table, members []idempotency.Member) (*idempotency.Claim, idempotency.Verdict) {
	lookback := idempotency.Lookback(x.keyWindow())
	claim := idempotency.NewClaim(r, members, x.cfg.Clock().UnixMilli(), lookback.Milliseconds())
	replies := make(chan voterReply, len(members))
	start := time.Now()
	defer func() { x.counters.addN("claims.micros", time.Since(start).Microseconds()) }()
	for {
		for _, n := range claim.NextVoters() {
			go func() { replies <- voterReply{n, x.askVoter(ctx, t, n, r)} }()
		}
		if v := claim.Verdict(); v != idempotency.Pending {
			return claim, v
		}
		r := <-replies
		claim.RecordReply(r.from, r.reply)
	}
}

// askVoter returns a voter's reply, nil if none arrives.
func (x *Proxy) askVoter(ctx context.Context, t *table.Table, n table.AgentNumber, r idempotency.Request) *idempotency.Reply {
	if n == x.self() {
		reply := x.vote(r)
		return &reply
	}
	var reply idempotency.Reply
	if err := x.callPeer(ctx, t, n, kindClaim, &r, &reply); err != nil {
		x.counters.add("claims.keeper-silent")
		return nil
	}
	return &reply
}

// callPeer sends one message to a peer and waits for its reply.
func (x *Proxy) callPeer(ctx context.Context, t *table.Table, n table.AgentNumber, kind framing.Kind, m msgp.Marshaler, reply msgp.Unmarshaler) error {
	to, ok := t.Target(n)
	if !ok {
		return errWrongPeer
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return x.frames.call(ctx, to, kind, m, reply)
}

// notifyVoters tells all voters that were asked how a claim ended. It does so in the
// background: callers don't wait for it. The returned channel is closed when each voter
// has replied or couldn't be reached.
func (x *Proxy) notifyVoters(claim *idempotency.Claim, kind framing.Kind, m msgp.Marshaler, own func(*idempotency.Voter, int64)) <-chan struct{} {
	t := x.table.Load()
	var sent sync.WaitGroup
	for _, n := range claim.Asked() {
		if n == x.self() {
			x.withVoter(own)
			continue
		}
		sent.Go(func() {
			if err := x.callPeer(context.Background(), t, n, kind, m, &Ack{}); err != nil {
				x.counters.add("claims.keeper-silent")
			}
		})
	}
	done := make(chan struct{})
	x.background.Go(func() {
		sent.Wait()
		close(done)
	})
	return done
}

func (x *Proxy) releaseKey(claim *idempotency.Claim) <-chan struct{} {
	r := idempotency.Release{Key: claim.Request().Key, ID: claim.Request().ID}
	return x.notifyVoters(claim, kindRelease, &r, func(v *idempotency.Voter, nowMS int64) { v.Release(nowMS, r) })
}

// finishKey reports the end of a claimed request to the voters, without waiting for them.
func (x *Proxy) finishKey(claim *idempotency.Claim, state idempotency.KeyState, response *idempotency.Response) {
	f := idempotency.Finish{Request: claim.Request(), State: state, Response: response}
	x.notifyVoters(claim, kindFinish, &f, func(v *idempotency.Voter, nowMS int64) { v.Finish(nowMS, f) })
}

// handOverRecords closes the voter and sends its records to the service's other agents.
// Without it, keys of which two voters have shut down would be refused until the lookback
// is over.
func (x *Proxy) handOverRecords() {
	t := x.table.Load()
	if t == nil || x.self() == 0 {
		return
	}
	var h idempotency.Handover
	x.withVoter(func(v *idempotency.Voter, nowMS int64) { h = v.Close(nowMS) })
	own, _ := t.Target(x.self())
	var wait sync.WaitGroup
	for _, peer := range t.TargetsOf(own.Service) {
		if peer.Agent != own.Agent && peer.State != table.Retired {
			wait.Go(func() { x.handOverToPeer(peer, &h) })
		}
	}
	wait.Wait()
	events.Log(x.log, events.ClaimsHandedOver, logrus.Fields{"keys": len(h.Records)})
}

func (x *Proxy) handOverToPeer(peer table.Target, h *idempotency.Handover) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	var taken idempotency.HandoverReply
	err := x.frames.call(ctx, peer, kindHandover, h, &taken)
	if err == nil && taken.OK {
		x.counters.add("claims.handovers")
		return
	}
	x.counters.add("claims.handovers-failed")
	events.Log(x.log, events.ClaimsNotHandedOver, logrus.Fields{"agent": peer.Agent, "host": peer.Host, "error": err})
}
