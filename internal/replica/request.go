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

// request is a proposal or membership change, local or forwarded.
type request struct {
	forward
	// state is requestWaiting until the loop takes the request or its caller stops
	// waiting. A taken request becomes requestCallerGone too if its caller stops waiting.
	state atomic.Uint32
	// answer is called once, from the loop.
	answer func(result)
	// remote requests came from another replica and aren't forwarded again.
	remote bool
}

const (
	requestWaiting uint32 = iota
	requestTaken
	requestCallerGone
)

type result struct {
	outcome []byte
	err     error
}

// waiter is a request whose entry was appended to the log.
type waiter struct {
	term    raft.Term
	request *request
}

// forwarded is a request that was sent to the leader.
type forwarded struct {
	leader  raft.ID
	request *request
}

// retryDelay is the mean delay before a request that certainly didn't run is retried. An
// election takes some hundred milliseconds.
const retryDelay = 30 * time.Millisecond

// Propose commits a command and returns its outcome. It may be called on any replica; one
// that doesn't lead forwards the command. While no leader is reachable it retries until
// ctx ends. An error matches ErrNotRun if the command will never run, or
// ErrOutcomeUnknown if it may.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > r.cfg.CommandLimit {
		r.count.refusedLarge.Add(1)
		return nil, notRun(errors.Wrapf(ErrTooLarge, "%d bytes", len(command)))
	}
	return r.submit(ctx, forward{Op: opPropose, Command: command})
}

// submit attempts a request until it has run, may have run, or ctx ends.
func (r *Replica) submit(ctx context.Context, f forward) ([]byte, error) {
	for {
		res := r.attempt(ctx, f)
		if res.err == nil || !isRetryable(res.err) {
			return res.outcome, res.err
		}
		r.count.retries.Add(1)
		delay := retryDelay/2 + mathrand.N(retryDelay)
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, res.err
		case <-r.ended:
			return nil, notRun(r.stopReason())
		}
	}
}

// isRetryable reports whether a request certainly didn't run because leadership was
// changing.
func isRetryable(err error) bool {
	if !errors.Is(err, ErrNotRun) {
		return false
	}
	for _, reason := range []error{ErrNoLeader, ErrOverwritten, raft.ErrNotLeader, raft.ErrNoLeader} {
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
		return result{err: notRun(r.stopReason())}
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
	return r.abandon(q, done, ctx)
}

// abandon ends a request whose caller has stopped waiting, or whose replica has stopped.
func (r *Replica) abandon(q *request, done chan result, ctx context.Context) result {
	reason := error(ErrTimeout)
	if ctx.Err() == nil {
		reason = r.stopReason()
	}
	if q.state.CompareAndSwap(requestWaiting, requestCallerGone) {
		return result{err: notRun(reason)}
	}
	select {
	case res := <-done:
		return res
	default:
	}
	q.state.Store(requestCallerGone)
	r.count.unknown.Add(1)
	return result{err: outcomeUnknown(reason)}
}

func (r *Replica) stopReason() error {
	if r.Err() != nil {
		return ErrFailed
	}
	return ErrClosed
}

// handleRequest handles a request in the loop.
func (r *Replica) handleRequest(q *request) {
	if !q.state.CompareAndSwap(requestWaiting, requestTaken) {
		return
	}
	if r.core.IsLeader() {
		r.appendRequest(q)
		return
	}
	leader := r.core.Leader()
	if leader == 0 || q.remote {
		r.count.refusedNoLeader.Add(1)
		q.answer(result{err: notRun(ErrNoLeader)})
		return
	}
	q.Number = r.nextNumber()
	if !r.links.send(leader, kindForward, &q.forward) {
		r.count.refusedNoLeader.Add(1)
		q.answer(result{err: notRun(ErrNoLeader)})
		return
	}
	r.count.forwarded.Add(1)
	r.forwards[q.Number] = forwarded{leader: leader, request: q}
}

// nextNumber returns the number of a new forwarded request or read.
func (r *Replica) nextNumber() uint64 {
	r.lastNumber++
	return r.lastNumber
}

// appendRequest appends a request to the leader's log.
func (r *Replica) appendRequest(q *request) {
	pos, err := r.appendOperation(q)
	if err != nil {
		r.count.refusedByCore.Add(1)
		q.answer(result{err: notRun(err)})
		return
	}
	r.waiters[pos.Index] = waiter{term: pos.Term, request: q}
}

func (r *Replica) appendOperation(q *request) (raft.Position, error) {
	switch q.Op {
	case opPropose:
		return r.core.Propose(q.Command)
	case opAdd:
		return r.core.AddLearner(q.Member)
	case opRemove:
		return r.core.RemoveMember(q.MemberID)
	case opReplace:
		return r.replace(q.MemberID)
	case opHandOver:
		return r.core.ReplaceByStandby(q.MemberID)
	}
	return raft.Position{}, errOther
}

// completeRequest replies to the request at a committed index. An entry of another term
// there means that the request's own entry was overwritten and can never be committed.
func (r *Replica) completeRequest(e raft.Entry, outcome []byte) {
	w, ok := r.waiters[e.Index]
	if !ok {
		return
	}
	delete(r.waiters, e.Index)
	if w.term != e.Term {
		w.request.answer(result{err: notRun(ErrOverwritten)})
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

// failForwards ends the requests that were sent to a leader other than the given one:
// that leader may have appended them.
func (r *Replica) failForwards(leader raft.ID) {
	for n, f := range r.forwards {
		if f.leader != leader {
			delete(r.forwards, n)
			r.count.unknown.Add(1)
			f.request.answer(result{err: outcomeUnknown(ErrLostLeader)})
		}
	}
}

// dropAbandonedForwards removes forwarded requests whose callers have stopped waiting. A
// reply lost with its connection never arrives, so under a long-lived leader they would
// accumulate.
func (r *Replica) dropAbandonedForwards() {
	maps.DeleteFunc(r.forwards, func(_ uint64, f forwarded) bool {
		return f.request.state.Load() == requestCallerGone
	})
}

// handleForward handles a request from another replica.
func (r *Replica) handleForward(from raft.ID, f forward) {
	number := f.Number
	q := &request{forward: f, remote: true}
	q.answer = func(res result) {
		reply := forwardReply{Number: number, Verdict: verdictDone, Outcome: res.outcome}
		if res.err != nil {
			reply.Reason = reasonCodeOf(res.err)
			reply.Verdict = verdictUnknown
			if errors.Is(res.err, ErrNotRun) {
				reply.Verdict = verdictNotRun
			}
		}
		r.links.send(from, kindForwardReply, &reply)
	}
	r.handleRequest(q)
}

func (r *Replica) handleForwardReply(f forwardReply) {
	w, ok := r.forwards[f.Number]
	if !ok {
		return
	}
	delete(r.forwards, f.Number)
	switch f.Verdict {
	case verdictDone:
		w.request.answer(result{outcome: f.Outcome})
	case verdictNotRun:
		w.request.answer(result{err: notRun(reasonForCode(f.Reason))})
	default:
		w.request.answer(result{err: outcomeUnknown(reasonForCode(f.Reason))})
	}
}
