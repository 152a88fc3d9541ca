package distribution

import (
	"sync/atomic"
	"time"
)

// snapshotQueue limits the large snapshots sent at once. In a mass restart, a hundred
// concurrent snapshots would share the VM's link, each would take a hundred times as long,
// and changes for all other subscribers would be delayed. A bounded number is sent at once,
// a bounded number of subscribers waits in order of arrival, and the others are told when
// to retry.
type snapshotQueue struct {
	slots      chan struct{}
	queueLimit int64
	queued     atomic.Int64
}

func newSnapshotQueue(slots, queueLimit int) *snapshotQueue {
	return &snapshotQueue{slots: make(chan struct{}, slots), queueLimit: int64(queueLimit)}
}

// join enters the queue; it returns false if the queue is full. The caller then waits for
// a slot by sending to slots, and calls leave once it has one or gives up.
func (q *snapshotQueue) join() bool {
	if q.queued.Add(1) > q.queueLimit+int64(cap(q.slots)-len(q.slots)) {
		q.queued.Add(-1)
		return false
	}
	return true
}

// leave removes the caller from the waiting ones.
func (q *snapshotQueue) leave() { q.queued.Add(-1) }

// release frees a slot.
func (q *snapshotQueue) release() { <-q.slots }

func (q *snapshotQueue) active() int  { return len(q.slots) }
func (q *snapshotQueue) waiting() int { return int(q.queued.Load()) }

// retryAfter estimates when the queue has room: the time to send the snapshots of those
// that wait, at most a minute.
func (q *snapshotQueue) retryAfter(perTable time.Duration) time.Duration {
	rounds := 1 + q.waiting()/max(1, cap(q.slots))
	return min(time.Duration(rounds)*perTable, time.Minute)
}
