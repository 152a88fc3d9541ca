package replica

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/raft"
)

// testMembershipPolicy sets times in proportion to the tests' heartbeat of 20 ms.
func testMembershipPolicy(c *Config) {
	c.MembershipPolicy = MembershipPolicy{ReplaceAfter: 300 * time.Millisecond, EvictAfter: 800 * time.Millisecond}
}

// allSeeVoter reports whether all members see the replica as a voter.
func allSeeVoter(members []*member, id raft.ID) bool {
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

// Guards against a cluster that stays short of a voter. A control VM loses its disk and
// comes back empty under its name. Without an operator, the leader replaces the old
// member once it is silent, and the empty disk gets everything that was accepted.
func TestLostDiskIsReplacedWithoutAnOperator(t *testing.T) {
	is := is.New(t)
	members := startThree(t, testMembershipPolicy)
	mustPropose(t, members[0], "before")
	lost := members[2]
	old := lost.ID()
	is.NoErr(lost.Close())
	is.NoErr(os.RemoveAll(lost.folder))
	lost.start()
	is.True(lost.ID() != old)
	waitFor(t, "its vote", func() bool { return allSeeVoter(members, lost.ID()) && !allSeeVoter(members, old) })
	requireCommands(t, members, []string{"before"})
}

// hasLink reports whether a replica keeps a link to another one.
func (m *member) hasLink(id raft.ID) bool {
	m.links.mu.Lock()
	defer m.links.mu.Unlock()
	return m.links.byReplica[id] != nil
}

// Guards against links that dial a removed replica for as long as the process runs, and
// reach the new replica at its address.
func TestLinksToARemovedReplicaEnd(t *testing.T) {
	is := is.New(t)
	members := startThree(t, testMembershipPolicy)
	lost := members[2]
	old := lost.ID()
	is.NoErr(lost.Close())
	is.NoErr(os.RemoveAll(lost.folder))
	lost.start()
	waitFor(t, "its vote", func() bool { return allSeeVoter(members, lost.ID()) && !allSeeVoter(members, old) })
	for _, m := range members[:2] {
		waitFor(t, "the link to be removed", func() bool { return !m.hasLink(old) })
	}
}

// Guards against a lost voter that stays a voter after its successor has joined. A control
// VM is lost for good, and one with an empty disk joins under another name. With four
// voters, one of them lost, the loss of one more disk would leave two of four: no majority,
// so no leader, and no command accepted.
func TestNewVMReplacesSilentVoter(t *testing.T) {
	is := is.New(t)
	members := startThree(t, testMembershipPolicy)
	mustPropose(t, members[0], "before")
	is.NoErr(members[2].Close())
	rest := members[:2]
	waitFor(t, "the leader to notice the loss", func() bool {
		for _, m := range leaderOf(t, rest).Status().Members {
			if m.Silence > 400*time.Millisecond {
				return true
			}
		}
		return false
	})
	next := newMember(t, members[0].net, "d", members[0].address, members[1].address)
	testMembershipPolicy(&next.cfg)
	next.start()
	now := []*member{members[0], members[1], next}
	waitFor(t, "the successor to become a voter", func() bool { return allSeeVoter(now, next.ID()) && !allSeeVoter(now, members[2].ID()) })

	// The second loss: one of the two old VMs comes back with an empty disk.
	is.NoErr(members[1].Close())
	is.NoErr(os.RemoveAll(members[1].folder))
	members[1].start()
	waitFor(t, "its vote", func() bool { return allSeeVoter(now, members[1].ID()) })
	requireCommands(t, now, []string{"before"})
}

// Guards against a lost voter that stays a voter forever. The successor joins first, then
// the old VM is lost for good. There are four voters until the leader evicts the silent
// one.
func TestLostVMIsEvictedAfterSuccessorJoined(t *testing.T) {
	is := is.New(t)
	members := startThree(t, testMembershipPolicy)
	next := newMember(t, members[0].net, "d", members[0].address)
	testMembershipPolicy(&next.cfg)
	next.start()
	all := append([]*member{next}, members...)
	waitVoters(t, all, 4)
	is.NoErr(members[2].Close())
	waitVoters(t, []*member{next, members[0], members[1]}, 3)
	mustPropose(t, next, "after")
}

// Guards against an evicted replica that keeps running. A VM that was cut off for long
// comes back after its eviction. It learns that it was removed and stops, so that the
// process can start it as a new replica.
func TestEvictedReplicaStops(t *testing.T) {
	members := startThree(t, testMembershipPolicy)
	next := newMember(t, members[0].net, "d", members[0].address)
	testMembershipPolicy(&next.cfg)
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

// tolerate sets the test's policy for a deployment that tolerates n lost members.
func tolerate(n int) func(*Config) {
	return func(c *Config) {
		testMembershipPolicy(c)
		c.MembershipPolicy.FaultTolerance = n
	}
}

// startNewcomers starts VMs with empty disks that ask the members to join.
func startNewcomers(t *testing.T, members []*member, change func(*Config), names ...string) []*member {
	t.Helper()
	var started []*member
	for _, name := range names {
		m := newMember(t, members[0].net, name)
		for _, x := range members {
			m.cfg.Peers = append(m.cfg.Peers, x.address)
		}
		change(&m.cfg)
		m.start()
		started = append(started, m)
	}
	return started
}

// waitVotersAre waits until exactly the given replicas are voters, in their own view.
func waitVotersAre(t *testing.T, want []*member) {
	t.Helper()
	waitFor(t, "the expected voters", func() bool {
		for _, m := range want {
			if voters(m.Status()) != len(want) || !allSeeVoter(want, m.ID()) {
				return false
			}
		}
		return true
	})
}

// lastJoined returns the replica that joined last. startThree starts two at the same time,
// which join in any order.
func lastJoined(members []*member) *member {
	joined := members[0].Status().Members
	return members[slices.IndexFunc(members, func(m *member) bool { return m.ID() == joined[len(joined)-1].ID })]
}

// kill ends replicas all at once, without a last message to the others.
func kill(t *testing.T, all []*member, killed ...*member) {
	t.Helper()
	for _, m := range killed {
		m.net.isolate(m, all, true)
	}
	for _, m := range killed {
		is.New(t).NoErr(m.Close())
	}
}

// Guards against the end of control after a planned replacement of all VMs: the successors
// have caught up, but the old VMs still count towards the quorum when they leave.
func TestSuccessorsTakeOverBeforeOldVMsLeave(t *testing.T) {
	old := startThree(t, tolerate(1))
	mustPropose(t, old[0], "before")
	successors := startNewcomers(t, old, tolerate(1), "d", "e", "f")
	waitVotersAre(t, successors)
	kill(t, append(old, successors...), old...)
	mustPropose(t, successors[0], "after")
	requireCommands(t, successors, []string{"before", "after"})
	waitFor(t, "the old VMs to be removed", func() bool { return len(successors[0].Status().Members) == 3 })
}

// Guards against evicting below three until the leader hasn't heard from the member for the given time
// or has removed it.
func waitSilentOrRemoved(t *testing.T, members []*member, silent *member, atLeast time.Duration) {
	t.Helper()
	waitFor(t, "the leader to notice that "+silent.name+" is silent", func() bool {
		s := leaderOf(t, members).Status()
		return silenceOf(s.Members, silent.ID()) >= atLeast || slices.Contains(s.Removed, silent.ID())
	})
}

// Guards against losing accepted commands for good: two of five VMs are down for longer than
// EvictAfter, and two others lose their disks meanwhile.
func TestTwoDisksLostWhileTwoVMsAreDown(t *testing.T) {
	is := is.New(t)
	members := startThree(t, tolerate(2))
	members = append(members, startNewcomers(t, members, tolerate(2), "d", "e")...)
	waitVoters(t, members, 5)
	down, up := members[3:], members[:3]
	for _, m := range down {
		is.NoErr(m.Close())
	}
	for _, m := range down {
		waitSilentOrRemoved(t, up, m, 3*m.cfg.MembershipPolicy.EvictAfter)
	}
	mustPropose(t, up[0], "accepted")
	lost := up[:2]
	for _, m := range lost {
		is.NoErr(m.Close())
		is.NoErr(os.RemoveAll(m.folder))
		m.cfg.Bootstrap = false
	}
	for _, m := range append(down, lost...) {
		m.start()
	}
	requireCommands(t, members, []string{"accepted"})
	for _, m := range lost {
		waitFor(t, "the vote of a VM that lost its disk", func() bool { return allSeeVoter(members, m.ID()) })
	}
}

// Guards against the end of control after a planned replacement and one lost disk: the old
// VM still counts towards the quorum while it is silent.
func TestStandbyReplacesVMThatLeft(t *testing.T) {
	is := is.New(t)
	members := startThree(t, tolerate(1))
	mustPropose(t, members[0], "before")
	all := append(members, startNewcomers(t, members, tolerate(1), "d")...)
	waitFor(t, "the newcomer to become a voter", func() bool { return allSeeVoter(all, all[3].ID()) })
	waitFor(t, "an old VM to become a standby", func() bool { return voters(all[0].Status()) == 3 })
	var leaves *member
	for _, m := range members {
		if allSeeVoter(all, m.ID()) {
			leaves = m
		}
	}
	kill(t, all, leaves)
	left := others(all, leaves)
	waitVotersAre(t, left)
	lost := left[0]
	kill(t, left, lost)
	is.NoErr(os.RemoveAll(lost.folder))
	mustPropose(t, left[1], "after")
	requireCommands(t, left[1:], []string{"before", "after"})
}

// Guards against a window after a planned stop in which one lost disk ends control: the VM
// that stopped, leader or not, still counts towards the quorum.
func TestStoppingVoterHandsOver(t *testing.T) {
	is := is.New(t)
	members := startThree(t, tolerate(1))
	mustPropose(t, members[0], "before")
	is.Equal(leaderOf(t, members).HandOver(withTimeout(t, waitTimeout)), raft.ErrNoStandby)
	last := lastJoined(members)
	newcomers := startNewcomers(t, members, tolerate(1), "d", "e")
	all := append(members, newcomers...)
	waitVotersAre(t, append(newcomers, last))
	stops := leaderOf(t, append(newcomers, last))
	is.NoErr(stops.HandOver(withTimeout(t, waitTimeout)))
	is.NoErr(stops.HandOver(withTimeout(t, waitTimeout))) // no voter any more
	left := slices.DeleteFunc(others(all, stops), func(m *member) bool { return !allSeeVoter(others(all, stops), m.ID()) })
	is.Equal(len(left), 3)
	kill(t, all, stops, left[0])
	mustPropose(t, left[1], "after")
	requireCommands(t, left[1:], []string{"before", "after"})
}

// Guards against a voter that stops without handing over, because its standby lacks the newest
// entries for a moment.
func TestStoppingVoterWaitsForItsStandby(t *testing.T) {
	is := is.New(t)
	slowly := func(c *Config) {
		tolerate(1)(c)
		c.Heartbeat = 200 * time.Millisecond // time for the standby to connect again
	}
	members := startThree(t, slowly)
	all := append(members, startNewcomers(t, members, slowly, "d")...)
	waitFor(t, "a standby", func() bool { return allSeeVoter(all, all[3].ID()) && voters(all[0].Status()) == 3 })
	standby := all[slices.IndexFunc(all, func(m *member) bool { return !allSeeVoter(all, m.ID()) })]
	standby.net.isolate(standby, all, true)
	stops := others(all, standby)[0]
	mustPropose(t, stops, "newest")
	handedOver := make(chan error, 1)
	go func() { handedOver <- stops.HandOver(withTimeout(t, waitTimeout)) }()
	time.Sleep(50 * time.Millisecond)
	standby.net.isolate(standby, all, false)
	is.NoErr(<-handedOver)
}

// Guards against evicting below three voters: with two, one more loss stops all commands.
func TestEvictionKeepsThreeVoters(t *testing.T) {
	is := is.New(t)
	voter := func(id raft.ID, silent time.Duration) raft.MemberStatus {
		return raft.MemberStatus{Member: raft.Member{ID: id, Role: raft.Voter}, Silence: silent}
	}
	p := MembershipPolicy{EvictAfter: time.Second}
	heartbeat := 20 * time.Millisecond
	_, ok := p.evictionCandidate([]raft.MemberStatus{voter(1, 0), voter(2, 0), voter(3, time.Hour)}, heartbeat)
	is.Equal(ok, false)
	lost, ok := p.evictionCandidate([]raft.MemberStatus{voter(1, 0), voter(2, 0), voter(3, time.Hour), voter(4, 0)}, heartbeat)
	is.True(ok)
	is.Equal(lost.ID, raft.ID(3))
	// Two of four voters are silent. The rest is no majority, and a removal could lose
	// commands that only the silent ones hold.
	_, ok = p.evictionCandidate([]raft.MemberStatus{voter(1, 0), voter(2, 0), voter(3, time.Hour), voter(4, time.Hour)}, heartbeat)
	is.Equal(ok, false)
	_, ok = MembershipPolicy{}.evictionCandidate([]raft.MemberStatus{voter(1, 0), voter(2, 0), voter(3, time.Hour), voter(4, 0)}, heartbeat)
	is.Equal(ok, false) // the zero value leaves evictions to an operator
}
