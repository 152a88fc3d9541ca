package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// storedMembers returns a log that begins with a membership of voters 1 to n.
func storedMembers(t *testing.T, n int, hard HardState, terms ...Term) StoredState {
	t.Helper()
	var m Membership
	for i := range n {
		m.Members = append(m.Members, Member{ID: ID(i + 1), Role: Voter})
	}
	data, err := m.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	s := StoredState{Hard: hard, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: data}}}
	for i, term := range terms {
		s.Entries = append(s.Entries, Entry{Index: Index(i + 2), Term: term, Kind: EntryCommand})
	}
	return s
}

// processReady carries out all of a core's work and returns the messages that it sent.
func processReady(c *Core) []Message {
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

func electLeader(c *Core, voters ...ID) {
	now := c.now + 2*c.cfg.ElectionTimeout
	c.Tick(now)
	processReady(c)
	for _, id := range voters {
		c.Step(now, Message{Kind: MsgPreVoteReply, From: id, To: c.cfg.ID, Term: c.term + 1})
	}
	processReady(c)
	for _, id := range voters {
		c.Step(now, Message{Kind: MsgVoteReply, From: id, To: c.cfg.ID, Term: c.term})
	}
	processReady(c)
}

// Guards against committing an entry of an older term by counting replicas (Raft, figure
// 8). A leader copies a term 2 entry to a majority and fails before an entry of its own
// term gets there. A replica with a newer last entry can still win and overwrite it.
func TestOlderTermIsNotCommittedByCount(t *testing.T) {
	for _, broken := range []bool{false, true} {
		is := is.New(t)
		stored := storedMembers(t, 5, HardState{Term: 3}, 2)
		c := newCore(Config{ID: 1}, stored, time.Hour, faults{noRecovery: true, commitOldTerm: broken})
		electLeader(c, 2, 3)
		is.Equal(c.state, Leader)
		for _, id := range []ID{2, 3} {
			c.Step(c.now, Message{Kind: MsgAppendReply, From: id, To: 1, Term: c.term, Index: 2})
		}
		is.Equal(c.log.commit == 2, broken) // committed by counting only if the safeguard is off
		for _, id := range []ID{2, 3} {
			c.Step(c.now, Message{Kind: MsgAppendReply, From: id, To: 1, Term: c.term, Index: 3})
		}
		is.Equal(c.log.commit, Index(3)) // an entry of the leader's term commits all earlier ones
	}
}

// Guards against two votes in one term. A replica votes and loses power; after its
// restart another candidate of the same term asks for its vote. If it forgot its vote,
// both candidates could win.
func TestVotePersistsAcrossRestart(t *testing.T) {
	for _, broken := range []bool{false, true} {
		is := is.New(t)
		c := newCore(Config{ID: 1}, storedMembers(t, 3, HardState{Term: 1}), time.Hour, faults{noRecovery: true})
		vote := Message{Kind: MsgVote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1}
		c.Step(time.Hour, vote)
		r, _ := c.Ready()
		is.True(r.HardChanged)
		is.Equal(len(r.Early), 0) // the reply waits for the sync
		is.Equal(r.Messages[0].Reject, false)

		stored := storedMembers(t, 3, r.Hard)
		if broken {
			stored.Hard.Vote = 0
		}
		c = newCore(Config{ID: 1}, stored, time.Hour, faults{})
		is.True(c.recovering)
		c.Step(time.Hour, vote)
		hello := processReady(c)[0]
		is.Equal(hello.Kind, MsgHello) // it recovers first and replies to no vote request
		c.Step(time.Hour, Message{Kind: MsgHelloReply, From: 2, To: 1, Context: hello.Context, Record: &PeerRecord{Term: 5}})
		vote.From = 3
		c.Step(time.Hour, vote)
		sent := processReady(c)
		is.Equal(len(sent), 1)
		is.Equal(sent[0].Reject, !broken)
	}
}

// restoredCluster is a simulation in which one VM's disk was restored from an old copy.
// That VM and the leader acknowledged commands after the copy was made, while the third
// VM was cut off.
type restoredCluster struct {
	*simulation
	leader, restoredNode, third *node
}

func restoreOldCopy(broken bool) restoredCluster {
	w := restoredCluster{simulation: newSimulation(1, clusterSize{voters: 3}, faults{noRecovery: broken}, environmentFaults{})}
	w.faultFree = true
	for w.leader = nil; w.leader == nil; w.leader = w.simulation.leader() {
		w.stepWithoutFaults(50)
	}
	followers := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n == w.leader })
	w.restoredNode, w.third = followers[0], followers[1]
	w.setLink(w.leader, w.third, false)
	w.setLink(w.restoredNode, w.third, false)
	old := w.restoredNode.disk.copy()
	before := w.checker.count()
	for w.checker.count() < before+5 {
		w.stepWithoutFaults(10)
		w.clientStep()
	}
	w.crash(w.restoredNode)
	w.restoredNode.disk = old
	return w
}

func (w *simulation) setLink(a, b *node, works bool) {
	w.blocked[[2]ID{a.disk.id, b.disk.id}] = !works
	w.blocked[[2]ID{b.disk.id, a.disk.id}] = !works
}

// Guards against losing committed entries when a VM's disk is restored from an old copy.
// The VM helped to commit entries that the copy lacks. With the third VM, which lacks
// them too, it could elect a leader that overwrites them, so it must not take part.
func TestOldDiskCopyIsDetected(t *testing.T) {
	for _, broken := range []bool{false, true} {
		is := is.New(t)
		w := restoreOldCopy(broken)
		w.start(w.restoredNode)
		w.stepWithoutFaults(400)
		is.Equal(errors.Is(w.restoredNode.core.Err(), ErrRegressed), !broken)

		w.crash(w.leader)
		w.setLink(w.restoredNode, w.third, true)
		w.stepWithoutFaults(6000)
		is.Equal(w.checker.failure != "", broken) // without the safeguard committed entries are lost
		if !broken {
			w.start(w.leader)
			w.setLink(w.leader, w.third, true)
			w.stepWithoutFaults(3000)
			is.True(w.simulation.leader() != nil) // the two VMs with intact disks elect a leader
		}
	}
}

// Guards against ending recovery on a follower's reply alone. The third VM, which knows
// nothing of the restored one, replies long before the leader does.
func TestRecoveryWaitsForLeaderAnswer(t *testing.T) {
	is := is.New(t)
	w := restoreOldCopy(false)
	w.setLink(w.leader, w.third, true)
	w.setLink(w.restoredNode, w.third, true)
	w.stepWithoutFaults(2000)
	w.setLink(w.restoredNode, w.leader, false)
	w.start(w.restoredNode)
	w.stepWithoutFaults(2000)
	is.True(w.restoredNode.core.recovering)
	is.Equal(len(w.restoredNode.core.helloReplies), 1) // the third VM has replied
	w.setLink(w.restoredNode, w.leader, true)
	w.stepWithoutFaults(400)
	is.True(errors.Is(w.restoredNode.core.Err(), ErrRegressed))
}

func (w *simulation) stepWithoutFaults(steps int) {
	for range steps {
		w.step++
		w.deliver()
		w.deliver()
		w.tick()
	}
}

// Guards against overlapping membership changes: a second one is refused until the first
// is committed.
func TestSecondMembershipChangeIsRefused(t *testing.T) {
	is := is.New(t)
	c := newCore(Config{ID: 1}, storedMembers(t, 3, HardState{Term: 1}), time.Hour, faults{noRecovery: true})
	electLeader(c, 2)
	_, err := c.RemoveMember(3)
	is.True(errors.Is(err, ErrChangePending)) // no entry of its own term is committed yet
	c.Step(c.now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: 2})
	processReady(c)
	_, err = c.AddLearner(Member{ID: 4, Name: "d"})
	is.NoErr(err)
	_, err = c.RemoveMember(3)
	is.True(errors.Is(err, ErrChangePending))
	c.Step(c.now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: 3})
	processReady(c)
	_, err = c.RemoveMember(3)
	is.NoErr(err)
	c.Step(c.now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: c.term, Index: 4})
	processReady(c)
	_, err = c.AddLearner(Member{ID: 3, Name: "c"})
	is.True(errors.Is(err, ErrRemoved)) // a removed ID can't rejoin
	_, err = c.AddLearner(Member{ID: 5, Name: "d"})
	is.True(errors.Is(err, ErrNameInUse))
	_, err = c.RemoveMember(9)
	is.True(errors.Is(err, ErrUnknownMember))
}

// Guards against an election each time a link recovers: a replica that was cut off and
// campaigned alone must not depose the leader that the others hear.
func TestReturningReplicaDoesNotDeposeLeader(t *testing.T) {
	is := is.New(t)
	w := newSimulation(3, clusterSize{voters: 3}, faults{}, environmentFaults{})
	w.faultFree = true
	for w.leader() == nil {
		w.stepWithoutFaults(50)
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
		w.blocked[[2]ID{n.disk.id, away.disk.id}] = true
		w.blocked[[2]ID{away.disk.id, n.disk.id}] = true
	}
	w.stepWithoutFaults(2000)
	is.Equal(away.core.state, PreCandidate)
	clear(w.blocked)
	w.stepWithoutFaults(2000)
	is.Equal(leader.core.Term(), term)
	is.True(leader.core.IsLeader())
	is.Equal(away.core.Leader(), leader.disk.id)
}

// Guards against a cluster without a leader: a leader appended its own removal and lost
// leadership before it was committed, and one of the four VMs is down. It refuses its
// vote to the others, whose logs are shorter, and the three need each other, so it must
// campaign itself.
func TestUncommittedOwnRemovalAllowsCampaign(t *testing.T) {
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
	c := newCore(Config{ID: 1}, stored, time.Hour, faults{noRecovery: true})
	electLeader(c, 2, 3)
	is.Equal(c.state, Leader)
	for _, id := range []ID{2, 3} {
		c.Step(c.now, Message{Kind: MsgAppendReply, From: id, To: 1, Term: c.term, Index: 3})
	}
	is.Equal(c.log.commit, Index(3))
	is.Equal(c.state, Follower) // it was removed
	c.Tick(c.now + 10*c.cfg.ElectionTimeout)
	is.Equal(len(processReady(c)), 0) // a removed replica doesn't campaign
}

// Guards against a cluster without a leader: one follower has the uncommitted removal of
// another VM, and the VM to be removed now leads or asks for votes. The follower must
// reply to it, or neither can make progress.
func TestUncommittedRemovalStillGetsVotes(t *testing.T) {
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
	c := newCore(Config{ID: 1}, stored, time.Hour, faults{noRecovery: true})
	ask := Message{Kind: MsgVote, From: 2, To: 1, Term: 3, Index: 5, LogTerm: 2}
	c.Step(c.now, ask)
	sent := processReady(c)
	is.Equal(sent[0].Kind, MsgVoteReply)
	is.Equal(sent[0].Reject, false)

	stored.Commit = 2
	c = newCore(Config{ID: 1}, stored, time.Hour, faults{noRecovery: true})
	c.Step(c.now, ask)
	sent = processReady(c)
	is.Equal(sent[0].Kind, MsgHelloReply)
	is.True(sent[0].Reject) // committed: the VM is told that it was removed
}

// Guards against a cluster without a leader. A learner has entries of a leader whose disk
// was then lost; the others count it as a voter because of a promotion entry of an older
// term. It must refuse them its vote and they need it to win, so it must lead itself.
func TestLearnerWithNewestLogCanLead(t *testing.T) {
	is := is.New(t)
	stored := storedMembers(t, 3, HardState{Term: 6}, 6)
	all, err := decodeMembers(stored.Entries[0])
	is.NoErr(err)
	withLearner, err := all.withLearner(Member{ID: 4, Name: "d"})
	is.NoErr(err)
	stored.Entries[0].Data, err = withLearner.MarshalMsg(nil)
	is.NoErr(err)
	c := newCore(Config{ID: 4}, stored, time.Hour, faults{noRecovery: true})
	electLeader(c, 1, 2)
	is.Equal(c.state, Follower) // a learner doesn't campaign
	c.Step(c.now, Message{Kind: MsgPreVote, From: 2, To: 4, Term: 7, Index: 9, LogTerm: 5})
	is.True(processReady(c)[0].Reject)
	electLeader(c, 1, 2)
	is.Equal(c.state, Leader)
	c.Step(c.now, Message{Kind: MsgAppendReply, From: 1, To: 4, Term: c.term, Index: 3})
	is.Equal(c.log.commit, Index(0)) // the learner's own copy doesn't count, so this is one voter of three
	c.Step(c.now, Message{Kind: MsgAppendReply, From: 2, To: 4, Term: c.term, Index: 3})
	is.Equal(c.log.commit, Index(3))
}
