// Package liveness decides when a control VM tells the replicated state that a
// subscriber is gone, and how soon one that keeps coming and going is let back.
// It has no clock and no network: time comes in as an argument.
//
// The load patterns it answers are a control VM that dies or is cut off, whose
// subscribers all lose their streams at once, and a process in a crash loop.
// Without it the first would empty every service of targets that are alive, and
// the second would put two table changes through the log and onto thousands of
// links every few seconds.
//
// Four rules. A stream that ends starts a grace; a subscriber back within it
// was never gone. A VM whose own quorum contact is stale reports nothing, and
// graces begin anew when contact returns, since the fault may have been its own.
// Where a large share of a VM's streams ends at once, the VM's own link is the
// likelier cause, so a longer grace holds: the subscribers attach elsewhere
// meanwhile, and the attachment in a report makes it void. And each end of a
// stream adds a penalty that halves with time; from the third in a minute on,
// announcements wait, longer each time.
package liveness

import (
	"math"
	"time"
)

// Config holds the thresholds; DefaultConfig says why each has its value.
type Config struct {
	// Grace runs from the end of a stream to the report.
	Grace time.Duration
	// WaveGrace replaces Grace in a wave.
	WaveGrace time.Duration
	// WaveWindow is how close together the ends of a wave are.
	WaveWindow time.Duration
	// WaveShare of the subscribers, and no fewer than WaveMin, make a wave.
	WaveShare float64
	WaveMin   int
	// AdoptGrace replaces Grace for subscribers taken over from a VM that died.
	AdoptGrace time.Duration
	// StaleBound is the quorum contact age over which nothing is reported.
	StaleBound time.Duration
	// RetryAfter is the pause after a report that failed.
	RetryAfter time.Duration
	// HoldFrom is the penalty from which announcements wait, HoldBase the first
	// wait, HoldCap the longest, HalfLife the time in which a penalty halves.
	HoldFrom float64
	HoldBase time.Duration
	HoldCap  time.Duration
	HalfLife time.Duration
}

// DefaultConfig returns the thresholds that the package is built around.
func DefaultConfig() Config {
	return Config{
		// A subscriber whose VM died is back elsewhere in well under a second
		// (quarter of a second of jitter, a handshake, one commit). A dead agent
		// must get no new work after a few seconds; heartbeats take up to three
		// of them.
		Grace: time.Second,
		// Long enough for a wave's reconnects with their back-off and queue.
		WaveGrace:  5 * time.Second,
		WaveWindow: 2 * time.Second,
		// One data centre of 17 is 6 % of any VM's subscribers, one of three a
		// third of them; both are real losses, but the second only costs seconds.
		WaveShare: 0.25,
		// Two of ten hosts may die together; they don't wait.
		WaveMin: 3,
		// Reconnects of a dead VM's subscribers back off to five seconds.
		AdoptGrace: 10 * time.Second,
		// As for subscribers: a leader change takes about a second and a half.
		StaleBound: 2 * time.Second,
		RetryAfter: 500 * time.Millisecond,
		// A rolling restart touches a process once or twice a minute.
		HoldFrom: 3,
		HoldBase: 2 * time.Second,
		HoldCap:  time.Minute,
		HalfLife: time.Minute,
	}
}

// Attachment identifies one announcement of a subscriber.
type Attachment struct {
	Incarnation uint64
	Sequence    uint64
}

// Report is a subscriber to be declared silent.
type Report[K comparable] struct {
	Subject    K
	Attachment Attachment
}

// Tracker follows the subscribers of one control VM. It is not safe for
// concurrent use.
type Tracker[K comparable] struct {
	cfg      Config
	subjects map[K]*subject
	attached int
	// quiet is set while contact is stale.
	quiet bool
	// lostAt are the latest ends of streams, oldest first.
	lostAt []time.Time
}

type subject struct {
	at       Attachment
	attached bool
	// reported is set once a report went through.
	reported bool
	adopted  bool
	// since is when the grace began.
	since time.Time
	// notBefore is when a failed report may be repeated.
	notBefore time.Time
	penalty   float64
	penaltyAt time.Time
}

// New returns a tracker without subscribers.
func New[K comparable](cfg Config) *Tracker[K] {
	return &Tracker[K]{cfg: cfg, subjects: map[K]*subject{}}
}

// Attached notes an announcement and returns how long it must wait before it
// goes to the replicated state.
func (t *Tracker[K]) Attached(k K, at Attachment, now time.Time) time.Duration {
	s, ok := t.subjects[k]
	if !ok {
		s = &subject{penaltyAt: now}
		t.subjects[k] = s
	}
	if !s.attached {
		t.attached++
	}
	s.at, s.attached, s.reported, s.adopted = at, true, false, false
	return t.hold(s, now)
}

// Lost notes the end of the stream that made the given announcement. The end of
// a stream that a newer one has replaced means nothing.
func (t *Tracker[K]) Lost(k K, at Attachment, now time.Time) {
	s, ok := t.subjects[k]
	if !ok || !s.attached || s.at != at {
		return
	}
	s.attached = false
	t.attached--
	s.since, s.notBefore = now, time.Time{}
	s.penalty = t.decayed(s, now) + 1
	s.penaltyAt = now
	t.lostAt = append(t.lostAt, now)
}

// Adopt takes over a subscriber that the state says was attached to a control
// VM that died, or to this one before it restarted. It has AdoptGrace to come
// back anywhere.
func (t *Tracker[K]) Adopt(k K, at Attachment, now time.Time) {
	if _, ok := t.subjects[k]; ok {
		return
	}
	t.subjects[k] = &subject{at: at, adopted: true, since: now, penaltyAt: now}
}

// Due returns the subscribers to be reported silent now. Each is returned once,
// unless Failed is called for it.
func (t *Tracker[K]) Due(now time.Time, contactAge time.Duration) []Report[K] {
	if contactAge > t.cfg.StaleBound {
		t.quiet = true
		return nil
	}
	if t.quiet {
		t.quiet = false
		t.restartGraces(now)
	}
	wave := t.wave(now)
	var out []Report[K]
	for k, s := range t.subjects {
		if s.attached {
			continue
		}
		if s.reported {
			t.forget(k, s, now)
			continue
		}
		if now.Sub(s.since) < t.grace(s, wave) || now.Before(s.notBefore) {
			continue
		}
		s.reported = true
		out = append(out, Report[K]{Subject: k, Attachment: s.at})
	}
	return out
}

// Failed says that a report didn't go through; Due returns it again later.
func (t *Tracker[K]) Failed(r Report[K], now time.Time) {
	s, ok := t.subjects[r.Subject]
	if !ok || s.attached || s.at != r.Attachment {
		return
	}
	s.reported = false
	s.notBefore = now.Add(t.cfg.RetryAfter)
}

func (t *Tracker[K]) grace(s *subject, wave bool) time.Duration {
	if s.adopted {
		return t.cfg.AdoptGrace
	}
	if wave {
		return t.cfg.WaveGrace
	}
	return t.cfg.Grace
}

// restartGraces gives everyone a new grace: while this VM was cut off, nobody
// could reach it.
func (t *Tracker[K]) restartGraces(now time.Time) {
	for _, s := range t.subjects {
		if !s.attached {
			s.since = now
		}
	}
}

// wave tells whether so many streams ended together that this VM is the likely
// cause. Ends count for as long as the longer grace runs, so that a wave isn't
// forgotten before those in it are judged.
func (t *Tracker[K]) wave(now time.Time) bool {
	keep := t.cfg.WaveGrace + t.cfg.WaveWindow
	for len(t.lostAt) > 0 && now.Sub(t.lostAt[0]) > keep {
		t.lostAt = t.lostAt[1:]
	}
	most, first := 0, 0
	for i, at := range t.lostAt {
		for at.Sub(t.lostAt[first]) > t.cfg.WaveWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	// Those that came back are in attached again; counting them twice only makes
	// a wave harder to declare.
	all := t.attached + most
	return most >= t.cfg.WaveMin && float64(most) >= t.cfg.WaveShare*float64(all)
}

// forget drops a subscriber that was reported, once its penalty is spent.
func (t *Tracker[K]) forget(k K, s *subject, now time.Time) {
	if t.decayed(s, now) < 0.5 {
		delete(t.subjects, k)
	}
}

// hold returns the wait that a subscriber's penalty asks for.
func (t *Tracker[K]) hold(s *subject, now time.Time) time.Duration {
	over := t.decayed(s, now) - t.cfg.HoldFrom
	// Half-life makes three quick ends a little less than three.
	if over < -0.5 {
		return 0
	}
	wait := float64(t.cfg.HoldBase) * math.Exp2(math.Round(over))
	return min(time.Duration(wait), t.cfg.HoldCap)
}

func (t *Tracker[K]) decayed(s *subject, now time.Time) float64 {
	return s.penalty * math.Exp2(-float64(now.Sub(s.penaltyAt))/float64(t.cfg.HalfLife))
}
