package distribution

import (
	"time"

	"golang.org/x/time/rate"

	"bergamotstall/internal/table"
)

// byteBudgetBurstSeconds is how many seconds of the byte budget may be sent at once after
// an idle period.
const byteBudgetBurstSeconds = 2

// writer is the sending half of a stream. It sends one update at a time, and the next one
// only after that is acknowledged. What changed meanwhile is sent as one merged delta, so
// a slow subscriber has no outdated deltas queued in its socket.
type writer struct {
	sub *subscriber
	// sent is the revision that the subscriber will hold once everything is delivered.
	sent table.Revision
	// awaiting is set until sent is acknowledged.
	awaiting bool
	pending  []pacedPart
	// snapshot is the large snapshot that is queued or being sent.
	snapshot         *encodedUpdate
	queued           bool
	hasSlot          bool
	snapshotDeadline time.Time

	changeLimiter, snapshotLimiter *rate.Limiter
}

// pacedPart is a part of an update with the limiter that paces it.
type pacedPart struct {
	message    message
	frameBytes int
	limiter    *rate.Limiter
	// due is the earliest time to send; set once tokens are reserved.
	due time.Time
}

// writeLoop runs the sending half until the stream ends.
func (sub *subscriber) writeLoop() error {
	cfg := sub.server.cfg
	w := &writer{
		sub:             sub,
		sent:            sub.deltaBase(),
		changeLimiter:   rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), max(byteBudgetBurstSeconds*cfg.BytesPerSecond, 2*partBytes)),
		snapshotLimiter: rate.NewLimiter(rate.Limit(cfg.SnapshotBytesPerSecond), max(cfg.SnapshotBytesPerSecond, 2*partBytes)),
	}
	defer w.leaveQueue()
	if err := sub.send(kindWelcome, &welcome{Control: cfg.Name, Heartbeat: sub.server.heartbeat()}); err != nil {
		return err
	}
	for {
		tableChanged, err := w.step(time.Now())
		if err != nil {
			return err
		}
		if done, err := w.wait(tableChanged); done {
			return err
		}
	}
}

// step sends all that can be sent now. It returns a channel that is closed when there is a
// newer table.
func (w *writer) step(now time.Time) (<-chan struct{}, error) {
	revision, tableChanged := w.sub.server.publisher.state()
	if err := w.sendNumber(); err != nil {
		return nil, err
	}
	w.takeAcknowledgement()
	if err := w.prepareUpdate(revision); err != nil {
		return nil, err
	}
	return tableChanged, w.sendDue(now)
}

// wait waits until there is something to do; done means that the stream has ended.
func (w *writer) wait(tableChanged <-chan struct{}) (done bool, err error) {
	if w.awaiting || len(w.pending) > 0 || w.snapshot != nil {
		// The next update is sent only after this one.
		tableChanged = nil
	}
	var slot chan<- struct{}
	if w.queued {
		slot = w.sub.server.snapshotQueue.slots
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
	case slot <- struct{}{}:
		w.startSnapshot(time.Now())
	case <-tableChanged:
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
	return w.sub.send(kindNumber, &numberAssignment{Agent: n})
}

// takeAcknowledgement applies what the subscriber reported about its table.
func (w *writer) takeAcknowledgement() {
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

// prepareUpdate enqueues the next update if one is needed and none is being sent.
func (w *writer) prepareUpdate(revision table.Revision) error {
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
		sub.server.counters.deltas.Add(1)
		w.enqueueParts(e, w.changeLimiter)
		return nil
	}
	if e.frameBytes <= smallSnapshotBytes {
		sub.server.counters.snapshots.Add(1)
		w.enqueueParts(e, w.snapshotLimiter)
		return nil
	}
	return w.joinQueue(e)
}

// joinQueue queues a large snapshot, or refuses the stream if the queue is full.
func (w *writer) joinQueue(e *encodedUpdate) error {
	s := w.sub.server
	if !s.snapshotQueue.join() {
		return s.refuseFor(w.sub.conn, refusedBusy, s.snapshotQueue.retryAfter(w.snapshotDuration(e)))
	}
	w.snapshot, w.queued = e, true
	return nil
}

// snapshotDuration returns how long a snapshot takes at its byte rate.
func (w *writer) snapshotDuration(e *encodedUpdate) time.Duration {
	return time.Duration(float64(e.frameBytes) / float64(w.sub.server.cfg.SnapshotBytesPerSecond) * float64(time.Second))
}

// startSnapshot starts sending the queued snapshot. A subscriber that reads too slowly
// loses its slot at snapshotDeadline, as a few such subscribers could occupy all slots.
func (w *writer) startSnapshot(now time.Time) {
	w.sub.server.snapshotQueue.leave()
	w.sub.server.counters.snapshots.Add(1)
	w.queued, w.hasSlot = false, true
	w.snapshotDeadline = now.Add(4*w.snapshotDuration(w.snapshot) + writeTimeout)
	w.enqueueParts(w.snapshot, w.snapshotLimiter)
}

// leaveQueue gives up the place in the queue or the slot, if there is one.
func (w *writer) leaveQueue() {
	if w.queued {
		w.sub.server.snapshotQueue.leave()
	}
	if w.hasSlot {
		w.sub.server.snapshotQueue.release()
	}
	w.queued, w.hasSlot, w.snapshot = false, false, nil
}

func (w *writer) enqueueParts(e *encodedUpdate, limiter *rate.Limiter) {
	w.sent = e.to
	w.awaiting = true
	for _, p := range e.parts {
		w.pending = append(w.pending, pacedPart{message: p, frameBytes: len(p) + frameHeaderBytes, limiter: limiter})
	}
}

// sendDue sends the parts for which the limiter has tokens.
func (w *writer) sendDue(now time.Time) error {
	for len(w.pending) > 0 {
		p := &w.pending[0]
		if p.due.IsZero() {
			p.due = now.Add(p.limiter.ReserveN(now, p.frameBytes).DelayFrom(now))
		}
		if p.due.After(now) {
			return nil
		}
		if w.hasSlot && now.After(w.snapshotDeadline) {
			return w.sub.server.refuse(w.sub.conn, refusedBusy)
		}
		if err := w.sub.send(kindPart, p.message); err != nil {
			return err
		}
		w.pending = w.pending[1:]
	}
	if w.hasSlot {
		w.leaveQueue()
	}
	return nil
}
