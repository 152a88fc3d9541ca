package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a slow first election after a power failure that destroys one disk of
// three. The two replicas left ask for votes at the same moment and vote for themselves.
// After the refusals they must retry soon; a full election timeout would leave callers
// without a routing table for 1 to 1.5 s longer.
func TestSplitVoteIsRetriedSoon(t *testing.T) {
	is := is.New(t)
	c := newCore(Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}.Defaults(), storedMembers(t, 3, HardState{Term: 2}, 2), time.Hour, faults{noRecovery: true})
	c.Tick(c.electionAt)
	processReady(c)
	c.Step(c.now, Message{Kind: MsgPreVoteReply, From: 2, To: 1, Term: c.term + 1})
	processReady(c)
	is.Equal(c.state, Candidate)
	for _, id := range []ID{2, 3} {
		c.Step(c.now, Message{Kind: MsgVoteReply, From: id, To: 1, Term: c.term, Reject: true})
	}
	processReady(c)
	is.Equal(c.state, Follower)
	wait := c.electionAt - c.now
	is.True(wait <= c.cfg.ElectionTimeout/splitVoteDivisor)
	is.True(wait >= c.cfg.Heartbeat/2) // leaves time for a heartbeat from another winner
}

// Guards against a slow or split first election after all replicas restart. Of those that
// are connected, the one with the lowest ID campaigns at once and the next shortly after;
// unreachable ones aren't waited for. A replica that hears of a leader waits the full
// election timeout.
func TestCommonRestartElectsInOrder(t *testing.T) {
	is := is.New(t)
	start := func(id ID, heard ID) time.Duration {
		c := newCore(Config{ID: id, Rand: rand.New(rand.NewPCG(1, 1))}.Defaults(), storedMembers(t, 3, HardState{Term: 2}, 2), time.Hour, faults{})
		processReady(c)
		other := id%3 + 1
		c.Step(time.Hour, Message{Kind: MsgHelloReply, From: other, To: id, Context: c.hello.Context, Record: &PeerRecord{Leader: heard}})
		is.Equal(c.recovering, heard != 0 && heard != other)
		return c.electionAt - c.now
	}
	step := Config{}.Defaults().ElectionTimeout / restartStaggerDivisor
	is.Equal(start(1, 0), time.Duration(0)) // has a reply from 2
	is.Equal(start(2, 0), time.Duration(0)) // has a reply from 3
	is.Equal(start(3, 0), step)             // has a reply from 1
	is.True(start(1, 2) >= Config{}.Defaults().ElectionTimeout)
}

// Guards against a slow retry when six replicas restart within half a second. The first
// asks for votes while the others are still recovering and grant none. It must ask again
// soon, since no leader was heard from; with the full timeout callers are without a
// routing table for 0.85 s longer.
func TestPreVoteIsRetriedSoonAfterCommonRestart(t *testing.T) {
	is := is.New(t)
	c := newCore(Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}.Defaults(), storedMembers(t, 3, HardState{Term: 2}, 2), time.Hour, faults{})
	processReady(c)
	c.Step(time.Hour, Message{Kind: MsgHelloReply, From: 2, To: 1, Context: c.hello.Context, Record: &PeerRecord{}})
	c.Tick(c.electionAt)
	asked := processReady(c)
	is.Equal(asked[len(asked)-1].Kind, MsgPreVote)
	is.True(c.electionAt-c.now <= c.cfg.ElectionTimeout/2)
	// After a leader is heard from, the full timeout applies.
	c.Step(c.now, Message{Kind: MsgHeartbeat, From: 2, To: 1, Term: 3})
	processReady(c)
	is.Equal(c.leader, ID(2))
	is.True(c.electionAt-c.now >= c.cfg.ElectionTimeout)
}

// Guards against waiting a heartbeat for a hello when replicas come back one by one. The
// first one needs only the second one's reply. It must ask as soon as the connection is
// made, and ask back a peer that asks it, since callers have no routing table until both
// may vote.
func TestHelloIsSentAtOnceWhenPeersConnect(t *testing.T) {
	is := is.New(t)
	c := newCore(Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}.Defaults(), storedMembers(t, 3, HardState{Term: 2}, 2), time.Hour, faults{})
	c.Tick(time.Hour) // sends hellos, but no peer is connected yet
	processReady(c)
	c.PeerConnected(time.Hour+time.Millisecond, 2)
	asked := processReady(c)
	is.Equal(len(asked), 1)
	is.Equal(asked[0].Kind, MsgHello)
	is.Equal(asked[0].To, ID(2))
	c.Step(c.now, Message{Kind: MsgHello, From: 3, To: 1, Context: 9})
	asked = processReady(c)
	is.Equal(len(asked), 2)
	is.Equal(asked[0].Kind, MsgHelloReply)
	is.Equal(asked[1].Kind, MsgHello)
	c.Step(c.now, Message{Kind: MsgHelloReply, From: 2, To: 1, Context: c.hello.Context, Record: &PeerRecord{}})
	at, soon := c.WakeAt()
	is.True(soon)
	is.Equal(at, c.now)
	c.Step(c.now, Message{Kind: MsgHello, From: 3, To: 1, Context: 9})
	is.Equal(len(processReady(c)), 1) // recovery is over, so it only replies
}

// Guards against a replica with an old copy of its disk that takes part after a reply from a
// member that doesn't vote, which knows nothing of what the replica acknowledged.
func TestNonVotersDontEndRecovery(t *testing.T) {
	is := is.New(t)
	stored := storedMembers(t, 3, HardState{Term: 2}, 2)
	members, err := decodeMembers(stored.Entries[0])
	is.NoErr(err)
	members.Members = append(members.Members, Member{ID: 4, Role: Learner})
	stored.Entries[0].Data, err = members.MarshalMsg(nil)
	is.NoErr(err)
	c := newCore(Config{ID: 1}, stored, time.Hour, faults{})
	processReady(c)
	reply := func(from ID) {
		c.Step(time.Hour, Message{Kind: MsgHelloReply, From: from, To: 1, Context: c.hello.Context, Record: &PeerRecord{}})
	}
	reply(4)
	is.True(c.recovering)
	reply(2)
	is.Equal(c.recovering, false)
}

// Guards against a replica that takes its whole disk for an old copy, and gives it up: it had
// acknowledged entries that a later leader overwrote.
func TestOverwrittenEntriesAreNotMissed(t *testing.T) {
	is := is.New(t)
	c := newCore(Config{ID: 1}, storedMembers(t, 5, HardState{Term: 1}), time.Hour, faults{noRecovery: true})
	electLeader(c, 2, 3)
	for range 3 {
		_, err := c.Propose([]byte("never committed"))
		is.NoErr(err)
	}
	c.Step(c.now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: c.log.last()})
	processReady(c)
	const nextTerm = 9
	var committed []Entry
	for i := Index(2); i <= 5; i++ {
		committed = append(committed, Entry{Index: i, Term: nextTerm, Kind: EntryCommand})
	}
	c.Step(c.now, Message{Kind: MsgAppend, From: 3, To: 1, Term: nextTerm, Index: 1, LogTerm: 1, Entries: committed, Commit: 5})
	processReady(c)
	is.Equal(c.log.commit, Index(5))
	c.Step(c.now, Message{Kind: MsgHello, From: 2, To: 1, Term: nextTerm, Index: 2, LogTerm: nextTerm, Context: 7})
	is.Equal(processReady(c)[0].Record.Committed, Index(0)) // 2 has acknowledged none of them to 1
}
