package distribution

import (
	"time"

	"golang.org/x/time/rate"

	"bergamotstall/internal/table"
)

// burstSeconds is how many seconds of its byte budget a subscriber may take at
// once after a rest.
const burstSeconds = 2

// writer is the sending half of a stream. It sends one update at a time and the
// next only once that one is acknowledged: what changed meanwhile goes as one
// merged delta, and a slow subscriber has no stale deltas queued in its socket.
type writer struct {
	sub *subscriber
	// sent is the revision that the subscriber will hold once all is delivered.
	sent table.Revision
	// awaiting is set until sent is acknowledged.
	awaiting bool
	pending  []wirePart
	// snapshot is the whole table that waits in line or is under way.
	snapshot *encoded
	inLine   bool
	hasPlace bool
	giveUp   time.Time

	changes, tables *rate.Limiter
}

// wirePart is a part with the limiter that paces it.
type wirePart struct {
	body   encodable
	size   int
	bucket *rate.Limiter
	// due is set once tokens are reserved.
	due time.Time
}

// write runs the sending half until the stream ends.
func (sub *subscriber) write() error {
	cfg := sub.server.cfg
	w := &writer{
		sub:     sub,
		sent:    sub.base(),
		changes: rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), max(burstSeconds*cfg.BytesPerSecond, 2*partSize)),
		tables:  rate.NewLimiter(rate.Limit(cfg.SnapshotBytesPerSecond), max(cfg.SnapshotBytesPerSecond, 2*partSize)),
	}
	defer w.leaveLine()
	if err := sub.send(kindWelcome, &welcome{Control: cfg.Name, Beat: sub.server.beat()}); err != nil {
		return err
	}
	for {
		news, err := w.step(time.Now())
		if err != nil {
			return err
		}
		if done, err := w.wait(news); done {
			return err
		}
	}
}

// step does all that can be done now. It returns the channel that tells of the
// next table.
func (w *writer) step(now time.Time) (<-chan struct{}, error) {
	revision, news := w.sub.server.publisher.state()
	if err := w.sendNumber(); err != nil {
		return nil, err
	}
	w.acknowledged()
	if err := w.prepare(revision); err != nil {
		return nil, err
	}
	return news, w.sendDue(now)
}

// wait returns when there is something to do; done ends the stream.
func (w *writer) wait(news <-chan struct{}) (done bool, err error) {
	if w.awaiting || len(w.pending) > 0 || w.snapshot != nil {
		// The next table goes only after this one.
		news = nil
	}
	var place chan<- struct{}
	if w.inLine {
		place = w.sub.server.line.places
	}
	var tokens <-chan time.Time
	if len(w.pending) > 0 {
		timer := time.NewTimer(time.Until(w.pending[0].due))
		defer timer.Stop()
		tokens = timer.C
	}
	select {
	case <-w.sub.ctx.Done():
		if w.sub.server.ctx.Err() != nil {
			return true, w.sub.server.refuse(w.sub.conn, refusedLeaving)
		}
		return true, nil
	case place <- struct{}{}:
		w.admitted(time.Now())
	case <-news:
	case <-w.sub.wake:
	case <-tokens:
	}
	return false, nil
}

func (w *writer) sendNumber() error {
	sub := w.sub
	sub.mu.Lock()
	n := sub.number
	due := n != sub.numberSent
	sub.numberSent = n
	sub.mu.Unlock()
	if !due {
		return nil
	}
	return w.sub.send(kindNumber, &number{Agent: n})
}

// acknowledged takes in what the subscriber said about its table.
func (w *writer) acknowledged() {
	sub := w.sub
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.resync {
		sub.resync = false
		w.sent, w.awaiting = 0, false
		return
	}
	if w.awaiting && sub.held >= w.sent {
		w.sent, w.awaiting = sub.held, false
	}
}

// prepare picks the next update, where one is needed and none is under way.
func (w *writer) prepare(revision table.Revision) error {
	if w.awaiting || len(w.pending) > 0 || w.snapshot != nil || revision <= w.sent {
		return nil
	}
	sub := w.sub
	sub.mu.Lock()
	held := sub.held
	sub.mu.Unlock()
	e, err := sub.server.publisher.update(sub.view, w.sent, held)
	if err != nil {
		return err
	}
	if e.from != 0 {
		sub.server.count.deltas.Add(1)
		w.queue(e, w.changes)
		return nil
	}
	if e.size <= smallSnapshot {
		sub.server.count.snapshots.Add(1)
		w.queue(e, w.tables)
		return nil
	}
	return w.enterLine(e)
}

func (w *writer) enterLine(e *encoded) error {
	s := w.sub.server
	if !s.line.join() {
		return s.refuseFor(w.sub.conn, refusedBusy, s.line.retryAfter(w.tableTime(e)))
	}
	w.snapshot, w.inLine = e, true
	return nil
}

func (w *writer) tableTime(e *encoded) time.Duration {
	return time.Duration(float64(e.size) / float64(w.sub.server.cfg.SnapshotBytesPerSecond) * float64(time.Second))
}

// admitted starts the table that waited. A subscriber that reads too slowly
// loses its place in the end, or a few such could hold all places.
func (w *writer) admitted(now time.Time) {
	w.sub.server.line.left()
	w.sub.server.count.snapshots.Add(1)
	w.inLine, w.hasPlace = false, true
	w.giveUp = now.Add(4*w.tableTime(w.snapshot) + writeTimeout)
	w.queue(w.snapshot, w.tables)
}

func (w *writer) leaveLine() {
	if w.inLine {
		w.sub.server.line.left()
	}
	if w.hasPlace {
		w.sub.server.line.done()
	}
	w.inLine, w.hasPlace, w.snapshot = false, false, nil
}

func (w *writer) queue(e *encoded, bucket *rate.Limiter) {
	w.sent = e.to
	w.awaiting = true
	for _, p := range e.parts {
		w.pending = append(w.pending, wirePart{body: p, size: len(p) + frameHeader, bucket: bucket})
	}
}

// sendDue sends the parts whose tokens are there.
func (w *writer) sendDue(now time.Time) error {
	for len(w.pending) > 0 {
		p := &w.pending[0]
		if p.due.IsZero() {
			p.due = now.Add(p.bucket.ReserveN(now, p.size).DelayFrom(now))
		}
		if p.due.After(now) {
			return nil
		}
		if w.hasPlace && now.After(w.giveUp) {
			return w.sub.server.refuse(w.sub.conn, refusedBusy)
		}
		if err := w.sub.send(kindPart, p.body); err != nil {
			return err
		}
		w.pending = w.pending[1:]
	}
	if w.hasPlace {
		w.leaveLine()
	}
	return nil
}
