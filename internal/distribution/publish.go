package distribution

import (
	"sync"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/table"
)

const (
	// partBytes is the size of an update's parts. At 5 KB/s a part takes less than half a
	// second, so heartbeats between parts stay on time.
	partBytes = 2 << 10
	// snapshotCacheLimit bounds the encoded snapshots that are kept for reuse. All balancers
	// share one; the agents of a service share one of about 20 KB.
	snapshotCacheLimit = 256
	// snapshotMaxLag is how many revisions old a cached snapshot may be. A delta follows it,
	// which is far cheaper than encoding 12,000 hosts for each request while the table
	// changes.
	snapshotMaxLag = 64
)

// encodedUpdate is an update encoded once for all subscribers that need it.
type encodedUpdate struct {
	from, to table.Revision
	// frameBytes is the total size of the frames, including their headers.
	frameBytes int
	parts      []msgp.Raw

	once   sync.Once
	update *update
	err    error
}

// updateKey identifies an update to the newest revision.
type updateKey struct {
	view view
	from table.Revision
}

// publisher holds the history and encodes each update only once.
type publisher struct {
	mu        sync.Mutex
	history   *history
	deltas    map[updateKey]*encodedUpdate
	snapshots map[view]*encodedUpdate
	// changed is closed when a newer table is added.
	changed chan struct{}
}

func newPublisher() *publisher {
	return &publisher{
		history:   newHistory(),
		deltas:    map[updateKey]*encodedUpdate{},
		snapshots: map[view]*encodedUpdate{},
		changed:   make(chan struct{}),
	}
}

// advance adds a newer table and wakes the writers that wait for one.
func (p *publisher) advance(t *table.Table) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.history.advance(t) {
		return false
	}
	clear(p.deltas)
	close(p.changed)
	p.changed = make(chan struct{})
	return true
}

// state returns the newest revision and a channel that is closed when it changes.
func (p *publisher) state() (table.Revision, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history.revision, p.changed
}

// digestMatches reports whether a table with the given digest can be that of the view at
// the held revision. Only the newest revision's digest is known here; for older revisions
// the digest of the next delta shows a mismatch.
func (p *publisher) digestMatches(v view, held table.Revision, digest uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if held == 0 || held != p.history.revision {
		return true
	}
	return p.history.digest(v, p.history.serviceID(v)).sum == digest
}

// update returns the next update for a subscriber to which revision sent was sent and
// which holds revision held. A sent of 0 asks for a snapshot.
func (p *publisher) update(v view, sent, held table.Revision) (*encodedUpdate, error) {
	e := p.findUpdate(v, sent, held)
	e.once.Do(func() { e.encode() })
	return e, e.err
}

func (p *publisher) findUpdate(v view, sent, held table.Revision) *encodedUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.history.hasDeltaFrom(sent) {
		return p.delta(updateKey{view: v, from: sent})
	}
	return p.snapshot(v, held)
}

func (p *publisher) delta(key updateKey) *encodedUpdate {
	if e, ok := p.deltas[key]; ok {
		return e
	}
	e := newEncoded(p.history.updateSince(key.view, key.from))
	p.deltas[key] = e
	return e
}

// snapshot returns a cached snapshot if it is usable, and a new one otherwise.
func (p *publisher) snapshot(v view, held table.Revision) *encodedUpdate {
	if e, ok := p.snapshots[v]; ok && p.snapshotUsable(e, held) {
		return e
	}
	e := newEncoded(p.history.updateSince(v, 0))
	if len(p.snapshots) >= snapshotCacheLimit {
		p.dropOldestSnapshot()
	}
	p.snapshots[v] = e
	return e
}

// snapshotUsable reports whether a cached snapshot can be sent: a delta must be able to
// follow it, and it must not be older than what the subscriber holds.
func (p *publisher) snapshotUsable(e *encodedUpdate, held table.Revision) bool {
	return p.history.hasDeltaFrom(e.to) && e.to >= held && p.history.revision-e.to <= snapshotMaxLag
}

func (p *publisher) dropOldestSnapshot() {
	var oldest view
	found := false
	for v, e := range p.snapshots {
		if !found || e.to < p.snapshots[oldest].to {
			oldest, found = v, true
		}
	}
	delete(p.snapshots, oldest)
}

func newEncoded(u *update) *encodedUpdate { return &encodedUpdate{from: u.From, to: u.To, update: u} }

// encode encodes the update and splits it into the bodies of frames.
func (e *encodedUpdate) encode() {
	data, deflated, err := encodeUpdate(e.update)
	e.update = nil
	if err != nil {
		e.err = err
		return
	}
	for start := 0; start < len(data); start += partBytes {
		piece := part{
			From: e.from, To: e.to, Total: len(data), Deflated: deflated,
			Data: data[start:min(start+partBytes, len(data))],
		}
		b, err := piece.MarshalMsg(nil)
		if err != nil {
			e.err = errors.Wrap(err, "distribution: encode part")
			return
		}
		e.parts = append(e.parts, b)
		e.frameBytes += len(b) + frameHeaderBytes
	}
}
