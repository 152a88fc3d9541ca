package raft

import (
	"slices"
	"time"
)

// timeoutSpreadDivisor sets the range of random election timeouts: the shortest timeout
// plus up to a half of it. With ten heartbeats per timeout, that half is hundreds of
// round trips between control VMs, so split votes are rare, and a failed leader is
// replaced sooner than with the usual range of one to two timeouts.
const timeoutSpreadDivisor = 2

// resetElection draws a new election timeout. After a restart in which no peer hears from
// a leader it draws a short one: peers that were still recovering when they were asked
// couldn't grant a vote, and no leader's message can be on its way. With the whole
// timeout, six replicas that start within 0.35 s have no leader until 0.85 s after the
// last start.
func (c *Core) resetElection() {
	if c.leaderlessRestart {
		c.scheduleRetry()
		return
	}
	spread := c.cfg.ElectionTimeout / timeoutSpreadDivisor
	if c.cfg.Rand != nil {
		spread = time.Duration(c.cfg.Rand.Int64N(int64(spread)))
	}
	c.electionAt = c.now + c.cfg.ElectionTimeout + spread
}

// splitVoteDivisor sets how soon an election with a split vote is retried: within this
// part of the shortest election timeout, after a pause for a heartbeat from another
// winner. The refusals already show that this candidate has lost, so it doesn't wait for
// a full timeout. With a full timeout, two of three replicas that restart together and
// split the votes would have no leader for another 1 to 1.5 s.
const splitVoteDivisor = 4

// scheduleRetry draws a short election timeout, for when no leader's message is expected.
func (c *Core) scheduleRetry() {
	wait := c.cfg.Heartbeat / 2
	spread := c.cfg.ElectionTimeout/splitVoteDivisor - wait
	if c.cfg.Rand != nil && spread > 0 {
		wait += time.Duration(c.cfg.Rand.Int64N(int64(spread)))
	}
	c.electionAt = c.now + wait
}

func (c *Core) becomeFollower(t Term, leader ID) {
	if t > c.term {
		c.term = t
		c.vote = 0
	}
	if c.leader != leader {
		c.incoming = nil
	}
	c.state = Follower
	c.leader = leader
	c.leaderlessRestart = c.leaderlessRestart && leader == 0
	c.votes = nil
	c.transfer = false
	c.progress = nil
	c.rounds = nil
	c.reads = nil
	c.resetElection()
}

// campaign starts an election. The pre-vote comes first and changes no state, so a
// replica that was cut off doesn't come back with a higher term and depose a leader that
// the others hear.
func (c *Core) campaign(pre, transfer bool) {
	c.resetElection()
	if !c.canCampaign() {
		return
	}
	c.leader = 0
	c.votes = map[ID]bool{c.cfg.ID: true}
	c.transfer = transfer
	t := c.term + 1
	kind := MsgPreVote
	if pre {
		c.state = PreCandidate
	} else {
		c.state = Candidate
		c.term = t
		c.vote = c.cfg.ID
		kind = MsgVote
	}
	if c.won() {
		c.winElection()
		return
	}
	for _, id := range c.electors() {
		if id == c.cfg.ID {
			continue
		}
		c.send(Message{Kind: kind, To: id, Term: t, Index: c.log.last(), LogTerm: c.log.lastTerm(), IgnoreLease: transfer})
	}
}

// canCampaign reports whether this replica may start an election. Voters may. So may two
// kinds of non-voters that can hold the longest log, so that they must refuse their vote
// to all others: a replica whose own removal isn't committed yet, and a learner whose log
// lacks its promotion while others count it as a voter. A leader needn't be a voter,
// since only voters elect it and count towards its commits.
func (c *Core) canCampaign() bool {
	if _, member := c.members.Find(c.cfg.ID); c.members.isVoter(c.cfg.ID) || member && c.hasNewerLog {
		return true
	}
	return c.membersIndex > c.log.commit && c.log.membershipAt(c.log.commit).isVoter(c.cfg.ID)
}

func (c *Core) isOnlyVoter() bool {
	return len(c.members.Voters()) == 1 && c.members.isVoter(c.cfg.ID)
}

// electors returns the members whose votes count.
func (c *Core) electors() []ID {
	if !c.faults.countLearners {
		return c.members.Voters()
	}
	var out []ID
	for _, x := range c.members.Members {
		out = append(out, x.ID)
	}
	return out
}

func (c *Core) won() bool {
	n := 0
	for _, id := range c.electors() {
		if c.votes[id] {
			n++
		}
	}
	return n >= c.quorum()
}

func (c *Core) lost() bool {
	refused := 0
	electors := c.electors()
	for _, id := range electors {
		if granted, ok := c.votes[id]; ok && !granted {
			refused++
		}
	}
	return refused > len(electors)-c.quorum()
}

func (c *Core) winElection() {
	if c.state == PreCandidate {
		c.campaign(false, c.transfer)
		return
	}
	c.becomeLeader()
}

// inLease reports whether a leader was heard from within the shortest election timeout.
// Votes are refused meanwhile, so that a replica that only lost its own link, or was
// removed and doesn't know it, can't depose the leader.
func (c *Core) inLease() bool {
	if c.state == Leader {
		return true
	}
	return c.leader != 0 && c.now-c.leaderHeardAt < c.cfg.ElectionTimeout
}

// handleVote replies to pre-vote and vote requests. A replica grants one vote per term,
// and only to a candidate whose log is at least as up to date as its own. Every quorum
// then includes a voter that refuses candidates which lack a committed entry.
func (c *Core) handleVote(m Message) {
	reply := Message{Kind: MsgVoteReply, To: m.From, Term: c.term}
	if m.Kind == MsgPreVote {
		reply.Kind = MsgPreVoteReply
	}
	reply.Reject = !c.grantsVote(m)
	if !reply.Reject && m.Kind == MsgPreVote {
		reply.Term = m.Term
	}
	if !reply.Reject && m.Kind == MsgVote {
		c.vote = m.From
		c.resetElection()
	}
	c.send(reply)
}

func (c *Core) grantsVote(m Message) bool {
	if c.hasNoEntries() && !c.faults.emptyDiskVotes {
		return false
	}
	if m.Kind == MsgPreVote && m.Term <= c.term {
		return false
	}
	if m.Kind == MsgVote && !c.faults.voteTwice {
		free := c.vote == 0 && c.leader == 0
		if c.vote != m.From && !free {
			return false
		}
	}
	if c.isUpToDate(m.LogTerm, m.Index) || c.faults.voteForOlderLog {
		return true
	}
	c.hasNewerLog = true
	return false
}

// hasNoEntries reports whether this replica has never held an entry, because its folder
// is new or was lost. Such a replica grants no votes, so it can't contradict a vote that
// it granted before its folder was lost.
func (c *Core) hasNoEntries() bool { return c.log.last() == 0 }

func (c *Core) isUpToDate(t Term, i Index) bool {
	mine := c.log.lastTerm()
	return t > mine || t == mine && i >= c.log.last()
}

func (c *Core) handleVoteReply(m Message) {
	wanted := Candidate
	if m.Kind == MsgPreVoteReply {
		wanted = PreCandidate
	}
	if c.state != wanted {
		return
	}
	if _, ok := c.votes[m.From]; ok {
		return
	}
	c.votes[m.From] = !m.Reject
	switch {
	case c.won():
		c.winElection()
	case c.lost():
		split := c.state == Candidate
		c.becomeFollower(c.term, 0)
		if split {
			c.scheduleRetry()
		}
	}
}

// TransferLeadership asks a voter that has the whole log to start an election at once, so
// that commands don't wait for an election timeout on a planned stop. One that doesn't lead
// after a heartbeat may be about to stop as well, so the next call asks another one. It returns
// false if there is no such voter.
func (c *Core) TransferLeadership() bool {
	if c.state != Leader {
		return false
	}
	var ready []ID
	for _, id := range c.members.Voters() {
		if id == c.cfg.ID || c.now-c.progress[id].heardAt > c.cfg.ElectionTimeout {
			continue
		}
		if c.progress[id].match == c.log.last() {
			ready = append(ready, id)
		}
	}
	if len(ready) == 0 {
		return false
	}
	asked := slices.Index(ready, c.transferTo)
	if asked < 0 || c.now-c.transferAt >= c.cfg.Heartbeat {
		c.transferTo = ready[(max(asked, 0)+len(ready)-1)%len(ready)]
		c.transferAt = c.now
	}
	c.send(Message{Kind: MsgTimeoutNow, To: c.transferTo})
	return true
}
