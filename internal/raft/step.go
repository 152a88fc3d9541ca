package raft

import "time"

// Step handles one message.
func (c *Core) Step(now time.Duration, m Message) {
	c.advanceClock(now)
	if m.To != c.cfg.ID || m.From == c.cfg.ID || c.halted() {
		return
	}
	switch {
	case m.Kind == MsgHelloReply:
		c.handleHelloReply(m)
	case c.isRemoved(m.From):
		c.send(Message{Kind: MsgHelloReply, To: m.From, Reject: true})
	case m.Kind == MsgHello:
		c.handleHello(m)
	case c.recovering:
		c.sendHello(m.From)
	default:
		c.recordPeer(m)
		if c.reconcileTerm(m) {
			c.dispatch(m)
		}
	}
}

func (c *Core) dispatch(m Message) {
	switch m.Kind {
	case MsgPreVote, MsgVote:
		c.handleVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		c.handleVoteReply(m)
	case MsgAppend:
		c.followLeader(m)
		c.handleAppend(m)
	case MsgHeartbeat:
		c.followLeader(m)
		c.handleHeartbeat(m)
	case MsgSnapshot:
		c.followLeader(m)
		c.handleSnapshot(m)
	case MsgAppendReply, MsgHeartbeatReply, MsgSnapshotReply:
		c.handleReply(m)
	case MsgReadIndex:
		c.handleReadIndex(m)
	case MsgReadIndexReply:
		c.handleReadIndexReply(m)
	case MsgTimeoutNow:
		if c.state == Follower && m.From == c.leader {
			c.campaign(false, true)
		}
	}
}

// reconcileTerm compares the message's term with the current one and updates the replica.
// It returns false if the message needs no further handling.
func (c *Core) reconcileTerm(m Message) bool {
	switch {
	case m.Term > c.term:
		return c.handleNewerTerm(m)
	case m.Term < c.term:
		c.replyToOlderTerm(m)
		return false
	}
	return true
}

func (c *Core) handleNewerTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote, MsgVote:
		if c.inLease() && !m.IgnoreLease {
			return false
		}
		if m.Kind == MsgVote {
			c.becomeFollower(m.Term, 0)
		}
	case MsgPreVoteReply:
		if !m.Reject {
			return m.Term == c.term+1 // granted for the term asked for
		}
		c.becomeFollower(m.Term, 0)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, 0)
	}
	return true
}

// replyToOlderTerm tells the sender of an older term about the newer one. Otherwise a
// replica whose term is too high, and that nobody votes for, would ignore a healthy
// leader for good.
func (c *Core) replyToOlderTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: c.log.last()})
	case MsgPreVote:
		c.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// followLeader accepts the sender as the leader of the current term.
func (c *Core) followLeader(m Message) {
	if c.state != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.leaderHeardAt = c.now
	c.hasNewerLog = false
	c.resetElection()
}
