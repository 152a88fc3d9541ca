package forward

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

const (
	// roundPatience is how long a round of questions waits for all its answers
	// before the next one begins: several round trips between data centres of one
	// region.
	roundPatience = 40 * time.Millisecond
	// askAgain is when agents that haven't answered are asked once more, in case
	// a datagram was lost.
	askAgain = 60 * time.Millisecond
	// askPatience is when a search ends without the answers that lack, counted
	// from its last round. The caller sends its packet again after 200 ms, and a
	// new search begins.
	askPatience = 160 * time.Millisecond
	// queuePatience is how long a flow waits for its turn to be asked for, or for
	// the questions that its next round costs; its caller has sent a copy by then.
	queuePatience = time.Second
	// probePatience is how long a packet that was sent to an agent that isn't
	// sure may take to come back. A target hands it back within a millisecond.
	probePatience = 40 * time.Millisecond
	// maxAsking bounds the flows asked for at the same time, and with them the
	// answers that come back at once.
	maxAsking = 64
	// firstRound is how many agents are asked first: the flow's preferred ones of
	// this data centre in a large fleet, all of the route in a small one.
	firstRound = 8
	// maxSearches bounds the flows searched at once. Past it the packet is
	// dropped, and the caller sends it again.
	maxSearches = 8_192
	// maxHeld bounds all packets that wait, 1.3 kB each; maxHeldPerFlow those
	// of one flow, whose window is 16 packets.
	maxHeld        = 8_192
	maxHeldPerFlow = 16
)

// search is a flow whose holder is being asked for, in widening rounds: the agents
// that likely hold it, then all others.
type search struct {
	// cameAt is when its first packet came, begunAt when its turn came, roundAt when
	// its last questions were sent.
	cameAt  time.Duration
	begunAt time.Duration
	roundAt time.Duration
	again   bool
	// ack and flags are of the newest packet; a reset must be near the ack.
	ack   uint32
	flags packet.Flags
	held  [][]byte
	// next are the agents that the present stage is still to ask.
	next []uint32
	// all is set once the last stage has begun, in which all agents are asked; skippedAll
	// if they aren't, since the flow was searched among all a moment ago.
	all, skippedAll bool
	// allAt is when the agents of the last stage were listed.
	allAt time.Duration
	// waiting are the agents that haven't answered, unsure those that may hold
	// the flow without knowing.
	waiting []uint32
	unsure  []uint32
	// asked are all agents that were asked, or are known to lack the flow. The
	// table may change meanwhile, so it can't tell who was.
	asked map[uint32]struct{}
	// probe is the agent that has been sent a packet to see; noAgent if none.
	probe   uint32
	probeAt time.Duration
	// lacks is an agent known not to hold the flow; noAgent if none.
	lacks uint32
	// begun says that agents have been asked; until then the search waits for
	// its turn.
	begun bool
	// clientReset says that the search is for a client's reset, which gets no answer.
	clientReset bool
}

// startSearch begins or joins the search for a flow's holder. lacks is an agent known
// not to hold it.
func (e *Engine) startSearch(now time.Duration, p packet.Packet, f packet.Flow, raw []byte, lacks uint32) {
	s := e.searches[f]
	if s == nil {
		if len(e.searches) >= maxSearches {
			e.note(Decision{Flow: f, Verdict: DroppedBusy})
			return
		}
		s = &search{cameAt: now, begunAt: now, probe: noAgent, clientReset: p.Flags.Has(packet.RST), asked: map[uint32]struct{}{}}
		e.searches[f] = s
		s.ack, s.flags = p.Ack, p.Flags
		s.lacks = lacks
		e.hold(f, s, raw)
		e.queue = append(e.queue, f)
		e.beginQueued(now)
		return
	}
	s.ack, s.flags = p.Ack, p.Flags
	e.hold(f, s, raw)
}

// beginQueued asks for the flows whose turn it is, while the budget lasts.
func (e *Engine) beginQueued(now time.Duration) {
	e.budget.refill(now)
	for e.asking < maxAsking && len(e.queue) > 0 && e.budget.allows(false) {
		f := e.queue[0]
		e.queue = e.queue[1:]
		s := e.searches[f]
		if s == nil || s.begun {
			continue // over, or in the queue twice
		}
		s.begun = true
		s.begunAt = now
		e.asking++
		if s.lacks != noAgent {
			s.asked[s.lacks] = struct{}{}
		}
		s.next = e.candidateHolders(now, f)
		e.advance(now, f, s)
	}
}

func (e *Engine) hold(f packet.Flow, s *search, raw []byte) {
	if len(s.held) >= maxHeldPerFlow || e.held >= maxHeld {
		e.note(Decision{Flow: f, Verdict: DroppedBusy})
		return
	}
	s.held = append(s.held, append([]byte(nil), raw...))
	e.held++
}

// ask sends the questions of the next round, as many as the budget allows. It
// returns false if there are none left in this stage.
func (e *Engine) ask(now time.Duration, f packet.Flow, s *search) bool {
	size := s.roundSize()
	for ; len(s.next) > 0 && size > 0 && e.budget.allows(s.all); s.next = s.next[1:] {
		agent := s.next[0]
		if _, done := s.asked[agent]; done {
			continue
		}
		size--
		s.asked[agent] = struct{}{}
		s.waiting = append(s.waiting, agent)
		s.roundAt = now
		s.again = false
		e.question(now, f, s, agent)
	}
	return len(s.waiting) > 0 || len(s.next) > 0
}

// roundSize is how many agents the next round asks.
func (s *search) roundSize() int {
	switch {
	case s.all:
		return wideStep
	case len(s.asked) < firstRound:
		return firstRound
	}
	return len(s.next)
}

// pausing tells whether the present round is given more time before the next one.
func (s *search) pausing(now time.Duration) bool {
	if s.all && len(s.next) > 0 {
		return now-s.roundAt < widePause
	}
	return len(s.waiting) > 0 && now-s.roundAt < roundPatience
}

// question asks one agent.
func (e *Engine) question(now time.Duration, f packet.Flow, s *search, agent uint32) {
	a := &e.agents.list[agent]
	e.budget.spend(a.askedAt == now)
	a.askedAt = now
	e.cfg.Out.Ask(a.address, peer.Question{Flow: f, Ack: s.ack})
}

// Answered takes an agent's word on a flow.
func (e *Engine) Answered(now time.Duration, from netip.AddrPort, r peer.Ruling) {
	f := r.Question.Flow
	s := e.searches[f]
	if s == nil || !s.begun {
		return
	}
	agent := e.agents.alive(now, from)
	switch r.Verdict {
	case peer.Holds:
		e.found(now, f, s, agent)
	case peer.Unsure:
		if remove(&s.waiting, agent) {
			s.unsure = append(s.unsure, agent)
		}
		e.advance(now, f, s)
	case peer.Lacks:
		e.lacks(now, f, s, agent)
	}
	e.beginQueued(now)
}

// lacks takes word that an agent's target doesn't hold the flow.
func (e *Engine) lacks(now time.Duration, f packet.Flow, s *search, agent uint32) {
	if !s.begun {
		s.lacks = agent
		return
	}
	remove(&s.waiting, agent)
	if s.probe == agent {
		s.probe = noAgent
	}
	e.advance(now, f, s)
}

// found ends a search and sends what waited.
func (e *Engine) found(now time.Duration, f packet.Flow, s *search, agent uint32) {
	if len(e.flows) < maxFlows {
		e.flows[f] = holder{agent: agent, seenAt: now}
	}
	for _, raw := range s.held {
		e.deliver(agent, raw)
	}
	a := &e.agents.list[agent]
	e.note(Decision{Flow: f, Verdict: Found, Agent: a.address, ReportAge: now - a.heardAt, Waited: now - s.cameAt, Asked: len(s.asked), Silent: len(s.waiting)})
	e.dropSearch(f)
}

// advance takes the next step of a search once all answers of a round are in, or
// have been waited for.
func (e *Engine) advance(now time.Duration, f packet.Flow, s *search) {
	switch {
	case s.probe != noAgent, s.pausing(now):
		return
	case len(s.unsure) > 0 && len(s.held) > 0:
		s.probe = s.unsure[0]
		s.unsure = s.unsure[1:]
		s.probeAt = now
		e.deliver(s.probe, s.held[0])
		return
	case len(s.next) == 0 && !s.all:
		e.searchAll(now, f, s)
	}
	if !e.ask(now, f, s) {
		if !s.all {
			e.advance(now, f, s)
			return
		}
		e.giveUp(now, f, s)
	}
}

// giveUp ends a search without a holder. If every agent said that it lacks the
// flow, its target is gone, and a reset spares the caller its whole deadline.
// If any was silent, or came to be known only after all were asked, the flow may be
// open there.
func (e *Engine) giveUp(now time.Duration, f packet.Flow, s *search) {
	if e.young(now) && len(s.held) > 0 {
		newest := s.held[len(s.held)-1]
		p := packet.Packet{Src: f.Client, Dst: f.Service, Flags: s.flags, Ack: s.ack}
		e.keepEarly(f, arrival{at: now, p: p, raw: newest}, true)
		e.dropSearch(f)
		return
	}
	silent := len(s.waiting)
	verdict := DroppedUnfound
	if silent == 0 && e.agents.addedAt <= s.allAt && !s.skippedAll && len(s.next) == 0 && len(s.asked) > 0 && !s.clientReset {
		verdict = ResetNowhere
		e.cfg.Out.Reset(f, s.ack)
	}
	e.note(Decision{Flow: f, Verdict: verdict, Asked: len(s.asked), Silent: silent})
	e.dropSearch(f)
}

func (e *Engine) dropSearch(f packet.Flow) {
	if s := e.searches[f]; s != nil {
		e.held -= len(s.held)
		if s.begun {
			e.asking--
		}
		delete(e.searches, f)
	}
}

func (e *Engine) tickSearches(now time.Duration) {
	e.budget.refill(now)
	for f, s := range e.searches {
		switch {
		case !s.begun:
			if now-s.begunAt > queuePatience {
				e.note(Decision{Flow: f, Verdict: DroppedBusy})
				e.dropSearch(f)
			}
		case s.probe != noAgent:
			if now-s.probeAt > probePatience {
				e.found(now, f, s, s.probe) // it wasn't handed back
			}
		case s.over(now):
			e.giveUp(now, f, s)
		case len(s.next) == 0 && len(s.waiting) > 0 && !s.again && now-s.roundAt > askAgain:
			e.askOnceMore(now, f, s)
		default:
			e.advance(now, f, s)
		}
	}
	e.beginQueued(now)
}

// over tells whether nothing more can come of a search.
func (s *search) over(now time.Duration) bool {
	if now-s.begunAt > queuePatience {
		return true
	}
	return s.all && len(s.next) == 0 && s.again && now-s.roundAt > askPatience-askAgain
}

// askOnceMore repeats the questions that weren't answered, and goes on.
func (e *Engine) askOnceMore(now time.Duration, f packet.Flow, s *search) {
	if e.budget.allows(s.all) {
		s.again = true
		s.roundAt = now
		for _, agent := range s.waiting {
			e.question(now, f, s, agent)
		}
	}
	e.advance(now, f, s)
}

// remove takes an agent out of a list; false if it isn't there.
func remove(list *[]uint32, agent uint32) bool {
	for i, x := range *list {
		if x == agent {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}
