package forward

import (
	"time"

	"bergamotstall/internal/pass/packet"
)

// The last round of a search asks all agents. Few flows need it, but those of targets that
// are gone do, and all of them at once after an outage. It is what filled the links of a
// large fleet, so it goes step by step, within the budget, and seldom for one flow.

const (
	// wideStep is how many agents of a wide round are asked at once, widePause the time
	// between two steps. The answers of a whole fleet at once are more than a thin link
	// queues, and a lost one looks like an agent that is silent.
	wideStep  = 32
	widePause = 10 * time.Millisecond
	// wideAgain is how long a flow that was searched among all agents isn't at first,
	// wideLater at most: the pause doubles with each such search. Without it every copy
	// that a caller sends of a packet asks all of them.
	wideAgain = 150 * time.Millisecond
	wideLater = 5 * time.Second
)

// wideSearch is when a flow was last searched among all agents.
type wideSearch struct {
	// notBefore is when it may be again, pause how long that was after the last time.
	notBefore time.Duration
	pause     time.Duration
}

// widen goes over to all agents: a flow stays where it is when its route goes over
// to another service, and may have been placed when other agents were there.
func (e *Engine) widen(now time.Duration, f packet.Flow, s *search) {
	s.wide = true
	s.wideAt = now
	w, again := e.wideSearches[f]
	if again && now < w.notBefore {
		s.narrow = true
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
