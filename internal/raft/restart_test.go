package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An operator's system lost all power and one disk: of three voters two come
// back, and each needs the other's vote. Both ask at the same moment and vote for
// themselves. The refusals say at once that neither has won; if each then waited
// for a leader's word, as after any election, callers would wait one to one and a
// half seconds longer for the first table.
func TestSplitVotesAreRepeatedSoon(t *testing.T) {
	is := is.New(t)
	c := newCore(Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}.Defaults(), storedMembers(t, 3, HardState{Term: 2}, 2), time.Hour, faults{noProbation: true})
	c.Tick(c.electionAt)
	settle(c)
	c.Step(c.now, Message{Kind: MsgPreVoteReply, From: 2, To: 1, Term: c.term + 1})
	settle(c)
	is.Equal(c.state, Candidate)
	for _, id := range []ID{2, 3} {
		c.Step(c.now, Message{Kind: MsgVoteReply, From: id, To: 1, Term: c.term, Reject: true})
	}
	settle(c)
	is.Equal(c.state, Follower)
	wait := c.electionAt - c.now
	is.True(wait <= c.cfg.ElectionTimeout/splitShare)
	is.True(wait >= c.cfg.Heartbeat/2) // another winner's word comes first
}

// All replicas restarted, and nobody hears a leader: of those that have met, the
// first in the order of identities asks at once, the next a moment later; one that
// nobody has met isn't waited for. One that hears of a leader waits as ever.
func TestCommonRestartElectsInOrder(t *testing.T) {
	is := is.New(t)
	start := func(id ID, heard ID) time.Duration {
		c := newCore(Config{ID: id, Rand: rand.New(rand.NewPCG(1, 1))}.Defaults(), storedMembers(t, 3, HardState{Term: 2}, 2), time.Hour, faults{})
		settle(c)
		other := id%3 + 1
		c.Step(time.Hour, Message{Kind: MsgHelloReply, From: other, To: id, Context: c.boot.Context, Known: &Known{Leader: heard}})
		is.Equal(c.probation, heard != 0 && heard != other)
		return c.electionAt - c.now
	}
	step := Config{}.Defaults().ElectionTimeout / firstShare
	is.Equal(start(1, 0), time.Duration(0)) // has met 2
	is.Equal(start(2, 0), time.Duration(0)) // has met 3
	is.Equal(start(3, 0), step)             // has met 1
	is.True(start(1, 2) >= Config{}.Defaults().ElectionTimeout)
}

// Six replicas restart one after the other within half a second. The first asks
// for votes while the others still ask what is known of them and give none. It
// asks again soon, since nobody has heard a leader since the restart; with the
// usual wait callers were without a table for 0.85 s longer.
func TestVainRequestAfterACommonRestartIsRepeatedSoon(t *testing.T) {
	is := is.New(t)
	c := newCore(Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}.Defaults(), storedMembers(t, 3, HardState{Term: 2}, 2), time.Hour, faults{})
	settle(c)
	c.Step(time.Hour, Message{Kind: MsgHelloReply, From: 2, To: 1, Context: c.boot.Context, Known: &Known{}})
	c.Tick(c.electionAt)
	asked := settle(c)
	is.Equal(asked[len(asked)-1].Kind, MsgPreVote)
	is.True(c.electionAt-c.now <= c.cfg.ElectionTimeout/2)
	// Once a leader is heard, only its silence counts.
	c.Step(c.now, Message{Kind: MsgHeartbeat, From: 2, To: 1, Term: 3})
	settle(c)
	is.Equal(c.lead, ID(2))
	is.True(c.electionAt-c.now >= c.cfg.ElectionTimeout)
}

// All replicas lost power and come back one by one. The second one's word is all
// that the first still needs: it asks as soon as the connection stands, and asks
// back one that asks it, so that neither waits for the next heartbeat before it
// may vote. Callers are without a table meanwhile.
func TestReplicasThatMeetAfterACommonRestartAskAtOnce(t *testing.T) {
	is := is.New(t)
	c := newCore(Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}.Defaults(), storedMembers(t, 3, HardState{Term: 2}, 2), time.Hour, faults{})
	c.Tick(time.Hour) // asks, but nobody is there yet
	settle(c)
	c.Met(time.Hour+time.Millisecond, 2)
	asked := settle(c)
	is.Equal(len(asked), 1)
	is.Equal(asked[0].Kind, MsgHello)
	is.Equal(asked[0].To, ID(2))
	c.Step(c.now, Message{Kind: MsgHello, From: 3, To: 1, Context: 9})
	asked = settle(c)
	is.Equal(len(asked), 2)
	is.Equal(asked[0].Kind, MsgHelloReply)
	is.Equal(asked[1].Kind, MsgHello)
	c.Step(c.now, Message{Kind: MsgHelloReply, From: 2, To: 1, Context: c.boot.Context, Known: &Known{}})
	at, soon := c.WakeAt()
	is.True(soon)
	is.Equal(at, c.now)
	c.Step(c.now, Message{Kind: MsgHello, From: 3, To: 1, Context: 9})
	is.Equal(len(settle(c)), 1) // it knows enough, and only answers
}
