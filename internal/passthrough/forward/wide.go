package forward

import (
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// The last stage of a search asks all agents. Few flows need it, but those of targets that
// are gone do, and all of them at once after an outage. The questions of so many searches
// would fill the balancers' links, so they are sent in small steps, within a budget, and
// the same flow is searched among all agents again only after a growing pause.

const (
	// wideStep is how many agents of the last stage are asked at once, widePause the time
	// between two steps. The answers of a whole fleet at once are more than a thin link
	// queues, and a lost one looks like an agent that is silent.
	wideStep  = 32
	widePause = 10 * time.Millisecond
	// wideAgain is the first pause between two searches for the same flow among all agents.
	// It doubles with each such search, up to wideLater. Without it each retransmission of
	// a caller would ask all agents.
	wideAgain = 150 * time.Millisecond
	wideLater = 5 * time.Second
)

// wideSearch is when a flow was last searched among all agents.
type wideSearch struct {
	// notBefore is when it may be again, pause how long that was after the last time.
	notBefore time.Duration
	pause     time.Duration
}

// searchAll begins the last stage, with all agents: a flow stays where it is when its
// route goes over to another service, and may have been placed when other agents were there.
func (e *Engine) searchAll(now time.Duration, f packet.Flow, s *search) {
	s.all = true
	s.allAt = now
	w, again := e.wideSearches[f]
	if again && now < w.notBefore {
		s.skippedAll = true
		return
	}
	w.pause = min(max(2*w.pause, wideAgain), wideLater)
	w.notBefore = now + w.pause
	if again || len(e.wideSearches) < maxSearches {
		e.wideSearches[f] = w
	}
	for i := range e.agents.list {
		if _, done := s.asked[uint32(i)]; !done && e.agents.list[i].asked(now) {
			s.next = append(s.next, uint32(i))
		}
	}
}

// sweepSearches forgets which flows were searched among all agents long ago.
func (e *Engine) sweepSearches(now time.Duration) {
	for f, w := range e.wideSearches {
		if now >= w.notBefore+wideLater {
			delete(e.wideSearches, f)
		}
	}
}
