// Package liveness decides when a control VM reports a subscriber as silent to the
// replicated state, and how long the announcements of a subscriber that keeps
// reconnecting are delayed. It uses no clock and no network: the time is an argument.
//
// It handles two load patterns: a control VM that fails or is cut off, so that all its
// subscribers lose their streams at once, and a process in a crash loop. Without it, the
// first would remove live targets from every service. The second would send two table
// changes through the log and over thousands of links every few seconds.
//
// It follows four rules. The end of a stream starts a grace period, and a subscriber that
// returns within it is never reported. A VM whose quorum contact is stale reports
// nothing, and grace periods restart when contact returns, because the fault may have
// been the VM's own. If a large share of a VM's streams ends at once, the VM's own link
// is the likelier cause, and a longer grace period applies. Meanwhile the subscribers
// attach elsewhere, and the attachment in a report makes that report void. Each end of a
// stream adds a penalty that decays exponentially; from the third end within a minute on,
// announcements are delayed, longer each time.
package liveness

import (
	"math"
	"time"
)

// Config holds the thresholds; see DefaultConfig for the reasons behind the values.
type Config struct {
	// Grace is the time from the end of a stream to the report.
	Grace time.Duration
	// MassDisconnectGrace replaces Grace in a mass disconnect.
	MassDisconnectGrace time.Duration
	// MassDisconnectWindow is the time within which the streams of a mass disconnect end.
	MassDisconnectWindow time.Duration
	// MassDisconnectShare is the share of the subscribers, and MassDisconnectMin the
	// number, that make a mass disconnect if both are reached.
	MassDisconnectShare float64
	MassDisconnectMin   int
	// AdoptGrace replaces Grace for subscribers taken over from a VM that failed.
	AdoptGrace time.Duration
	// StaleBound is the quorum contact age above which nothing is reported.
	StaleBound time.Duration
	// RetryAfter is the delay after a failed report.
	RetryAfter time.Duration
	// DampingThreshold is the penalty from which on announcements are delayed,
	// DampingBaseDelay the first delay, DampingMaxDelay the longest, and HalfLife the time
	// in which a penalty halves.
	DampingThreshold float64
	DampingBaseDelay time.Duration
	DampingMaxDelay  time.Duration
	HalfLife         time.Duration
}

// DefaultConfig returns the default thresholds.
func DefaultConfig() Config {
	return Config{
		// A subscriber whose VM failed is attached elsewhere in well under a second: a
		// quarter of a second of jitter, a handshake and one commit. A failed agent must
		// get no new work after a few seconds, of which detection by heartbeats takes up
		// to three.
		Grace: time.Second,
		// Covers the reconnects of a mass disconnect, with their backoff and queueing.
		MassDisconnectGrace:  5 * time.Second,
		MassDisconnectWindow: 2 * time.Second,
		// One data centre of 17 is 6 % of any VM's subscribers, one of three is a third.
		// Both are real losses, but for the second the longer grace only costs seconds.
		MassDisconnectShare: 0.25,
		// Two of ten hosts may fail together; the longer grace doesn't apply to them.
		MassDisconnectMin: 3,
		// Reconnects of a failed VM's subscribers back off to five seconds.
		AdoptGrace: 10 * time.Second,
		// The same as for subscribers: a leader change takes about a second and a half.
		StaleBound: 2 * time.Second,
		RetryAfter: 500 * time.Millisecond,
		// Above the rate of a rolling restart, which restarts a process once or twice a
		// minute.
		DampingThreshold: 3,
		DampingBaseDelay: 2 * time.Second,
		DampingMaxDelay:  time.Minute,
		HalfLife:         time.Minute,
	}
}

// Attachment identifies one announcement of a subscriber.
type Attachment struct {
	Incarnation uint64
	Sequence    uint64
}

// Report is a subscriber to be reported as silent.
type Report[K comparable] struct {
	Subject    K
	Attachment Attachment
}

// Tracker tracks the subscribers of one control VM. It is not safe for concurrent use.
type Tracker[K comparable] struct {
	cfg         Config
	subscribers map[K]*subscriber
	attached    int
	// contactStale is set while the quorum contact is stale.
	contactStale bool
	// streamEnds holds the times of the latest ends of streams, oldest first.
	streamEnds []time.Time
}

type subscriber struct {
	at       Attachment
	attached bool
	// reported is set once Due has returned the subscriber; Failed clears it.
	reported bool
	adopted  bool
	// since is when the grace period began.
	since time.Time
	// notBefore is the earliest time to repeat a failed report.
	notBefore time.Time
	penalty   float64
	penaltyAt time.Time
}

// New returns a tracker without subscribers.
func New[K comparable](cfg Config) *Tracker[K] {
	return &Tracker[K]{cfg: cfg, subscribers: map[K]*subscriber{}}
}

// Attached records an announcement. It returns how long the announcement must wait before
// it goes to the replicated state.
func (t *Tracker[K]) Attached(k K, at Attachment, now time.Time) time.Duration {
	s, ok := t.subscribers[k]
	if !ok {
		s = &subscriber{penaltyAt: now}
		t.subscribers[k] = s
	}
	if !s.attached {
		t.attached++
	}
	s.at, s.attached, s.reported, s.adopted = at, true, false, false
	return t.announcementDelay(s, now)
}

// StreamEnded records the end of the stream of the given announcement. It has no effect if a
// newer announcement has replaced that one.
func (t *Tracker[K]) StreamEnded(k K, at Attachment, now time.Time) {
	s, ok := t.subscribers[k]
	if !ok || !s.attached || s.at != at {
		return
	}
	s.attached = false
	t.attached--
	s.since, s.notBefore = now, time.Time{}
	s.penalty = t.currentPenalty(s, now) + 1
	s.penaltyAt = now
	t.streamEnds = append(t.streamEnds, now)
}

// Adopt takes over a subscriber that, by the replicated state, was attached to a control
// VM that failed, or to this one before it restarted. The subscriber has AdoptGrace to
// attach to any VM.
func (t *Tracker[K]) Adopt(k K, at Attachment, now time.Time) {
	if _, ok := t.subscribers[k]; ok {
		return
	}
	t.subscribers[k] = &subscriber{at: at, adopted: true, since: now, penaltyAt: now}
}

// Due returns the subscribers to report as silent now. Each is returned once, unless
// Failed is called for it.
func (t *Tracker[K]) Due(now time.Time, contactAge time.Duration) []Report[K] {
	if contactAge > t.cfg.StaleBound {
		t.contactStale = true
		return nil
	}
	if t.contactStale {
		t.contactStale = false
		t.restartGraces(now)
	}
	massDisconnect := t.massDisconnect(now)
	var out []Report[K]
	for k, s := range t.subscribers {
		if s.attached {
			continue
		}
		if s.reported {
			t.forget(k, s, now)
			continue
		}
		if now.Sub(s.since) < t.grace(s, massDisconnect) || now.Before(s.notBefore) {
			continue
		}
		s.reported = true
		out = append(out, Report[K]{Subject: k, Attachment: s.at})
	}
	return out
}

// Failed records that a report failed; Due returns it again later.
func (t *Tracker[K]) Failed(r Report[K], now time.Time) {
	s, ok := t.subscribers[r.Subject]
	if !ok || s.attached || s.at != r.Attachment {
		return
	}
	s.reported = false
	s.notBefore = now.Add(t.cfg.RetryAfter)
}

func (t *Tracker[K]) grace(s *subscriber, massDisconnect bool) time.Duration {
	if s.adopted {
		return t.cfg.AdoptGrace
	}
	if massDisconnect {
		return t.cfg.MassDisconnectGrace
	}
	return t.cfg.Grace
}

// restartGraces restarts the grace period of every subscriber without a stream: while
// this VM was cut off, nobody could reach it.
func (t *Tracker[K]) restartGraces(now time.Time) {
	for _, s := range t.subscribers {
		if !s.attached {
			s.since = now
		}
	}
}

// massDisconnect reports whether so many streams ended together that this VM is the
// likely cause. Ends count for as long as the longer grace runs, so that the condition
// lasts until Due has decided on every subscriber concerned.
func (t *Tracker[K]) massDisconnect(now time.Time) bool {
	keep := t.cfg.MassDisconnectGrace + t.cfg.MassDisconnectWindow
	for len(t.streamEnds) > 0 && now.Sub(t.streamEnds[0]) > keep {
		t.streamEnds = t.streamEnds[1:]
	}
	most, first := 0, 0
	for i, at := range t.streamEnds {
		for at.Sub(t.streamEnds[first]) > t.cfg.MassDisconnectWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	// Subscribers that came back are counted in attached again. Counting them twice only
	// raises the threshold.
	all := t.attached + most
	return most >= t.cfg.MassDisconnectMin && float64(most) >= t.cfg.MassDisconnectShare*float64(all)
}

// forget drops a reported subscriber once its penalty has decayed.
func (t *Tracker[K]) forget(k K, s *subscriber, now time.Time) {
	if t.currentPenalty(s, now) < 0.5 {
		delete(t.subscribers, k)
	}
}

// announcementDelay returns the delay of announcements at a subscriber's penalty.
func (t *Tracker[K]) announcementDelay(s *subscriber, now time.Time) time.Duration {
	excess := t.currentPenalty(s, now) - t.cfg.DampingThreshold
	// Because of the decay, three ends in quick succession add up to a little less than
	// three.
	if excess < -0.5 {
		return 0
	}
	wait := float64(t.cfg.DampingBaseDelay) * math.Exp2(math.Round(excess))
	return min(time.Duration(wait), t.cfg.DampingMaxDelay)
}

func (t *Tracker[K]) currentPenalty(s *subscriber, now time.Time) float64 {
	return s.penalty * math.Exp2(-float64(now.Sub(s.penaltyAt))/float64(t.cfg.HalfLife))
}
