package raft

import "time"

// Step takes one message in.
func (c *Core) Step(now time.Duration, m Message) {
	c.setNow(now)
	if m.To != c.cfg.ID || m.From == c.cfg.ID || c.halted() {
		return
	}
	switch {
	case m.Kind == MsgHelloReply:
		c.handleHelloReply(m)
	case c.isBarred(m.From):
		c.send(Message{Kind: MsgHelloReply, To: m.From, Reject: true})
	case m.Kind == MsgHello:
		c.handleHello(m)
	case c.probation:
		c.sendHello(m.From)
	default:
		c.learn(m)
		if c.settleTerm(m) {
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
	case MsgElectNow:
		if c.state == Follower && m.From == c.lead {
			c.campaign(false, true)
		}
	}
}

// settleTerm brings the terms of message and replica together; false if the
// message is not to be handled further.
func (c *Core) settleTerm(m Message) bool {
	switch {
	case m.Term > c.term:
		return c.settleNewer(m)
	case m.Term < c.term:
		c.answerOlder(m)
		return false
	}
	return true
}

func (c *Core) settleNewer(m Message) bool {
	switch m.Kind {
	case MsgPreVote, MsgVote:
		if c.inLease() && !m.Forced {
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

// answerOlder tells the sender of an older term about the newer one. Without
// it a replica whose term ran ahead, and that nobody votes for, would ignore a
// healthy leader for good.
func (c *Core) answerOlder(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: c.log.last()})
	case MsgPreVote:
		c.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// followLeader accepts the sender as the leader of the current term.
func (c *Core) followLeader(m Message) {
	if c.state != Follower || c.lead != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.heardLead = c.now
	c.needed = false
	c.resetElection()
}
