package replica

import (
	"context"
	"maps"
	mathrand "math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/raft"
)

// request is one wish of a caller, local or forwarded.
type request struct {
	forward
	// state goes from waiting to taken or abandoned, once.
	state atomic.Uint32
	// answer is called once, from the loop.
	answer func(result)
	// remote requests are not forwarded again.
	remote bool
}

const (
	requestWaiting uint32 = iota
	requestTaken
	requestAbandoned
)

type result struct {
	outcome []byte
	err     error
}

// waiter is a request whose entry is in the log.
type waiter struct {
	term    raft.Term
	request *request
}

// forwarded is a request that is at the leader.
type forwarded struct {
	leader  raft.ID
	request *request
}

// retryPause is the mean wait before a request that surely did not run is tried
// again. An election takes some hundred milliseconds.
const retryPause = 30 * time.Millisecond

// Propose has a command committed and returns its outcome. Any replica takes
// it; one that doesn't lead forwards it. While no leader is within reach it
// tries again until ctx ends. An error matches ErrNotRun, and the command will
// never run, or ErrOutcomeUnknown, and it may.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > r.cfg.CommandLimit {
		r.count.refusedLarge.Add(1)
		return nil, notRun(errors.Wrapf(ErrTooLarge, "%d bytes", len(command)))
	}
	return r.do(ctx, forward{Op: opPropose, Command: command})
}

// do tries a request until it has run, may have run, or ctx ends.
func (r *Replica) do(ctx context.Context, f forward) ([]byte, error) {
	for {
		res := r.attempt(ctx, f)
		if res.err == nil || !worthRetry(res.err) {
			return res.outcome, res.err
		}
		r.count.retries.Add(1)
		pause := retryPause/2 + mathrand.N(retryPause)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, res.err
		case <-r.ended:
			return nil, notRun(r.endReason())
		}
	}
}

// worthRetry holds for requests that surely did not run because of where the
// lead was just then.
func worthRetry(err error) bool {
	if !errors.Is(err, ErrNotRun) {
		return false
	}
	for _, reason := range []error{ErrNoLeader, ErrOverwrote, raft.ErrNotLeader, raft.ErrNoLeader} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

func (r *Replica) attempt(ctx context.Context, f forward) result {
	done := make(chan result, 1)
	q := &request{forward: f, answer: func(res result) { done <- res }}
	select {
	case <-r.stopping:
		return result{err: notRun(r.endReason())}
	default:
	}
	select {
	case r.requests <- q:
	default:
		r.count.refusedBusy.Add(1)
		return result{err: notRun(ErrBusy)}
	}
	select {
	case res := <-done:
		return res
	case <-ctx.Done():
	case <-r.ended:
	}
	return r.giveUp(q, done, ctx)
}

// giveUp ends a request whose caller waits no longer, or whose replica ended.
func (r *Replica) giveUp(q *request, done chan result, ctx context.Context) result {
	reason := error(ErrTimeout)
	if ctx.Err() == nil {
		reason = r.endReason()
	}
	if q.state.CompareAndSwap(requestWaiting, requestAbandoned) {
		return result{err: notRun(reason)}
	}
	select {
	case res := <-done:
		return res
	default:
	}
	q.state.Store(requestAbandoned)
	r.count.unknown.Add(1)
	return result{err: unknown(reason)}
}

func (r *Replica) endReason() error {
	if r.Err() != nil {
		return ErrFailed
	}
	return ErrClosed
}

// take handles one request in the loop.
func (r *Replica) take(q *request) {
	if !q.state.CompareAndSwap(requestWaiting, requestTaken) {
		return
	}
	if r.core.IsLeader() {
		r.lead(q)
		return
	}
	leader := r.core.Leader()
	if leader == 0 || q.remote {
		r.count.refusedNoLeader.Add(1)
		q.answer(result{err: notRun(ErrNoLeader)})
		return
	}
	r.lastNumber++
	q.Number = r.lastNumber
	if !r.links.send(leader, kindForward, &q.forward) {
		r.count.refusedNoLeader.Add(1)
		q.answer(result{err: notRun(ErrNoLeader)})
		return
	}
	r.count.forwarded.Add(1)
	r.forwards[q.Number] = forwarded{leader: leader, request: q}
}

// lead appends a request to the log.
func (r *Replica) lead(q *request) {
	place, err := r.append(q)
	if err != nil {
		r.count.refusedByCore.Add(1)
		q.answer(result{err: notRun(err)})
		return
	}
	r.waiters[place.Index] = waiter{term: place.Term, request: q}
}

func (r *Replica) append(q *request) (raft.Position, error) {
	switch q.Op {
	case opPropose:
		return r.core.Propose(q.Command)
	case opAdd:
		return r.core.AddLearner(q.Member)
	case opRemove:
		return r.core.RemoveMember(q.Target)
	case opReplace:
		return r.replace(q.Target)
	}
	return raft.Position{}, errOther
}

// settle answers the request whose place in the log is now committed. Another
// term's entry in that place means that the request's own can't ever be.
func (r *Replica) settle(e raft.Entry, outcome []byte) {
	w, ok := r.waiters[e.Index]
	if !ok {
		return
	}
	delete(r.waiters, e.Index)
	if w.term != e.Term {
		w.request.answer(result{err: notRun(ErrOverwrote)})
		return
	}
	w.request.answer(result{outcome: outcome})
}

func (r *Replica) failWaiters(which func(raft.Index) bool, err error) {
	for i, w := range r.waiters {
		if which(i) {
			delete(r.waiters, i)
			r.count.unknown.Add(1)
			w.request.answer(result{err: err})
		}
	}
}

// failForwards ends requests at another than the present leader: it may have
// appended them.
func (r *Replica) failForwards(leader raft.ID) {
	for n, f := range r.forwards {
		if f.leader != leader {
			delete(r.forwards, n)
			r.count.unknown.Add(1)
			f.request.answer(result{err: unknown(ErrLostLeader)})
		}
	}
}

// dropForwards forgets requests at the leader whose callers wait no longer. A
// reply that was lost with its connection never comes, and under a leader that
// stays for weeks they would pile up.
func (r *Replica) dropForwards() {
	maps.DeleteFunc(r.forwards, func(_ uint64, f forwarded) bool {
		return f.request.state.Load() == requestAbandoned
	})
}

// takeForward handles a request from another replica.
func (r *Replica) takeForward(from raft.ID, f forward) {
	number := f.Number
	q := &request{forward: f, remote: true}
	q.answer = func(res result) {
		reply := forwardReply{Number: number, Verdict: verdictDone, Outcome: res.outcome}
		if res.err != nil {
			reply.Reason = codeOf(res.err)
			reply.Verdict = verdictUnknown
			if errors.Is(res.err, ErrNotRun) {
				reply.Verdict = verdictNotRun
			}
		}
		r.links.send(from, kindForwardReply, &reply)
	}
	r.take(q)
}

func (r *Replica) takeForwardReply(f forwardReply) {
	w, ok := r.forwards[f.Number]
	if !ok {
		return
	}
	delete(r.forwards, f.Number)
	switch f.Verdict {
	case verdictDone:
		w.request.answer(result{outcome: f.Outcome})
	case verdictNotRun:
		w.request.answer(result{err: notRun(reasonOf(f.Reason))})
	default:
		w.request.answer(result{err: unknown(reasonOf(f.Reason))})
	}
}
