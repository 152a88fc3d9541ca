package raft

import (
	"slices"
	"time"
)

// maxInFlightAppends bounds the unacknowledged appends to one replica.
const maxInFlightAppends = 64

// progress is a leader's view of another replica's log.
type progress struct {
	// match is the last entry known to be synced on that replica.
	match Index
	next  Index
	// probing limits appends to one at a time until the replica's log is known to match.
	probing bool
	paused  bool
	// inFlight holds the last index of each unacknowledged append.
	inFlight []Index
	// matchAtHeartbeat is match at the previous heartbeat reply.
	matchAtHeartbeat Index
	round            uint64
	heardAt          time.Duration
	heard            bool
	// timestamp is the newest clock reading from that replica's current start, which
	// startID identifies.
	timestamp time.Duration
	startID   uint64
	snapshot  *outgoingSnapshot
	// stoppingUntil is set if the replica has given up its vote because it is about to stop.
	stoppingUntil time.Duration
}

type sentRound struct {
	number uint64
	at     time.Duration
}

func (c *Core) becomeLeader() {
	c.state = Leader
	c.leader = c.cfg.ID
	c.leaderlessRestart = false
	c.votes = nil
	c.transfer = false
	c.transferTo = 0
	c.round = 0
	c.rounds = nil
	c.reads = nil
	c.progress = map[ID]*progress{}
	for _, x := range c.members.Members {
		c.progress[x.ID] = &progress{next: c.log.last() + 1, probing: true, heardAt: c.now}
	}
	c.hadContact = true
	c.contactAt = c.now
	c.quorumCheckAt = c.now + c.cfg.ElectionTimeout
	c.appendEntry(EntryEmpty, nil)
	c.sendHeartbeats()
}

func (c *Core) tickLeader() {
	if !c.faults.noCheckQuorum && c.now >= c.quorumCheckAt {
		c.quorumCheckAt = c.now + c.cfg.ElectionTimeout
		if !c.quorumActive() {
			c.becomeFollower(c.term, 0)
			return
		}
	}
	if c.now < c.heartbeatAt {
		return
	}
	c.advanceMembership()
	c.sendHeartbeats()
}

// quorumActive implements check-quorum: it reports whether a quorum of voters was heard
// from within an election timeout. Otherwise a leader that is cut off would never step
// down, and its operators would wait for a leader that can't commit while another one
// serves.
func (c *Core) quorumActive() bool {
	n := 0
	for _, id := range c.members.Voters() {
		p := c.progress[id]
		if id == c.cfg.ID || p.heard && c.now-p.heardAt <= c.cfg.ElectionTimeout {
			n++
		}
	}
	return n >= c.quorum()
}

// sendHeartbeats starts a heartbeat round. A member that replies to a round still
// followed this leader after the round began.
func (c *Core) sendHeartbeats() {
	c.heartbeatAt = c.now + c.cfg.Heartbeat
	c.round++
	c.rounds = append(c.rounds, sentRound{number: c.round, at: c.now})
	for _, x := range c.members.Members {
		if x.ID != c.cfg.ID {
			c.sendHeartbeat(x.ID)
		}
	}
	c.confirmRounds()
}

func (c *Core) sendHeartbeat(id ID) {
	p := c.progress[id]
	c.send(Message{
		Kind: MsgHeartbeat, To: id, Round: c.round,
		Commit:     min(p.match, c.log.commit),
		ContactAge: c.ContactAge(), Timestamp: p.timestamp, Context: p.startID,
	})
	c.resendChunk(p, id)
}

// confirmRounds finds the newest round that a quorum replied to. It updates the quorum
// contact time and completes the reads that waited for that round.
func (c *Core) confirmRounds() {
	answered := c.confirmedRound()
	for len(c.rounds) > 0 && c.rounds[0].number <= answered {
		c.contactAt = c.rounds[0].at
		c.rounds = c.rounds[1:]
	}
	if c.faults.noCheckQuorum {
		c.contactAt = c.now
	}
	c.releaseReads(answered)
}

func (c *Core) confirmedRound() uint64 {
	var rounds []uint64
	for _, id := range c.electors() {
		if id == c.cfg.ID {
			rounds = append(rounds, c.round)
		} else {
			rounds = append(rounds, c.progress[id].round)
		}
	}
	return quorumValue(rounds, c.quorum())
}

// quorumValue returns the highest value that a quorum has reached.
func quorumValue[T ~uint64](values []T, quorum int) T {
	if quorum < 1 || quorum > len(values) {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-quorum]
}

// countOwnEntries counts the leader's own synced entries towards commits.
func (c *Core) countOwnEntries() {
	if p := c.progress[c.cfg.ID]; p != nil {
		p.match = c.log.stable
	}
	c.maybeCommit()
}

// maybeCommit commits what a quorum has synced, if the last such entry is of the current
// term. An entry of an older term can be overwritten by a leader that lacks it even when
// a quorum has it; an entry of the current term above it prevents that.
func (c *Core) maybeCommit() {
	var matches []Index
	for _, id := range c.electors() {
		matches = append(matches, c.progress[id].match)
	}
	n := quorumValue(matches, c.quorum())
	if n <= c.log.commit {
		return
	}
	if t, _ := c.log.term(n); t != c.term && !c.faults.commitOldTerm {
		return
	}
	c.log.commit = n
	c.recordCommits()
	c.assignReadIndexes()
	if !c.members.isVoter(c.cfg.ID) && c.membersIndex <= n {
		c.becomeFollower(c.term, 0) // the entry that removed this replica is now committed
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

// sendAppend sends the entries that the replica lacks, or the snapshot if the log doesn't
// hold them any more.
func (c *Core) sendAppend(id ID) {
	p := c.progress[id]
	if p.snapshot != nil || p.probing && p.paused || len(p.inFlight) >= maxInFlightAppends {
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
	if p.startID != m.Context {
		p.startID, p.timestamp = m.Context, 0 // it restarted, and its clock has a new origin
	}
	p.timestamp = max(p.timestamp, m.Timestamp)
	c.confirmRounds()
	stalled := p.match == p.matchAtHeartbeat
	p.matchAtHeartbeat = p.match
	if p.match >= c.log.last() || !stalled {
		return
	}
	// The last appends may be lost. Probe for what the replica has.
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
	if p.snapshot != nil && p.match >= p.snapshot.index {
		p.snapshot = nil
	}
	p.inFlight = slices.DeleteFunc(p.inFlight, func(i Index) bool { return i <= p.match })
	if advanced {
		c.maybeCommit()
	}
	if c.state == Leader && p.next <= c.log.last() {
		c.sendAppend(m.From)
	}
}

// handleReject moves next back to where the logs may match. m.Commit is the index that
// was refused; a reply to an older append is ignored.
func (c *Core) handleReject(p *progress, m Message) {
	if m.Index < p.match || m.Commit != p.next-1 && p.probing || m.Commit <= p.match {
		return
	}
	p.next = max(min(m.Index+1, m.Commit), p.match+1)
	p.probing, p.paused = true, false
	p.inFlight = nil
	c.sendAppend(m.From)
}
