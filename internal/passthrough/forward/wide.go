package forward

import (
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// The last stage of a search, a wide search, asks all agents. Few flows need it, but those of
// targets that are gone do, and all of them at once after an outage. The questions of so many
// searches would fill the balancers' links, so they are sent in batches, within a budget, and
// a further wide search for the same flow starts only after an exponential backoff.

const (
	// wideBatchSize is how many agents of the last stage are asked at once,
	// wideBatchInterval the time between two batches. The answers of a whole fleet at
	// once overflow the queue of a thin link, and a lost answer looks like an
	// unresponsive agent.
	wideBatchSize     = 32
	wideBatchInterval = 10 * time.Millisecond
	// wideBackoffMin is the initial backoff between two wide searches for the same flow.
	// It doubles with each one, up to wideBackoffMax. Without it each retransmission of a
	// caller would ask all agents.
	wideBackoffMin = 150 * time.Millisecond
	wideBackoffMax = 5 * time.Second
)

// wideSearch records a flow's last wide search.
type wideSearch struct {
	// notBefore is when the next one may start, backoff the pause before that.
	notBefore time.Duration
	backoff   time.Duration
}

// searchAll starts the last stage, which asks all agents: a flow stays at its target when
// its route moves to another service, and may have been placed when there were other
// agents.
func (e *Engine) searchAll(now time.Duration, f packet.Flow, s *search) {
	s.askingAll = true
	s.allListedAt = now
	w, again := e.wideSearches[f]
	if again && now < w.notBefore {
		s.skippedAll = true
		return
	}
	w.backoff = min(max(2*w.backoff, wideBackoffMin), wideBackoffMax)
	w.notBefore = now + w.backoff
	if again || len(e.wideSearches) < maxSearches {
		e.wideSearches[f] = w
	}
	for i := range e.agents.list {
		if _, done := s.asked[uint32(i)]; !done && e.agents.list[i].mayHoldFlows(now) {
			s.pending = append(s.pending, uint32(i))
		}
	}
}

// sweepSearches removes the records of wide searches whose backoff is long over.
func (e *Engine) sweepSearches(now time.Duration) {
	for f, w := range e.wideSearches {
		if now >= w.notBefore+wideBackoffMax {
			delete(e.wideSearches, f)
		}
	}
}
