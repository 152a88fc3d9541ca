package raft

import (
	"slices"
	"time"
)

// maxInFlight bounds the appends that a leader sends a replica ahead of its
// answers.
const maxInFlight = 64

// progress is what a leader knows of another replica's log.
type progress struct {
	// match is the last entry known to be synced there.
	match Index
	next  Index
	// probing sends one append at a time until the logs are known to join.
	probing bool
	paused  bool
	// inFlight are the ends of appends without an answer yet.
	inFlight []Index
	// matchSeen is match at the last heartbeat reply.
	matchSeen Index
	round     uint64
	heardAt   time.Duration
	heard     bool
	// stamp is the newest clock that it sent since its start numbered boot.
	stamp    time.Duration
	boot     uint64
	outgoing *outgoingSnapshot
}

type sentRound struct {
	number uint64
	at     time.Duration
}

func (c *Core) becomeLeader() {
	c.state = Leader
	c.lead = c.cfg.ID
	c.leaderless = false
	c.votes = nil
	c.handOver = false
	c.round = 0
	c.rounds = nil
	c.reads = nil
	c.progress = map[ID]*progress{}
	for _, x := range c.members.Members {
		c.progress[x.ID] = &progress{next: c.log.last() + 1, probing: true, heardAt: c.now}
	}
	c.contact = true
	c.contactAt = c.now
	c.checkAt = c.now + c.cfg.ElectionTimeout
	c.appendOwn(EntryEmpty, nil)
	c.sendRound()
}

func (c *Core) tickLeader() {
	if !c.faults.leadForever && c.now >= c.checkAt {
		c.checkAt = c.now + c.cfg.ElectionTimeout
		if !c.hearsQuorum() {
			c.becomeFollower(c.term, 0)
			return
		}
	}
	if c.now < c.heartbeatAt {
		return
	}
	c.settleMembers()
	c.sendRound()
}

// hearsQuorum is the check-quorum: a leader cut off from its followers would
// otherwise go on for good, and its operators would wait on a leader that can
// commit nothing while another one serves.
func (c *Core) hearsQuorum() bool {
	n := 0
	for _, id := range c.members.Voters() {
		p := c.progress[id]
		if id == c.cfg.ID || p.heard && c.now-p.heardAt <= c.cfg.ElectionTimeout {
			n++
		}
	}
	return n >= c.quorum()
}

// sendRound sends a heartbeat to every member. Who answers a round still
// followed this leader after the round began.
func (c *Core) sendRound() {
	c.heartbeatAt = c.now + c.cfg.Heartbeat
	c.round++
	c.rounds = append(c.rounds, sentRound{number: c.round, at: c.now})
	for _, x := range c.members.Members {
		if x.ID != c.cfg.ID {
			c.sendHeartbeat(x.ID)
		}
	}
	c.countRounds()
}

func (c *Core) sendHeartbeat(id ID) {
	p := c.progress[id]
	c.send(Message{
		Kind: MsgHeartbeat, To: id, Round: c.round,
		Commit: min(p.match, c.log.commit),
		Age:    c.ContactAge(), Stamp: p.stamp, Context: p.boot,
	})
	c.resendChunk(p, id)
}

// countRounds finds the newest round that a quorum answered: it dates the
// contact and releases the reads that waited for it.
func (c *Core) countRounds() {
	answered := c.quorumRound()
	for len(c.rounds) > 0 && c.rounds[0].number <= answered {
		c.contactAt = c.rounds[0].at
		c.rounds = c.rounds[1:]
	}
	if c.faults.leadForever {
		c.contactAt = c.now
	}
	c.releaseReads(answered)
}

func (c *Core) quorumRound() uint64 {
	var rounds []uint64
	for _, id := range c.electors() {
		if id == c.cfg.ID {
			rounds = append(rounds, c.round)
		} else {
			rounds = append(rounds, c.progress[id].round)
		}
	}
	return quorumth(rounds, c.quorum())
}

// quorumth returns the highest value that a quorum has reached.
func quorumth[T ~uint64](values []T, quorum int) T {
	if quorum < 1 || quorum > len(values) {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-quorum]
}

// advanceLeader counts the leader's own synced entries.
func (c *Core) advanceLeader() {
	if p := c.progress[c.cfg.ID]; p != nil {
		p.match = c.log.stable
	}
	c.maybeCommit()
}

// maybeCommit commits what a quorum has synced, if it is of this term. An
// entry of an older term on a quorum can still be overwritten by a leader that
// lacks it; one of this term above it rules that out.
func (c *Core) maybeCommit() {
	var matches []Index
	for _, id := range c.electors() {
		matches = append(matches, c.progress[id].match)
	}
	n := quorumth(matches, c.quorum())
	if n <= c.log.commit {
		return
	}
	if t, _ := c.log.term(n); t != c.term && !c.faults.commitOldTerm {
		return
	}
	c.log.commit = n
	c.admitReads()
	if !c.members.isVoter(c.cfg.ID) && c.membersIndex <= n {
		c.becomeFollower(c.term, 0) // removed by an entry that is now committed
	}
}

func (c *Core) committedInTerm() bool {
	t, ok := c.log.term(c.log.commit)
	return ok && t == c.term
}

func (c *Core) broadcastAppend() {
	for _, x := range c.members.Members {
		if x.ID != c.cfg.ID {
			c.sendAppend(x.ID)
		}
	}
}

// sendAppend sends what the replica lacks: entries, or the snapshot if the log
// no longer holds them.
func (c *Core) sendAppend(id ID) {
	p := c.progress[id]
	if p.outgoing != nil || p.probing && p.paused || len(p.inFlight) >= maxInFlight {
		return
	}
	t, ok := c.log.term(p.next - 1)
	if !ok || p.next <= c.log.offset {
		c.startSnapshot(p, id)
		return
	}
	es := c.log.from(p.next, c.cfg.AppendBytes)
	if len(es) == 0 && !p.probing {
		return
	}
	c.send(Message{Kind: MsgAppend, To: id, Index: p.next - 1, LogTerm: t, Entries: es, Commit: c.log.commit})
	if p.probing {
		p.paused = true
		return
	}
	p.next = es[len(es)-1].Index + 1
	p.inFlight = append(p.inFlight, p.next-1)
}

func (c *Core) handleReply(m Message) {
	p := c.progress[m.From]
	if c.state != Leader || p == nil {
		return
	}
	p.heard = true
	p.heardAt = c.now
	switch m.Kind {
	case MsgHeartbeatReply:
		c.handleHeartbeatReply(p, m)
	case MsgAppendReply:
		c.handleAppendReply(p, m)
	case MsgSnapshotReply:
		c.handleSnapshotReply(p, m)
	}
}

func (c *Core) handleHeartbeatReply(p *progress, m Message) {
	p.round = max(p.round, m.Round)
	if p.boot != m.Context {
		p.boot, p.stamp = m.Context, 0 // its clock began anew
	}
	p.stamp = max(p.stamp, m.Stamp)
	c.countRounds()
	stalled := p.match == p.matchSeen
	p.matchSeen = p.match
	if p.match >= c.log.last() || !stalled {
		return
	}
	// What was sent is perhaps lost: this replica is asked anew what it has.
	p.paused = false
	if !p.probing {
		p.probing = true
		p.inFlight = nil
		p.next = p.match + 1
	}
	c.sendAppend(m.From)
}

func (c *Core) handleAppendReply(p *progress, m Message) {
	if m.Reject {
		c.handleReject(p, m)
		return
	}
	if m.Index > c.log.last() {
		return
	}
	advanced := m.Index > p.match
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	p.probing, p.paused = false, false
	if p.outgoing != nil && p.match >= p.outgoing.index {
		p.outgoing = nil
	}
	p.inFlight = slices.DeleteFunc(p.inFlight, func(i Index) bool { return i <= p.match })
	if advanced {
		c.maybeCommit()
	}
	if c.state == Leader && p.next <= c.log.last() {
		c.sendAppend(m.From)
	}
}

// handleReject steps back to where the logs may join. Commit holds the entry
// that was refused; an answer to an older question says nothing new.
func (c *Core) handleReject(p *progress, m Message) {
	if m.Index < p.match || m.Commit != p.next-1 && p.probing || m.Commit <= p.match {
		return
	}
	p.next = max(min(m.Index+1, m.Commit), p.match+1)
	p.probing, p.paused = true, false
	p.inFlight = nil
	c.sendAppend(m.From)
}
