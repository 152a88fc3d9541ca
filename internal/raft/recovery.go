package raft

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// ErrRegressed means that a replica's disk is older than what the replica has
// acknowledged to its peers: it was restored from an old copy.
var ErrRegressed = errors.New("raft: disk is older than what this replica has acknowledged")

// RegressionError tells what a peer remembers of this replica that its disk lacks.
type RegressionError struct {
	Peer   ID
	Record PeerRecord
	// Term and Index are what this replica's disk held when it started.
	Term  Term
	Index Index
}

func (e *RegressionError) Error() string {
	return fmt.Sprintf("raft: disk holds term %d and index %d, but replica %s remembers term %d, index %d, committed index %d",
		e.Term, e.Index, e.Peer, e.Record.Term, e.Record.Match, e.Record.Committed)
}

// Unwrap returns ErrRegressed.
func (e *RegressionError) Unwrap() error { return ErrRegressed }

// startRecovery begins the recovery of a restarted replica. A disk restored from an old
// copy lacks votes and acknowledged entries: the replica could vote twice in a term, or
// help to elect a leader without a committed entry. It therefore takes no part until
// enough voters to form a quorum with it, by the newest membership that it hears of, have
// reported what they know of it. If they hear from a leader, the leader must be among
// them. Nothing could be decided without that many replicas, so the wait costs no
// availability. A replica that finds its disk behind what it acknowledged stops for good.
func (c *Core) startRecovery(fresh bool) {
	c.recovering = !fresh && !c.faults.noRecovery
	c.helloAt = c.now
	c.newestMembers, c.newestMembersIndex = c.members, c.membersIndex
	c.hello = Message{Kind: MsgHello, Index: c.log.last(), LogTerm: c.log.lastTerm(), Context: 1}
	if c.cfg.Rand != nil {
		c.hello.Context = c.cfg.Rand.Uint64() | 1
	}
	c.maybeEndRecovery()
}

func (c *Core) tickRecovery() {
	if c.now < c.helloAt {
		return
	}
	c.helloAt = c.now + c.cfg.Heartbeat
	for _, x := range c.newestMembers.Members {
		if x.ID != c.cfg.ID {
			c.sendHello(x.ID)
		}
	}
}

// Find returns a member of this replica's own membership, or of a newer one that a peer
// reported during recovery.
func (c *Core) Find(id ID) (Member, bool) {
	if x, ok := c.members.Find(id); ok {
		return x, true
	}
	return c.newestMembers.Find(id)
}

func (c *Core) sendHello(to ID) {
	m := c.hello
	m.To = to
	c.send(m)
}

// handleHello replies with what this replica remembers of the sender.
func (c *Core) handleHello(m Message) {
	k := c.peerRecords[m.From]
	k.Members, k.MembersIndex = c.members.clone(), c.membersIndex
	if c.inLease() {
		k.Leader = c.leader
	}
	c.send(Message{Kind: MsgHelloReply, To: m.From, Context: m.Context, Record: &k})
	c.helloIfUnanswered(m.From)
}

// helloIfUnanswered sends a hello to a peer that has just shown that it is reachable,
// unless it has replied already. When replicas come back one by one after a power
// failure, a recovering replica grants no vote; without this, the replica that completes
// the quorum would be asked, and ask, up to a heartbeat later.
func (c *Core) helloIfUnanswered(id ID) {
	if _, answered := c.helloReplies[id]; c.recovering && !answered {
		c.sendHello(id)
	}
}

// PeerConnected tells the core that a connection to a peer was just made. Messages sent
// to that peer before are lost.
func (c *Core) PeerConnected(now time.Duration, id ID) {
	c.advanceClock(now)
	if c.halted() {
		return
	}
	c.helloIfUnanswered(id)
}

// WakeAt returns when the core needs a Tick before the regular one; false if it doesn't.
// It is needed for an election after a restart in which no peer hears from a leader.
func (c *Core) WakeAt() (time.Duration, bool) {
	return c.electionAt, c.leaderlessRestart && !c.recovering && !c.halted() && c.state != Leader
}

func (c *Core) handleHelloReply(m Message) {
	if m.Reject {
		c.removed = true
		c.becomeFollower(c.term, 0)
		return
	}
	if !c.recovering || m.Context != c.hello.Context || m.Record == nil {
		return
	}
	if c.diskIsOlder(*m.Record) {
		c.regression = &RegressionError{Peer: m.From, Record: *m.Record, Term: c.term, Index: c.hello.Index}
		return
	}
	c.helloReplies[m.From] = m.Record.Leader
	if m.Record.MembersIndex > c.newestMembersIndex {
		c.newestMembers, c.newestMembersIndex = m.Record.Members, m.Record.MembersIndex
	}
	c.maybeEndRecovery()
}

// diskIsOlder reports whether this replica's disk lacks something that it acknowledged. A
// leader of a later term may have overwritten its entries, but never within one term and
// never committed ones.
func (c *Core) diskIsOlder(k PeerRecord) bool {
	if k.Term > c.term || k.Committed > c.hello.Index {
		return true
	}
	return k.AckTerm == c.term && k.Match > c.hello.Index
}

func (c *Core) maybeEndRecovery() {
	voters := c.newestMembers.Voters()
	needed := len(voters) / 2
	if needed == 0 && len(voters) > 0 && !c.newestMembers.isVoter(c.cfg.ID) {
		needed = 1
	}
	if c.votersReplied() >= needed && c.leaderAnswered() {
		c.recovering = false
		c.leaderlessRestart = c.noLeaderHeard()
		c.resetElection()
		if c.leaderlessRestart {
			c.electionAt = c.now + c.restartDelay()
		}
	}
	if !c.recovering && c.isOnlyVoter() {
		c.electionAt = c.now // no other replica can be the leader
	}
}

// votersReplied counts the other voters that have replied. Members that don't vote may know
// nothing of what this replica acknowledged to a quorum.
func (c *Core) votersReplied() int {
	n := 0
	for id := range c.helloReplies {
		if id != c.cfg.ID && c.newestMembers.isVoter(id) {
			n++
		}
	}
	return n
}

// restartStaggerDivisor staggers the first elections after a restart in which no peer
// hears from a leader, as after a power failure of all VMs. A replica waits the election
// timeout divided by this, times the number of voters with a lower ID that have replied
// to it. A voter that hasn't replied may be lost and isn't waited for.
//
// No full timeout is needed, since every replica that could send a leader's message has
// said that it hears from no leader. The order keeps two replicas that start together
// from splitting the vote, which would cost a whole timeout. A pre-vote comes first, so
// an election that fails disturbs nobody. Three replicas that start together have a
// leader 0.03 s after they connect, where the full timeout takes 1.1 s.
const restartStaggerDivisor = 25

// noLeaderHeard reports whether no peer that replied hears from a leader.
func (c *Core) noLeaderHeard() bool {
	for _, leader := range c.helloReplies {
		if leader != 0 {
			return false
		}
	}
	return len(c.helloReplies) > 0
}

// restartDelay returns how long this replica waits before its first election after a
// restart without a leader.
func (c *Core) restartDelay() time.Duration {
	rank := 0
	for _, id := range c.newestMembers.Voters() {
		if _, answered := c.helloReplies[id]; answered && id < c.cfg.ID {
			rank++
		}
	}
	return time.Duration(rank) * c.cfg.ElectionTimeout / restartStaggerDivisor
}

// leaderAnswered reports whether every leader that a hello reply names has itself replied.
// The leader counted this replica's acknowledgements, while a follower that replies first
// may know of none. If this replica can't reach the leader but its peers can, recovery
// doesn't end, and the cluster works without this replica. Once the peers can't reach the
// leader either, their next replies name none.
func (c *Core) leaderAnswered() bool {
	for _, leader := range c.helloReplies {
		if _, ok := c.helloReplies[leader]; !ok && leader != 0 && leader != c.cfg.ID {
			return false
		}
	}
	return true
}

// recordPeer records what a message shows about its sender's disk.
func (c *Core) recordPeer(m Message) {
	if m.Kind == MsgPreVote || m.Kind == MsgPreVoteReply && !m.Reject {
		return // the sender hasn't stored this term
	}
	k := c.peerRecords[m.From]
	k.Term = max(k.Term, m.Term)
	if m.Kind == MsgAppendReply && !m.Reject {
		if m.Term > k.AckTerm {
			k.AckTerm = m.Term
			k.Match = 0
		}
		if m.Term == k.AckTerm {
			k.Match = max(k.Match, m.Index)
		}
	}
	c.peerRecords[m.From] = c.withCommitted(k)
}

// recordCommits updates what is known of all peers after the leader's commit index has risen.
func (c *Core) recordCommits() {
	for id, k := range c.peerRecords {
		c.peerRecords[id] = c.withCommitted(k)
	}
}

// withCommitted returns the record with the last committed entry that the peer acknowledged.
// Only in the term of that acknowledgement, which this replica leads, are the entry that was
// acknowledged and the one that is committed surely the same: a later leader may have
// overwritten the first.
func (c *Core) withCommitted(k PeerRecord) PeerRecord {
	if c.state == Leader && k.AckTerm == c.term {
		k.Committed = max(k.Committed, min(k.Match, c.log.commit))
	}
	return k
}

// isRemoved reports whether a replica's removal is committed; such a replica is told so.
// An uncommitted removal may still be undone, and that replica may be the only one that
// can lead, so ignoring it could stop all progress.
func (c *Core) isRemoved(id ID) bool {
	if !c.members.WasRemoved(id) {
		return false
	}
	return c.membersIndex <= c.log.commit || c.log.membershipAt(c.log.commit).WasRemoved(id)
}

// halted reports whether this replica has stopped for good.
func (c *Core) halted() bool { return c.regression != nil || c.removed }

// Err returns why this replica has stopped for good: a RegressionError, which matches
// ErrRegressed, or ErrRemoved. It returns nil while the replica takes part.
func (c *Core) Err() error {
	switch {
	case c.regression != nil:
		return c.regression
	case c.removed:
		return ErrRemoved
	}
	return nil
}
