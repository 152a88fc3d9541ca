package distribution

import (
	"sync"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/table"
)

const (
	// partSize is the piece in which updates travel: at 5 KB/s a piece takes under
	// half a second, so heartbeats between pieces keep their time.
	partSize = 2 << 10
	// keptSnapshots bounds the encoded tables that are kept for the next who asks.
	// Balancers share one; agents of one service share one of some 20 KB.
	keptSnapshots = 256
	// snapshotLag is how many revisions old a kept table may be: a delta follows
	// it, which is far cheaper than encoding 12,000 hosts for each that asks while
	// the table changes.
	snapshotLag = 64
)

// encoded is an update as it goes to every subscriber that needs it.
type encoded struct {
	from, to table.Revision
	// size counts the frames whole, headers included.
	size  int
	parts []msgp.Raw

	once sync.Once
	raw  *update
	err  error
}

// updateKey is what tells two updates to the newest revision apart.
type updateKey struct {
	view view
	from table.Revision
}

// publisher holds the history and encodes each update once.
type publisher struct {
	mu        sync.Mutex
	history   *history
	deltas    map[updateKey]*encoded
	snapshots map[view]*encoded
	// news is closed at the next advance.
	news chan struct{}
}

func newPublisher() *publisher {
	return &publisher{
		history:   newHistory(),
		deltas:    map[updateKey]*encoded{},
		snapshots: map[view]*encoded{},
		news:      make(chan struct{}),
	}
}

// advance takes in a table and wakes who waits for news.
func (p *publisher) advance(t *table.Table) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.history.advance(t) {
		return false
	}
	clear(p.deltas)
	close(p.news)
	p.news = make(chan struct{})
	return true
}

// state returns the newest revision and a channel closed when it changes.
func (p *publisher) state() (table.Revision, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history.revision, p.news
}

// agrees tells whether a table with the given digest can be the view's at the
// revision. Only the newest revision's digest is known; a delta checks the rest.
func (p *publisher) agrees(v view, held table.Revision, digest uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if held == 0 || held != p.history.revision {
		return true
	}
	return p.history.digest(v, p.history.serviceID(v)).sum == digest
}

// update returns what a subscriber that was sent revision sent and holds
// revision held needs next. A sent of 0 asks for a whole table.
func (p *publisher) update(v view, sent, held table.Revision) (*encoded, error) {
	e := p.find(v, sent, held)
	e.once.Do(func() { e.encode() })
	return e, e.err
}

func (p *publisher) find(v view, sent, held table.Revision) *encoded {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.history.reaches(sent) {
		return p.delta(updateKey{view: v, from: sent})
	}
	return p.snapshot(v, held)
}

func (p *publisher) delta(key updateKey) *encoded {
	if e, ok := p.deltas[key]; ok {
		return e
	}
	e := newEncoded(p.history.since(key.view, key.from))
	p.deltas[key] = e
	return e
}

func (p *publisher) snapshot(v view, held table.Revision) *encoded {
	if e, ok := p.snapshots[v]; ok && p.usable(e, held) {
		return e
	}
	e := newEncoded(p.history.since(v, 0))
	if len(p.snapshots) >= keptSnapshots {
		p.dropOldest()
	}
	p.snapshots[v] = e
	return e
}

// usable tells whether a kept table still serves: a delta must be able to
// follow it, and it must not be below what the subscriber holds.
func (p *publisher) usable(e *encoded, held table.Revision) bool {
	return p.history.reaches(e.to) && e.to >= held && p.history.revision-e.to <= snapshotLag
}

func (p *publisher) dropOldest() {
	var oldest view
	found := false
	for v, e := range p.snapshots {
		if !found || e.to < p.snapshots[oldest].to {
			oldest, found = v, true
		}
	}
	delete(p.snapshots, oldest)
}

func newEncoded(u *update) *encoded { return &encoded{from: u.From, to: u.To, raw: u} }

// encode cuts the update into frames' bodies.
func (e *encoded) encode() {
	data, deflated, err := encodeUpdate(e.raw)
	e.raw = nil
	if err != nil {
		e.err = err
		return
	}
	for start := 0; start < len(data); start += partSize {
		piece := part{
			From: e.from, To: e.to, Total: len(data), Deflated: deflated,
			Data: data[start:min(start+partSize, len(data))],
		}
		b, err := piece.MarshalMsg(nil)
		if err != nil {
			e.err = errors.Wrap(err, "distribution: encode part")
			return
		}
		e.parts = append(e.parts, b)
		e.size += len(b) + frameHeader
	}
}
