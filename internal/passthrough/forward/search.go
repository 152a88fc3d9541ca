package forward

import (
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

const (
	// roundTimeout is how long a round of questions waits for answers before the next one
	// starts: several round trips between data centres of one region.
	roundTimeout = 40 * time.Millisecond
	// questionRetryAfter is when unanswered questions are sent once more, in case a
	// datagram was lost.
	questionRetryAfter = 60 * time.Millisecond
	// lastRoundTimeout is when a search ends without the missing answers, counted from
	// its last round. The caller retransmits after 200 ms, which starts a new search.
	lastRoundTimeout = 160 * time.Millisecond
	// queueTimeout is how long a search waits in the queue, or for the budget of its next
	// round; its caller has retransmitted by then.
	queueTimeout = time.Second
	// trialTimeout is how long a packet that was sent as a trial to an agent that answered
	// Unsure may take to come back. A target hands a packet back within a millisecond.
	trialTimeout = 40 * time.Millisecond
	// maxActiveSearches bounds the searches that run at the same time, and with them the
	// answers that arrive at once.
	maxActiveSearches = 64
	// firstRoundSize is how many agents are asked first: the flow's preferred ones of the
	// local data centre in a large fleet, all of the route in a small one.
	firstRoundSize = 8
	// maxSearches bounds the searches, queued ones included. Beyond it packets are
	// dropped, and callers retransmit them.
	maxSearches = 8_192
	// maxHeldPackets bounds the packets held for all searches, 1.3 kB each;
	// maxHeldPerFlow those of one flow, whose window is 16 packets.
	maxHeldPackets = 8_192
	maxHeldPerFlow = 16
)

// search looks for the agent that holds a flow, in rounds: first the agents that are
// likely to hold it, then all others.
type search struct {
	// arrivedAt is when the search was created, startedAt when it left the queue,
	// roundSentAt when its last questions were sent.
	arrivedAt   time.Duration
	startedAt   time.Duration
	roundSentAt time.Duration
	retried     bool
	// ack and flags are of the newest packet; a reset's sequence number must be near ack.
	ack   uint32
	flags packet.Flags
	held  []heldPacket
	// pending are the agents that the present stage still has to ask.
	pending []uint32
	// askingAll is set once the last stage has started, in which all agents are asked;
	// skippedAll if that was skipped because a recent search had asked all agents for the
	// flow.
	askingAll, skippedAll bool
	// allListedAt is when the agents of the last stage were listed.
	allListedAt time.Duration
	// unanswered are the agents that haven't answered; unsure those that answered Unsure:
	// they can't tell whether they hold the flow.
	unanswered []uint32
	unsure     []uint32
	// untried are agents that answered Unsure and couldn't be sent a packet.
	untried []uint32
	// asked are all agents that were asked or are known not to hold the flow. It can't be
	// derived from the routing table, which may change during the search.
	asked map[uint32]struct{}
	// trials are the agents that answered Unsure and were then sent one held packet, at
	// trialAt, and whose targets haven't handed it back.
	trials  []uint32
	trialAt time.Duration
	// nonHolder is an agent known not to hold the flow; noAgent if none.
	nonHolder uint32
	// started says that agents have been asked; until then the search is in the queue.
	started bool
	// clientReset says that the packet is a reset by the client, which is never answered.
	clientReset bool
}

// heldPacket is a packet that waits for the end of a search.
type heldPacket struct {
	p   packet.Packet
	raw []byte
}

// startSearch queues a search for a flow's holder, or adds the packet to one that exists.
// nonHolder is an agent known not to hold the flow, noAgent if none.
func (e *Engine) startSearch(now time.Duration, p packet.Packet, f packet.Flow, raw []byte, nonHolder uint32) {
	s := e.searches[f]
	if s == nil {
		if len(e.searches) >= maxSearches {
			e.logDecision(Decision{Flow: f, Verdict: DroppedBusy})
			return
		}
		s = &search{arrivedAt: now, startedAt: now, clientReset: p.Flags.Has(packet.RST), asked: map[uint32]struct{}{}}
		e.searches[f] = s
		s.ack, s.flags = p.Ack, p.Flags
		s.nonHolder = nonHolder
		e.holdPacket(f, s, p, raw)
		e.searchQueue = append(e.searchQueue, f)
		e.startQueuedSearches(now)
		return
	}
	s.ack, s.flags = p.Ack, p.Flags
	e.holdPacket(f, s, p, raw)
}

// startQueuedSearches starts searches in the order of the queue while the budget lasts.
func (e *Engine) startQueuedSearches(now time.Duration) {
	e.budget.refill(now, e.link.spare())
	for e.activeSearches < maxActiveSearches && len(e.searchQueue) > 0 && e.budget.allows(false) {
		f := e.searchQueue[0]
		e.searchQueue = e.searchQueue[1:]
		s := e.searches[f]
		if s == nil || s.started {
			continue // ended, or queued twice
		}
		s.started = true
		s.startedAt = now
		e.activeSearches++
		if s.nonHolder != noAgent {
			s.asked[s.nonHolder] = struct{}{}
		}
		s.pending = e.candidateHolders(now, f)
		e.continueSearch(now, f, s)
	}
}

func (e *Engine) holdPacket(f packet.Flow, s *search, p packet.Packet, raw []byte) {
	if len(s.held) >= maxHeldPerFlow || e.heldPackets >= maxHeldPackets {
		e.logDecision(Decision{Flow: f, Verdict: DroppedBusy})
		return
	}
	s.held = append(s.held, heldPacket{p, append([]byte(nil), raw...)})
	e.heldPackets++
}

// sendRound sends the questions of the next round, as many as the budget allows. It
// returns false if none are left or unanswered in this stage.
func (e *Engine) sendRound(now time.Duration, f packet.Flow, s *search) bool {
	size := s.roundSize()
	for ; len(s.pending) > 0 && size > 0 && e.budget.allows(s.askingAll); s.pending = s.pending[1:] {
		agent := s.pending[0]
		if _, done := s.asked[agent]; done {
			continue
		}
		size--
		s.asked[agent] = struct{}{}
		s.unanswered = append(s.unanswered, agent)
		s.roundSentAt = now
		s.retried = false
		e.sendQuestion(now, f, s, agent)
	}
	return len(s.unanswered) > 0 || len(s.pending) > 0
}

// roundSize returns how many agents the next round asks.
func (s *search) roundSize() int {
	switch {
	case s.askingAll:
		return wideBatchSize
	case len(s.asked) < firstRoundSize:
		return firstRoundSize
	}
	return len(s.pending)
}

// roundOpen tells whether the present round is given more time before the next one.
func (s *search) roundOpen(now time.Duration, l *linkQueues) bool {
	if s.askingAll && len(s.pending) > 0 {
		return now-s.roundSentAt < wideBatchInterval
	}
	return len(s.unanswered) > 0 && now-s.roundSentAt < l.extend(roundTimeout)
}

func (e *Engine) sendQuestion(now time.Duration, f packet.Flow, s *search, agent uint32) {
	a := &e.agents.list[agent]
	e.budget.spend(a.askedAt == now)
	a.askedAt = now
	e.link.asked(now)
	e.cfg.Out.Ask(a.address, peer.Question{Flow: f, Ack: s.ack})
}

// HandleAnswer handles an agent's answer to a question.
func (e *Engine) HandleAnswer(now time.Duration, from netip.AddrPort, r peer.Answer) {
	f := r.Question.Flow
	s := e.searches[f]
	if s == nil || !s.started {
		return
	}
	agent := e.markSeen(now, from)
	switch r.Status {
	case peer.Holds:
		e.finishSearch(now, f, s, agent)
	case peer.Unsure:
		if removeAgent(&s.unanswered, agent) {
			s.unsure = append(s.unsure, agent)
		}
		e.continueSearch(now, f, s)
	case peer.Lacks:
		e.handleLacks(now, f, s, agent)
	}
	e.startQueuedSearches(now)
}

// handleLacks records that an agent's target doesn't hold the flow.
func (e *Engine) handleLacks(now time.Duration, f packet.Flow, s *search, agent uint32) {
	if !s.started {
		s.nonHolder = agent
		return
	}
	removeAgent(&s.unanswered, agent)
	removeAgent(&s.trials, agent)
	e.continueSearch(now, f, s)
}

// finishSearch ends a search whose holder is known, and delivers the held packets; bulk only as
// the link has room for it.
func (e *Engine) finishSearch(now time.Duration, f packet.Flow, s *search, agent uint32) {
	a := &e.agents.list[agent]
	entry := flowEntry{agent: agent, service: a.service(), lastPacketAt: now, found: true}
	known := len(e.flows) < maxFlows
	if known {
		e.flows[f] = entry
	}
	queues := known && e.isBulk(f)
	for _, x := range s.held {
		if !queues || !e.queuesBulk(now, arrival{arrivedAt: now, p: x.p, raw: x.raw}) {
			e.deliver(entry, 0, x.raw)
		}
	}
	e.logDecision(Decision{Flow: f, Verdict: Found, Agent: a.address, ReportAge: now - a.reportedAt, Waited: now - s.arrivedAt, Asked: len(s.asked), Silent: len(s.unanswered)})
	e.dropSearch(f)
}

// continueSearch takes the next step of a search once all answers of a round have arrived
// or the round has timed out.
func (e *Engine) continueSearch(now time.Duration, f packet.Flow, s *search) {
	switch {
	case len(s.trials) > 0, s.roundOpen(now, &e.link):
		return
	case len(s.unsure) > 0 && e.startTrials(now, s):
		return
	case len(s.pending) == 0 && !s.askingAll:
		e.searchAll(now, f, s)
	}
	if !e.sendRound(now, f, s) {
		if !s.askingAll {
			e.continueSearch(now, f, s)
			return
		}
		e.giveUp(now, f, s)
	}
}

// startTrials sends a held packet to the agents that answered Unsure: a target that lacks
// the flow hands it back. All get it at the same time, as far as the budget of wide searches
// allows: after an outage all agents are unsure, and one after the other would take longer
// than a search may. If none can be tried, it returns false and the search goes on without
// these agents, since a search that waits keeps others from starting.
func (e *Engine) startTrials(now time.Duration, s *search) bool {
	for len(s.held) > 0 && len(s.unsure) > 0 && e.budget.allows(true) {
		e.budget.spendBytes(len(s.held[0].raw) + trialOverhead)
		agent := s.unsure[0]
		e.deliver(flowEntry{agent: agent, service: e.agents.list[agent].service()}, 0, s.held[0].raw)
		s.trials = append(s.trials, agent)
		s.unsure = s.unsure[1:]
		s.trialAt = now
	}
	if len(s.trials) > 0 {
		return true
	}
	s.untried = append(s.untried, s.unsure...)
	s.unsure = nil
	return false
}

// endTrials ends the trials whose packets weren't handed back in time. If there is one, its
// target has the flow. If there are several, packets were lost or are late, and it isn't
// known which target has the flow: the agents count as silent.
func (e *Engine) endTrials(now time.Duration, f packet.Flow, s *search) {
	if len(s.trials) == 1 {
		e.finishSearch(now, f, s, s.trials[0])
		return
	}
	s.unanswered = append(s.unanswered, s.trials...)
	s.trials = nil
	e.continueSearch(now, f, s)
}

// giveUp ends a search without a holder. If every agent answered that it lacks the flow,
// its target is gone, and a reset spares the caller from waiting until its deadline. If
// any agent wasn't asked, didn't answer, or is unsure and wasn't tried, the flow may be open
// there, so no reset is sent.
func (e *Engine) giveUp(now time.Duration, f packet.Flow, s *search) {
	if e.StartingUp(now) && len(s.held) > 0 {
		newest := s.held[len(s.held)-1].raw
		p := packet.Packet{Src: f.Client, Dst: f.Service, Flags: s.flags, Ack: s.ack}
		e.holdUntilReady(f, arrival{arrivedAt: now, p: p, raw: newest}, true)
		e.dropSearch(f)
		return
	}
	silent := len(s.unanswered) + len(s.unsure) + len(s.untried)
	verdict := DroppedNotFound
	if silent == 0 && e.allAsked(now, s) && !s.clientReset {
		verdict = ResetNoHolder
		e.cfg.Out.Reset(f, s.ack)
	}
	e.logDecision(Decision{Flow: f, Verdict: verdict, Asked: len(s.asked), Silent: silent, ListsIncomplete: !e.knowsAllAgents(now)})
	e.dropSearch(f)
}

// allAsked reports whether the search has asked every agent. It hasn't if agents were added
// after the last stage began, or if there may be agents that aren't known.
func (e *Engine) allAsked(now time.Duration, s *search) bool {
	return e.knowsAllAgents(now) && e.agents.addedAt <= s.allListedAt && !s.skippedAll && len(s.pending) == 0 && len(s.asked) > 0
}

// knowsAllAgents reports whether every agent is known. None may be missing from control's lists,
// and after a pause they must have been read.
func (e *Engine) knowsAllAgents(now time.Duration) bool {
	return e.listsComplete && !e.link.hasOldPackets(now)
}

func (e *Engine) dropSearch(f packet.Flow) {
	if s := e.searches[f]; s != nil {
		e.heldPackets -= len(s.held)
		if s.started {
			e.activeSearches--
		}
		delete(e.searches, f)
	}
}

func (e *Engine) tickSearches(now time.Duration) {
	e.budget.refill(now, e.link.spare())
	for f, s := range e.searches {
		switch {
		case !s.started:
			if now-s.startedAt > queueTimeout {
				e.logDecision(Decision{Flow: f, Verdict: DroppedBusy})
				e.dropSearch(f)
			}
		case len(s.trials) > 0:
			if now-s.trialAt > e.link.extend(trialTimeout) {
				e.endTrials(now, f, s)
			}
		case s.timedOut(now, &e.link):
			e.giveUp(now, f, s)
		case len(s.pending) == 0 && len(s.unanswered) > 0 && !s.retried && now-s.roundSentAt > e.link.extend(questionRetryAfter):
			e.retryQuestions(now, f, s)
		default:
			e.continueSearch(now, f, s)
		}
	}
	e.startQueuedSearches(now)
}

// timedOut tells whether the search has waited for answers long enough.
func (s *search) timedOut(now time.Duration, l *linkQueues) bool {
	if now-s.startedAt > queueTimeout {
		return true
	}
	return s.askingAll && len(s.pending) == 0 && s.retried && now-s.roundSentAt > l.extend(lastRoundTimeout-questionRetryAfter)
}

// retryQuestions sends the unanswered questions again, if the budget allows, and
// continues the search.
func (e *Engine) retryQuestions(now time.Duration, f packet.Flow, s *search) {
	if e.budget.allows(s.askingAll) {
		s.retried = true
		s.roundSentAt = now
		for _, agent := range s.unanswered {
			e.sendQuestion(now, f, s, agent)
		}
	}
	e.continueSearch(now, f, s)
}

// removeAgent removes an agent from a list and tells whether it was there.
func removeAgent(list *[]uint32, agent uint32) bool {
	for i, x := range *list {
		if x == agent {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}
