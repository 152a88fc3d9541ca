package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// storedMembers is a log that begins with a membership of n voters, 1 to n.
func storedMembers(t *testing.T, n int, hard HardState, terms ...Term) Stored {
	t.Helper()
	var m Membership
	for i := range n {
		m.Members = append(m.Members, Member{ID: ID(i + 1), Role: Voter})
	}
	data, err := m.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	s := Stored{Hard: hard, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: data}}}
	for i, term := range terms {
		s.Entries = append(s.Entries, Entry{Index: Index(i + 2), Term: term, Kind: EntryCommand})
	}
	return s
}

// settle carries out all of a core's work and returns what it sent.
func settle(c *Core) []Message {
	var sent []Message
	for {
		r, some := c.Ready()
		if !some {
			return sent
		}
		sent = append(sent, append(r.Early, r.Messages...)...)
		c.Advance(r)
	}
}

func elect(c *Core, voters ...ID) {
	now := c.now + 2*c.cfg.ElectionTimeout
	c.Tick(now)
	settle(c)
	for _, id := range voters {
		c.Step(now, Message{Kind: MsgPreVoteReply, From: id, To: c.cfg.ID, Term: c.term + 1})
	}
	settle(c)
	for _, id := range voters {
		c.Step(now, Message{Kind: MsgVoteReply, From: id, To: c.cfg.ID, Term: c.term})
	}
	settle(c)
}

// An operator's command of term 2 was on a minority. A later leader copies it
// to a majority and dies before an entry of its own term got there. A replica
// with a newer last entry may still win and overwrite it, so it mustn't be
// answered as committed yet.
func TestOlderTermIsNotCommittedByCount(t *testing.T) {
	for _, broken := range []bool{false, true} {
		is := is.New(t)
		stored := storedMembers(t, 5, HardState{Term: 3}, 2)
		c := newCore(Config{ID: 1}, stored, time.Hour, faults{noProbation: true, commitOldTerm: broken})
		elect(c, 2, 3)
		is.Equal(c.state, Leader)
		for _, id := range []ID{2, 3} {
			c.Step(c.now, Message{Kind: MsgAppendReply, From: id, To: 1, Term: c.term, Index: 2})
		}
		is.Equal(c.log.commit == 2, broken) // by count alone only if the safeguard is off
		for _, id := range []ID{2, 3} {
			c.Step(c.now, Message{Kind: MsgAppendReply, From: id, To: 1, Term: c.term, Index: 3})
		}
		is.Equal(c.log.commit, Index(3)) // an entry of its own term commits all before it
	}
}

// A replica votes, loses power and comes back. Another candidate of the same
// term asks. If the vote were forgotten, both could win that term.
func TestVoteOutlivesRestart(t *testing.T) {
	for _, broken := range []bool{false, true} {
		is := is.New(t)
		c := newCore(Config{ID: 1}, storedMembers(t, 3, HardState{Term: 1}), time.Hour, faults{noProbation: true})
		vote := Message{Kind: MsgVote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1}
		c.Step(time.Hour, vote)
		r, _ := c.Ready()
		is.True(r.HardChanged)
		is.Equal(len(r.Early), 0) // the answer waits for the sync
		is.Equal(r.Messages[0].Reject, false)

		stored := storedMembers(t, 3, r.Hard)
		if broken {
			stored.Hard.Vote = 0
		}
		c = newCore(Config{ID: 1}, stored, time.Hour, faults{})
		is.True(c.probation)
		c.Step(time.Hour, vote)
		hello := settle(c)[0]
		is.Equal(hello.Kind, MsgHello) // it asks first and answers no vote
		c.Step(time.Hour, Message{Kind: MsgHelloReply, From: 2, To: 1, Context: hello.Context, Known: &Known{Term: 5}})
		vote.From = 3
		c.Step(time.Hour, vote)
		sent := settle(c)
		is.Equal(len(sent), 1)
		is.Equal(sent[0].Reject, !broken)
	}
}

// restored is a world in which one VM's disk was put back to an old copy: it
// and the leader had acknowledged commands since, while the third was cut off.
type restored struct {
	*world
	leader, back, third *node
}

func restoreOldCopy(broken bool) restored {
	w := restored{world: newWorld(1, 3, faults{noProbation: broken}, worldFaults{})}
	w.quiet = true
	for w.leader = nil; w.leader == nil; w.leader = w.world.leader() {
		w.turnQuietly(50)
	}
	rest := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n == w.leader })
	w.back, w.third = rest[0], rest[1]
	w.link(w.leader, w.third, false)
	w.link(w.back, w.third, false)
	old := w.back.disk.copy()
	before := w.check.count()
	for w.check.count() < before+5 {
		w.turnQuietly(10)
		w.clientTurn()
	}
	w.crash(w.back)
	w.back.disk = old
	return w
}

func (w *world) link(a, b *node, works bool) {
	w.cut[[2]ID{a.disk.id, b.disk.id}] = !works
	w.cut[[2]ID{b.disk.id, a.disk.id}] = !works
}

// A VM's disk is restored from a copy made some commands ago. The operator was
// told that those commands are in force, on this VM's word. It must not take
// part again: with the third VM, which lacks them too, it would elect a leader
// that takes them back.
func TestOldCopyOfDiskIsNoticed(t *testing.T) {
	for _, broken := range []bool{false, true} {
		is := is.New(t)
		w := restoreOldCopy(broken)
		w.start(w.back)
		w.turnQuietly(400)
		is.Equal(errors.Is(w.back.core.Err(), ErrRegressed), !broken)

		w.crash(w.leader)
		w.link(w.back, w.third, true)
		w.turnQuietly(6000)
		is.Equal(w.check.failure != "", broken) // committed entries are lost only without the safeguard
		if !broken {
			w.start(w.leader)
			w.link(w.leader, w.third, true)
			w.turnQuietly(3000)
			is.True(w.world.leader() != nil) // the two whose disks are whole go on
		}
	}
}

// The same, but the third VM, which remembers nothing, answers long before the
// leader does. Its answer alone must not let the restored VM take part.
func TestOldCopyOfDiskWaitsForTheLeadersAnswer(t *testing.T) {
	is := is.New(t)
	w := restoreOldCopy(false)
	w.link(w.leader, w.third, true)
	w.link(w.back, w.third, true)
	w.turnQuietly(2000)
	w.link(w.back, w.leader, false)
	w.start(w.back)
	w.turnQuietly(2000)
	is.True(w.back.core.probation)
	is.Equal(len(w.back.core.helloFrom), 1) // the third has answered
	w.link(w.back, w.leader, true)
	w.turnQuietly(400)
	is.True(errors.Is(w.back.core.Err(), ErrRegressed))
}

func (w *world) turnQuietly(steps int) {
	for range steps {
		w.step++
		w.deliver()
		w.deliver()
		w.tick()
	}
}

// Two operators change the membership at once, or one changes it twice. The
// second is refused until the first is committed.
func TestSecondMembershipChangeIsRefused(t *testing.T) {
	is := is.New(t)
	c := newCore(Config{ID: 1}, storedMembers(t, 3, HardState{Term: 1}), time.Hour, faults{noProbation: true})
	elect(c, 2)
	_, err := c.RemoveMember(3)
	is.True(errors.Is(err, ErrChangeOpen)) // no entry of its own term is committed yet
	c.Step(c.now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: 2})
	settle(c)
	_, err = c.AddLearner(Member{ID: 4, Name: "d"})
	is.NoErr(err)
	_, err = c.RemoveMember(3)
	is.True(errors.Is(err, ErrChangeOpen))
	c.Step(c.now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: 3})
	settle(c)
	_, err = c.RemoveMember(3)
	is.NoErr(err)
	c.Step(c.now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: 4})
	settle(c)
	_, err = c.AddLearner(Member{ID: 3, Name: "c"})
	is.True(errors.Is(err, ErrRemoved)) // an identity never returns
	_, err = c.AddLearner(Member{ID: 5, Name: "d"})
	is.True(errors.Is(err, ErrNameInUse))
	_, err = c.RemoveMember(9)
	is.True(errors.Is(err, ErrUnknown))
}

// A replica that was cut off campaigns alone. Back together it must not unseat
// the leader that the others hear: commands would stall for an election each
// time that a link recovers.
func TestReturningReplicaDoesNotUnseatLeader(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 3, faults{}, worldFaults{})
	w.quiet = true
	for w.leader() == nil {
		w.turnQuietly(50)
	}
	leader := w.leader()
	term := leader.core.Term()
	var away *node
	for _, n := range w.nodes {
		if n != leader {
			away = n
		}
	}
	for _, n := range w.nodes {
		w.cut[[2]ID{n.disk.id, away.disk.id}] = true
		w.cut[[2]ID{away.disk.id, n.disk.id}] = true
	}
	w.turnQuietly(2000)
	is.Equal(away.core.state, PreCandidate)
	clear(w.cut)
	w.turnQuietly(2000)
	is.Equal(leader.core.Term(), term)
	is.True(leader.core.Leads())
	is.Equal(away.core.Leader(), leader.disk.id)
}

// A leader has appended its own removal and lost the lead before that was
// committed. One of the four VMs is dead. The old leader refuses its vote to
// the others, whose logs are shorter, and the three need each other: unless it
// campaigns itself, commands stop for good.
func TestOwnRemovalIsFinishedByCampaigning(t *testing.T) {
	is := is.New(t)
	stored := storedMembers(t, 4, HardState{Term: 2})
	all, err := decodeMembers(stored.Entries[0])
	is.NoErr(err)
	rest, err := all.without(1)
	is.NoErr(err)
	data, err := rest.MarshalMsg(nil)
	is.NoErr(err)
	stored.Entries = append(stored.Entries, Entry{Index: 2, Term: 2, Kind: EntryMembers, Data: data})
	stored.Commit = 1
	c := newCore(Config{ID: 1}, stored, time.Hour, faults{noProbation: true})
	elect(c, 2, 3)
	is.Equal(c.state, Leader)
	for _, id := range []ID{2, 3} {
		c.Step(c.now, Message{Kind: MsgAppendReply, From: id, To: 1, Term: c.term, Index: 3})
	}
	is.Equal(c.log.commit, Index(3))
	is.Equal(c.state, Follower) // removed, and nothing more to do
	c.Tick(c.now + 10*c.cfg.ElectionTimeout)
	is.Equal(len(settle(c)), 0) // it campaigns no more
}

// A leader has appended another VM's removal, one follower has it too, and the
// lead is lost before it is committed. The VM to be removed now leads, or asks
// for votes: the follower must answer it, or the two wait for ever.
func TestUncommittedRemovalBarsNobody(t *testing.T) {
	is := is.New(t)
	stored := storedMembers(t, 3, HardState{Term: 2})
	all, err := decodeMembers(stored.Entries[0])
	is.NoErr(err)
	rest, err := all.without(2)
	is.NoErr(err)
	data, err := rest.MarshalMsg(nil)
	is.NoErr(err)
	stored.Entries = append(stored.Entries, Entry{Index: 2, Term: 2, Kind: EntryMembers, Data: data})
	stored.Commit = 1
	c := newCore(Config{ID: 1}, stored, time.Hour, faults{noProbation: true})
	ask := Message{Kind: MsgVote, From: 2, To: 1, Term: 3, Index: 5, LogTerm: 2}
	c.Step(c.now, ask)
	sent := settle(c)
	is.Equal(sent[0].Kind, MsgVoteReply)
	is.Equal(sent[0].Reject, false)

	stored.Commit = 2
	c = newCore(Config{ID: 1}, stored, time.Hour, faults{noProbation: true})
	c.Step(c.now, ask)
	sent = settle(c)
	is.Equal(sent[0].Kind, MsgHelloReply)
	is.True(sent[0].Reject) // committed: it is told that it is out for good
}

// A learner holds entries of a leader whose disk was then lost; the others hold
// the learner's promotion, of an older term, and count it as a voter. It must
// refuse them its vote, and they can't win without it: unless it takes the lead
// itself, commands stop for good.
func TestLearnerWithTheNewestLogLeadsIfNeeded(t *testing.T) {
	is := is.New(t)
	stored := storedMembers(t, 3, HardState{Term: 6}, 6)
	all, err := decodeMembers(stored.Entries[0])
	is.NoErr(err)
	withLearner, err := all.withLearner(Member{ID: 4, Name: "d"})
	is.NoErr(err)
	stored.Entries[0].Data, err = withLearner.MarshalMsg(nil)
	is.NoErr(err)
	c := newCore(Config{ID: 4}, stored, time.Hour, faults{noProbation: true})
	elect(c, 1, 2)
	is.Equal(c.state, Follower) // a learner campaigns for nothing
	c.Step(c.now, Message{Kind: MsgPreVote, From: 2, To: 4, Term: 7, Index: 9, LogTerm: 5})
	is.True(settle(c)[0].Reject)
	elect(c, 1, 2)
	is.Equal(c.state, Leader)
	c.Step(c.now, Message{Kind: MsgAppendReply, From: 1, To: 4, Term: c.term, Index: 3})
	is.Equal(c.log.commit, Index(0)) // its own copy doesn't count: one voter of three
	c.Step(c.now, Message{Kind: MsgAppendReply, From: 2, To: 4, Term: c.term, Index: 3})
	is.Equal(c.log.commit, Index(3))
}
