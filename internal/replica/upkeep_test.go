package replica

import (
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/raft"
)

// testUpkeep is in proportion to the tests' heartbeat of 20 ms.
func testUpkeep(c *Config) {
	c.Upkeep = Upkeep{ReplaceAfter: 300 * time.Millisecond, EvictAfter: 800 * time.Millisecond}
}

// votes tells whether all know the replica as a voter; none may.
func votes(members []*member, id raft.ID) bool {
	for _, m := range members {
		known := false
		for _, x := range m.Status().Members {
			known = known || x.ID == id && x.Role == raft.Voter
		}
		if !known {
			return false
		}
	}
	return true
}

// A control VM loses its disk and comes back empty under its name. Nobody is
// there to replace the member: the leader does, once the old one is silent, and
// three vote again. What was accepted is on the empty disk too.
func TestLostDiskIsReplacedWithoutAnOperator(t *testing.T) {
	is := is.New(t)
	members := trio(t, testUpkeep)
	mustPropose(t, members[0], "before")
	lost := members[2]
	old := lost.ID()
	is.NoErr(lost.Close())
	is.NoErr(os.RemoveAll(lost.folder))
	lost.start()
	is.True(lost.ID() != old)
	await(t, "its vote", func() bool { return votes(members, lost.ID()) && !votes(members, old) })
	sameCommands(t, members, []string{"before"})
}

// linked tells whether a replica keeps a link to another one.
func (m *member) linked(id raft.ID) bool {
	m.links.mu.Lock()
	defer m.links.mu.Unlock()
	return m.links.byReplica[id] != nil
}

// Guards against replicas that go on dialling one that was removed, for as long as they
// run, and are answered by the fresh one at its address.
func TestLinksToARemovedReplicaEnd(t *testing.T) {
	is := is.New(t)
	members := trio(t, testUpkeep)
	lost := members[2]
	old := lost.ID()
	is.NoErr(lost.Close())
	is.NoErr(os.RemoveAll(lost.folder))
	lost.start()
	await(t, "its vote", func() bool { return votes(members, lost.ID()) && !votes(members, old) })
	for _, m := range members[:2] {
		await(t, "the link's end", func() bool { return !m.linked(old) })
	}
}

// A control VM is gone for good and an empty one comes under another name. If it
// joined beside the lost one, four would vote with one gone, and the loss of one
// more disk, with the others back from a power cut, would leave two of four: no
// leader, nothing accepted any more.
func TestNewVMTakesTheSilentVotersPlace(t *testing.T) {
	is := is.New(t)
	members := trio(t, testUpkeep)
	mustPropose(t, members[0], "before")
	is.NoErr(members[2].Close())
	rest := members[:2]
	await(t, "the loss to be noticed", func() bool {
		for _, m := range leaderOf(t, rest).Status().Members {
			if m.Silence > 400*time.Millisecond {
				return true
			}
		}
		return false
	})
	next := newMember(t, members[0].net, "d", members[0].address, members[1].address)
	testUpkeep(&next.cfg)
	next.start()
	now := []*member{members[0], members[1], next}
	await(t, "the successor's vote", func() bool { return votes(now, next.ID()) && !votes(now, members[2].ID()) })

	// The second loss: one of the two old ones comes back with an empty disk.
	is.NoErr(members[1].Close())
	is.NoErr(os.RemoveAll(members[1].folder))
	members[1].start()
	await(t, "its vote", func() bool { return votes(now, members[1].ID()) })
	sameCommands(t, now, []string{"before"})
}

// The successor comes first, then the old VM goes for good. Four vote until the
// leader removes the silent one.
func TestVMThatWentAfterItsSuccessorCameIsEvicted(t *testing.T) {
	is := is.New(t)
	members := trio(t, testUpkeep)
	next := newMember(t, members[0].net, "d", members[0].address)
	testUpkeep(&next.cfg)
	next.start()
	all := append([]*member{next}, members...)
	waitVoters(t, all, 4)
	is.NoErr(members[2].Close())
	waitVoters(t, []*member{next, members[0], members[1]}, 3)
	mustPropose(t, next, "after")
}

// A VM that was cut off for long comes back after it was evicted: it learns that
// it was removed and stops, so that its user starts it as a fresh one.
func TestEvictedReplicaLearnsOfIt(t *testing.T) {
	members := trio(t, testUpkeep)
	next := newMember(t, members[0].net, "d", members[0].address)
	testUpkeep(&next.cfg)
	next.start()
	all := append([]*member{next}, members...)
	waitVoters(t, all, 4)
	cut := members[2]
	cut.net.isolate(cut, all, true)
	waitVoters(t, []*member{next, members[0], members[1]}, 3)
	cut.net.isolate(cut, all, false)
	cut.waitDone()
	if !errors.Is(cut.Err(), raft.ErrRemoved) {
		t.Errorf("ended with %v", cut.Err())
	}
}

// Three voters are never fewer for silence alone: with two, one more loss stops
// everything.
func TestEvictionKeepsThreeVoters(t *testing.T) {
	is := is.New(t)
	voter := func(id raft.ID, silent time.Duration) raft.MemberStatus {
		return raft.MemberStatus{Member: raft.Member{ID: id, Role: raft.Voter}, Silence: silent}
	}
	u := Upkeep{EvictAfter: time.Second}
	beat := 20 * time.Millisecond
	_, ok := u.evictable([]raft.MemberStatus{voter(1, 0), voter(2, 0), voter(3, time.Hour)}, beat)
	is.Equal(ok, false)
	lost, ok := u.evictable([]raft.MemberStatus{voter(1, 0), voter(2, 0), voter(3, time.Hour), voter(4, 0)}, beat)
	is.True(ok)
	is.Equal(lost.ID, raft.ID(3))
	// Two of four are silent: the rest is no majority, and a removal would
	// decide without those who may hold what was accepted.
	_, ok = u.evictable([]raft.MemberStatus{voter(1, 0), voter(2, 0), voter(3, time.Hour), voter(4, time.Hour)}, beat)
	is.Equal(ok, false)
	_, ok = Upkeep{}.evictable([]raft.MemberStatus{voter(1, 0), voter(2, 0), voter(3, time.Hour), voter(4, 0)}, beat)
	is.Equal(ok, false) // left to an operator
}
