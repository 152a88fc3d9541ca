package replica

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/raft"
)

// MembershipPolicy configures how the leader changes the membership without an operator.
// The zero value leaves all changes to an operator.
type MembershipPolicy struct {
	// ReplaceAfter is how long a member must be silent before a new replica replaces it.
	// It must outlast lost frames and short pauses.
	ReplaceAfter time.Duration
	// EvictAfter is how long a member must be silent before it is removed without a
	// replacement. A VM that is lost for good otherwise counts towards the quorum
	// forever, so the cluster tolerates fewer further losses. It must outlast the usual
	// partitions, since a removed replica can only come back as a new one.
	EvictAfter time.Duration
	// FaultTolerance is how many members may be lost at once, with their disks. The leader
	// keeps 2*FaultTolerance+1 voters and makes further members standbys. If 0, all members
	// vote, and eviction keeps three.
	FaultTolerance int
}

const (
	// minVotersKept is the number of voters below which eviction doesn't go: with fewer
	// than three voters, a second loss stops all commands.
	minVotersKept = 3
	// membershipPolicyIntervalHeartbeats is the interval between the leader's checks for silent
	// members.
	membershipPolicyIntervalHeartbeats = 10
)

// votersKept returns the number of voters below which eviction doesn't go. A silent voter
// may come back with its disk, and counts until then: with fewer than 2f+1 voters, the loss
// of f of the remaining disks loses the quorum for good.
func (p MembershipPolicy) votersKept() int {
	return max(minVotersKept, 2*p.FaultTolerance+1)
}

// voterLimit returns the number of voters that the leader keeps; 0 means all members.
func (p MembershipPolicy) voterLimit() int {
	if p.FaultTolerance == 0 {
		return 0
	}
	return p.votersKept()
}

// longestSilent returns the voter, or the other member, that has been silent longest, if for
// at least atLeast.
func longestSilent(members []raft.MemberStatus, voter bool, atLeast time.Duration) (raft.MemberStatus, bool) {
	var worst raft.MemberStatus
	found := false
	for _, m := range members {
		if (m.Role == raft.Voter) == voter && m.Silence >= atLeast && (!found || m.Silence > worst.Silence) {
			worst, found = m, true
		}
	}
	return worst, found
}

// evictionCandidate returns the member to remove, if any. A standby doesn't count towards
// the quorum, so that it may always go: it would only be dialled in vain. When a voter goes,
// the voters that are heard from must be a majority both before and after; otherwise the
// removal could leave no reachable copy of acknowledged commands.
func (p MembershipPolicy) evictionCandidate(members []raft.MemberStatus, heartbeat time.Duration) (raft.MemberStatus, bool) {
	if p.EvictAfter <= 0 {
		return raft.MemberStatus{}, false
	}
	if p.FaultTolerance > 0 {
		if m, ok := longestSilent(members, false, p.EvictAfter); ok {
			return m, true
		}
	}
	voters, heard := 0, 0
	for _, m := range members {
		if m.Role != raft.Voter {
			continue
		}
		voters++
		if m.Silence < electionHeartbeats*heartbeat {
			heard++
		}
	}
	if voters <= p.votersKept() || heard <= voters/2 {
		return raft.MemberStatus{}, false
	}
	return longestSilent(members, true, p.EvictAfter)
}

// silenceOf returns how long the leader hasn't heard from a member; 0 if the ID isn't a
// member's.
func silenceOf(members []raft.MemberStatus, id raft.ID) time.Duration {
	i := slices.IndexFunc(members, func(m raft.MemberStatus) bool { return m.ID == id })
	if i < 0 {
		return 0
	}
	return members[i].Silence
}

// replaceSilentMember adds a new replica in place of the member with its name, if that
// member has been silent for ReplaceAfter. It returns false if an operator has to decide.
func (r *Replica) replaceSilentMember(m raft.Member, old raft.Member) bool {
	p := r.cfg.MembershipPolicy
	if p.ReplaceAfter <= 0 || silenceOf(r.core.Status().Members, old.ID) < p.ReplaceAfter {
		return false
	}
	m.Replaces = old.ID
	r.addLearner(m, old.ID)
	return true
}

// addNewMember adds a replica with a new name, in place of a silent voter if there is
// one. Otherwise a VM that is lost for good would still count beside its successor, and
// with one of four voters lost, one more loss would stop all commands. A voter that was
// only cut off comes back as a standby or as a new replica.
func (r *Replica) addNewMember(m raft.Member) {
	if p := r.cfg.MembershipPolicy; p.ReplaceAfter > 0 {
		if lost, ok := longestSilent(r.core.Status().Members, true, p.ReplaceAfter); ok {
			m.Replaces = lost.ID
		}
	}
	r.addLearner(m, m.Replaces)
}

func (r *Replica) addLearner(m raft.Member, replaces raft.ID) {
	if _, err := r.core.AddLearner(m); err != nil {
		r.count.joinsRefused.Add(1) // the replica repeats its join request
		return
	}
	events.Log(r.cfg.Log, events.MemberAdmitted, logrus.Fields{
		"name": m.Name, "address": m.Address, "replica": m.ID.String(), "replaces": replaces.String(),
	})
}

// evictSilentMember removes a member that has been silent for EvictAfter.
func (r *Replica) evictSilentMember() {
	if r.now() < r.membershipPolicyAt {
		return
	}
	r.membershipPolicyAt = r.now() + membershipPolicyIntervalHeartbeats*r.cfg.Heartbeat
	if !r.core.IsLeader() {
		return
	}
	lost, ok := r.cfg.MembershipPolicy.evictionCandidate(r.core.Status().Members, r.cfg.Heartbeat)
	if !ok {
		return
	}
	if _, err := r.core.RemoveMember(lost.ID); err != nil {
		return // another change is pending; retried at the next check
	}
	events.Log(r.cfg.Log, events.MemberEvicted, logrus.Fields{
		"name": lost.Name, "address": lost.Address, "replica": lost.ID.String(), "silent": lost.Silence.String(),
	})
}

// SetPeers replaces the addresses that a new replica asks to join the cluster.
func (r *Replica) SetPeers(addresses []string) {
	r.peers.Store(&addresses)
}
