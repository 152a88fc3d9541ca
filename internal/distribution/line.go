package distribution

import (
	"sync/atomic"
	"time"
)

// line admits subscribers that need a whole table. The pattern it answers is a
// mass restart: without it a hundred tables at once would share the VM's link,
// each would take a hundred times as long, and changes for all others would
// wait behind them. A bounded number is under way, a bounded number waits in
// order of arrival, and the rest is told when to come again.
type line struct {
	places chan struct{}
	limit  int64
	queue  atomic.Int64
}

func newLine(places, waiting int) *line {
	return &line{places: make(chan struct{}, places), limit: int64(waiting)}
}

// join takes a place in the queue; false where it is full. Sending to places
// then waits for admission; whoever joined calls left once it has.
func (l *line) join() bool {
	if l.queue.Add(1) > l.limit+int64(cap(l.places)-len(l.places)) {
		l.queue.Add(-1)
		return false
	}
	return true
}

func (l *line) left() { l.queue.Add(-1) }

// done gives back a place.
func (l *line) done() { <-l.places }

func (l *line) active() int  { return len(l.places) }
func (l *line) waiting() int { return int(l.queue.Load()) }

// retryAfter estimates when the queue will have room: the time in which those
// waiting get their tables.
func (l *line) retryAfter(perTable time.Duration) time.Duration {
	rounds := 1 + l.waiting()/max(1, cap(l.places))
	return min(time.Duration(rounds)*perTable, time.Minute)
}
