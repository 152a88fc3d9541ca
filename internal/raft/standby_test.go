package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// standbyTest is a leader with the ID 1 that keeps three voters.
type standbyTest struct {
	*Core
}

// newStandbyTest returns a leader of the given members, all of which it has just heard from
// and which hold its whole log.
func newStandbyTest(t *testing.T, members ...Member) standbyTest {
	t.Helper()
	stored, err := Bootstrap(Member{ID: 1})
	if err != nil {
		t.Fatal(err)
	}
	if stored.Entries[0].Data, err = (&Membership{Members: members}).MarshalMsg(nil); err != nil {
		t.Fatal(err)
	}
	s := standbyTest{newCore(Config{ID: 1, Voters: 3}, stored, time.Hour, faults{noRecovery: true})}
	electLeader(s.Core, s.members.Voters()...)
	for _, x := range members {
		s.hear(x.ID)
	}
	return s
}

// hear lets the leader hear that a member holds its whole log.
func (s standbyTest) hear(id ID) {
	s.Step(s.now, Message{Kind: MsgAppendReply, From: id, To: 1, Term: s.term, Index: s.log.last()})
	processReady(s.Core)
}

// nextVoters returns the IDs of the voters after the next step; nil if there is no step.
func (s standbyTest) nextVoters() []ID {
	next, ok := s.nextMembership()
	if !ok {
		return nil
	}
	return next.Voters()
}

func member(id ID, role Role, zone string) Member { return Member{ID: id, Role: role, Zone: zone} }

// Guards against a new VM beside which the old one of its zone keeps its vote, and against
// voters that gather in one zone.
func TestNewVoterTakesOverInItsZone(t *testing.T) {
	is := is.New(t)
	s := newStandbyTest(t, member(1, Voter, "a"), member(2, Voter, "b"), member(3, Voter, "c"), member(4, Voter, "b"))
	is.Equal(s.nextVoters(), []ID{1, 3, 4})
	s = newStandbyTest(t, member(1, Voter, "a"), member(2, Voter, "b"), member(3, Voter, "c"), member(4, Voter, "d"))
	is.Equal(s.nextVoters(), []ID{2, 3, 4}) // the oldest
	s = newStandbyTest(t, member(1, Voter, ""), member(2, Voter, ""), member(3, Voter, ""), member(4, Voter, "a"))
	is.Equal(s.nextVoters(), []ID{2, 3, 4}) // zones of an older version's members are unknown
}

// Guards against standbys that take over without need, from the wrong zone, or not at all.
func TestStandbyTakesOverFromSilentVoter(t *testing.T) {
	is := is.New(t)
	s := newStandbyTest(t, member(1, Voter, "a"), member(2, Voter, "b"), member(3, Voter, "c"), member(4, Standby, "a"), member(5, Standby, "b"))
	is.Equal(s.nextVoters(), nil)
	s.advanceClock(s.now + s.cfg.ElectionTimeout/standbyTimeoutDivisor)
	for _, id := range []ID{3, 4, 5} {
		s.hear(id)
	}
	is.Equal(s.nextVoters(), []ID{1, 2, 3, 5})
	s = newStandbyTest(t, member(1, Voter, "a"), member(2, Voter, "b"), member(4, Standby, "a"))
	is.Equal(s.nextVoters(), []ID{1, 2, 4}) // a voter is missing
}

// Guards against a step that is repeated without end because the member to replace is gone.
func TestReplacementOfUnknownMemberEnds(t *testing.T) {
	is := is.New(t)
	x := Member{ID: 3, Name: "vm3", Role: Voter, Zone: "c"}
	x.Replaces = 9
	s := newStandbyTest(t, member(1, Voter, "a"), member(2, Voter, "b"), x)
	next, ok := s.nextMembership()
	is.True(ok)
	is.Equal(next.Members[2].Replaces, ID(0))
}

// Guards against a vote that goes back to a VM that gave it up to stop.
func TestStoppingMemberGetsNoVoteBack(t *testing.T) {
	is := is.New(t)
	s := newStandbyTest(t, member(1, Voter, "a"), member(2, Voter, "b"), member(3, Voter, "c"), member(4, Standby, "a"))
	_, err := s.ReplaceByStandby(2)
	is.NoErr(err)
	is.Equal(len(s.members.Voters()), 4)
	for range 2 { // the promotion of 4 and the step down of 2
		processReady(s.Core)
		for _, id := range []ID{2, 3, 4} {
			s.hear(id)
		}
		s.advanceMembership()
	}
	is.Equal(s.members.Voters(), []ID{1, 3, 4})
	for _, id := range []ID{2, 3, 4} {
		s.hear(id)
	}
	_, err = s.ReplaceByStandby(3)
	is.Equal(err, ErrNoStandby)
}

// Guards against a leader that gives up its own vote while another could lead, so that
// commands wait for an election.
func TestLeaderHandsOverBeforeItBecomesStandby(t *testing.T) {
	is := is.New(t)
	s := newStandbyTest(t, member(1, Voter, "a"), member(2, Voter, "b"), member(3, Voter, "c"), member(4, Voter, "a"))
	s.advanceMembership()
	sent := processReady(s.Core)
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Kind, MsgTimeoutNow)
	is.True(s.members.isVoter(1))
}
