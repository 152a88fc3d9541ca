package raft

import (
	"time"
)

// spreadShare sets how far election timeouts are drawn apart: half of the
// shortest. With ten heartbeats to the shortest that is hundreds of round trips
// between control VMs, so two candidates seldom meet, and a lost leader is
// replaced sooner than with the usual whole.
const spreadShare = 2

// resetElection draws the next moment at which silence means an election. After
// a common restart nobody's word is waited for: the others may have been asked
// while they still asked what is known of them and gave no votes. Measured with
// six replicas that start within 0.35 s, one run: a leader 0.85 s after the last
// one's start when the whole timeout was waited for.
func (c *Core) resetElection() {
	if c.leaderless {
		c.retrySoon()
		return
	}
	spread := c.cfg.ElectionTimeout / spreadShare
	if c.cfg.Rand != nil {
		spread = time.Duration(c.cfg.Rand.Int64N(int64(spread)))
	}
	c.electionAt = c.now + c.cfg.ElectionTimeout + spread
}

// splitShare sets how soon an election is tried again in which votes were split: a
// part of the shortest election timeout, with a pause for a winner's word. The
// refusals have told that this candidate didn't win, so there is nothing to wait
// for. With the usual wait, two of three replicas that restart together and split
// their votes would be without a leader for one to one and a half seconds more.
const splitShare = 4

// retrySoon draws the next moment where nobody's word has to be waited for.
func (c *Core) retrySoon() {
	wait := c.cfg.Heartbeat / 2
	spread := c.cfg.ElectionTimeout/splitShare - wait
	if c.cfg.Rand != nil && spread > 0 {
		wait += time.Duration(c.cfg.Rand.Int64N(int64(spread)))
	}
	c.electionAt = c.now + wait
}

func (c *Core) becomeFollower(t Term, lead ID) {
	if t > c.term {
		c.term = t
		c.vote = 0
	}
	if c.lead != lead {
		c.incoming = nil
	}
	c.state = Follower
	c.lead = lead
	c.leaderless = c.leaderless && lead == 0
	c.votes = nil
	c.handOver = false
	c.progress = nil
	c.rounds = nil
	c.reads = nil
	c.resetElection()
}

// campaign asks for votes. The pre-vote comes first and changes no state: a
// replica that was cut off comes back without a higher term, so it doesn't
// unseat a leader that the others hear well.
func (c *Core) campaign(pre, handOver bool) {
	c.resetElection()
	if !c.mayCampaign() {
		return
	}
	c.lead = 0
	c.votes = map[ID]bool{c.cfg.ID: true}
	c.handOver = handOver
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
		c.electionWon()
		return
	}
	for _, id := range c.electors() {
		if id == c.cfg.ID {
			continue
		}
		c.send(Message{Kind: kind, To: id, Term: t, Index: c.log.last(), LogTerm: c.log.lastTerm(), Forced: handOver})
	}
}

// mayCampaign holds for voters, and for two others that may hold the longest
// log, refuse the rest their vote, and so have to lead themselves: a replica
// whose own removal isn't committed yet, and a learner whose log lacks its
// promotion while others count it as a voter. A leader needn't vote: who elects
// it and what it commits is the voters' alone.
func (c *Core) mayCampaign() bool {
	if _, member := c.members.Find(c.cfg.ID); c.members.isVoter(c.cfg.ID) || member && c.needed {
		return true
	}
	return c.membersIndex > c.log.commit && c.log.membershipAt(c.log.commit).isVoter(c.cfg.ID)
}

func (c *Core) isOnlyVoter() bool {
	return len(c.members.Voters()) == 1 && c.members.isVoter(c.cfg.ID)
}

// electors are the replicas whose votes count.
func (c *Core) electors() []ID {
	if !c.faults.learnersCount {
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

func (c *Core) electionWon() {
	if c.state == PreCandidate {
		c.campaign(false, c.handOver)
		return
	}
	c.becomeLeader()
}

// inLease says that a live leader is known: one heard within the shortest
// election timeout. Votes are refused meanwhile, so that a replica which only
// lost its own link, or was removed and doesn't know, can't unseat a leader.
func (c *Core) inLease() bool {
	if c.state == Leader {
		return true
	}
	return c.lead != 0 && c.now-c.heardLead < c.cfg.ElectionTimeout
}

// handleVote answers both kinds of vote request. A vote is given once a term,
// and only to a candidate whose log holds all that this replica's holds: any
// quorum then includes a voter that refuses candidates without a committed
// entry.
func (c *Core) handleVote(m Message) {
	reply := Message{Kind: MsgVoteReply, To: m.From, Term: c.term}
	if m.Kind == MsgPreVote {
		reply.Kind = MsgPreVoteReply
	}
	reply.Reject = !c.wouldVote(m)
	if !reply.Reject && m.Kind == MsgPreVote {
		reply.Term = m.Term
	}
	if !reply.Reject && m.Kind == MsgVote {
		c.vote = m.From
		c.resetElection()
	}
	c.send(reply)
}

func (c *Core) wouldVote(m Message) bool {
	if c.isFresh() && !c.faults.emptyDiskVotes {
		return false
	}
	if m.Kind == MsgPreVote && m.Term <= c.term {
		return false
	}
	if m.Kind == MsgVote && !c.faults.voteTwice {
		free := c.vote == 0 && c.lead == 0
		if c.vote != m.From && !free {
			return false
		}
	}
	if c.isUpToDate(m.LogTerm, m.Index) || c.faults.voteBehind {
		return true
	}
	c.needed = true
	return false
}

// isFresh says that this replica has never held any entry: its folder is new,
// or was lost. Whoever was told of a vote by an earlier owner of the folder
// can't be contradicted by a replica that gives none.
func (c *Core) isFresh() bool { return c.log.last() == 0 }

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
		c.electionWon()
	case c.lost():
		split := c.state == Candidate
		c.becomeFollower(c.term, 0)
		if split {
			c.retrySoon()
		}
	}
}

// HandOver asks the most advanced voter to take the lead at once, so that a
// planned stop costs commands no election timeout.
func (c *Core) HandOver() bool {
	if c.state != Leader {
		return false
	}
	var best ID
	for _, id := range c.members.Voters() {
		if id == c.cfg.ID || c.now-c.progress[id].heardAt > c.cfg.ElectionTimeout {
			continue
		}
		if c.progress[id].match == c.log.last() {
			best = id
		}
	}
	if best == 0 {
		return false
	}
	c.send(Message{Kind: MsgElectNow, To: best})
	return true
}
