package replica

import (
	"context"
	"slices"
	"time"

	"bergamotstall/internal/raft"
)

// barrier is a read that waits to be as new as every answered write.
type barrier struct {
	done chan error
	// over is the moment after which the core is asked again: the question or
	// its answer may be lost.
	over time.Duration
	ctx  context.Context
}

// releasedRead waits until an index is applied.
type releasedRead struct {
	index    raft.Index
	barriers []*barrier
}

// Barrier waits until the local state machine is at least as new as every write
// that was answered, by any replica, before the call. It fails, with ErrNoLeader
// or ErrTimeout as the reason, where that can't be known before ctx ends.
func (r *Replica) Barrier(ctx context.Context) error {
	b := &barrier{done: make(chan error, 1), ctx: ctx}
	select {
	case <-r.stopping:
		return notRun(r.endReason())
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
		return notRun(r.endReason())
	}
}

// startReads asks the core once for all barriers that came since the last time.
func (r *Replica) startReads() {
	r.fresh = slices.DeleteFunc(r.fresh, func(b *barrier) bool { return b.ctx.Err() != nil })
	if len(r.fresh) == 0 {
		return
	}
	r.lastNumber++
	if r.core.Read(r.lastNumber) != nil {
		return // no leader yet: asked again at the next input
	}
	over := r.now() + r.cfg.ElectionTimeout
	for _, b := range r.fresh {
		b.over = over
	}
	r.reads[r.lastNumber] = r.fresh
	r.fresh = nil
}

func (r *Replica) releaseRead(read raft.ReadResult) {
	barriers, ok := r.reads[read.Context]
	if !ok {
		return
	}
	delete(r.reads, read.Context)
	r.released = append(r.released, releasedRead{index: read.Index, barriers: barriers})
}

// finishReads ends the barriers whose index is applied.
func (r *Replica) finishReads() {
	r.released = slices.DeleteFunc(r.released, func(x releasedRead) bool {
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

// expireReads asks anew for reads without an answer.
func (r *Replica) expireReads() {
	now := r.now()
	for n, barriers := range r.reads {
		if barriers[0].over < now {
			delete(r.reads, n)
			r.fresh = append(r.fresh, barriers...)
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
	fail(r.fresh)
	for _, barriers := range r.reads {
		fail(barriers)
	}
	for _, x := range r.released {
		fail(x.barriers)
	}
}
