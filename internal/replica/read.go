package replica

import (
	"context"
	"slices"
	"time"

	"bergamotstall/internal/raft"
)

// barrier is a linearizable read in progress.
type barrier struct {
	done chan error
	// retryAt is when the core is asked again, in case the request or its reply was lost.
	retryAt time.Duration
	ctx     context.Context
}

// indexedRead holds barriers whose read index is known but may not be applied yet.
type indexedRead struct {
	index    raft.Index
	barriers []*barrier
}

// Barrier waits until the local state machine includes every write that any replica
// acknowledged before the call. If that can't be confirmed before ctx ends, it returns a
// RequestError with ErrNoLeader or ErrTimeout as the reason.
func (r *Replica) Barrier(ctx context.Context) error {
	b := &barrier{done: make(chan error, 1), ctx: ctx}
	select {
	case <-r.stopping:
		return notRun(r.stopReason())
	default:
	}
	select {
	case r.barriers <- b:
	default:
		r.count.refusedBusy.Add(1)
		return notRun(ErrBusy)
	}
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		r.count.readsTimedOut.Add(1)
		return notRun(ErrTimeout)
	case <-r.ended:
		return notRun(r.stopReason())
	}
}

// startReads starts one read in the core for all new barriers.
func (r *Replica) startReads() {
	r.newBarriers = slices.DeleteFunc(r.newBarriers, func(b *barrier) bool { return b.ctx.Err() != nil })
	if len(r.newBarriers) == 0 {
		return
	}
	number := r.nextNumber()
	if r.core.Read(number) != nil {
		return // no leader yet: retried after the next input
	}
	retryAt := r.now() + r.cfg.ElectionTimeout
	for _, b := range r.newBarriers {
		b.retryAt = retryAt
	}
	r.reads[number] = r.newBarriers
	r.newBarriers = nil
}

// recordReadIndex records the read index of the barriers that wait for it.
func (r *Replica) recordReadIndex(read raft.ReadResult) {
	barriers, ok := r.reads[read.Context]
	if !ok {
		return
	}
	delete(r.reads, read.Context)
	r.indexedReads = append(r.indexedReads, indexedRead{index: read.Index, barriers: barriers})
}

// finishReads completes the barriers whose index is applied.
func (r *Replica) finishReads() {
	r.indexedReads = slices.DeleteFunc(r.indexedReads, func(x indexedRead) bool {
		if x.index > r.applied {
			return false
		}
		for _, b := range x.barriers {
			b.done <- nil
		}
		r.count.reads.Add(int64(len(x.barriers)))
		return true
	})
}

// expireReads retries reads that got no reply in time.
func (r *Replica) expireReads() {
	now := r.now()
	for n, barriers := range r.reads {
		if barriers[0].retryAt < now {
			delete(r.reads, n)
			r.newBarriers = append(r.newBarriers, barriers...)
			r.count.readsRetried.Add(int64(len(barriers)))
		}
	}
}

func (r *Replica) failReads(reason error) {
	fail := func(barriers []*barrier) {
		for _, b := range barriers {
			b.done <- notRun(reason)
		}
	}
	fail(r.newBarriers)
	for _, barriers := range r.reads {
		fail(barriers)
	}
	for _, x := range r.indexedReads {
		fail(x.barriers)
	}
}
