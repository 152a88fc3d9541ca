package replica

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/raft"
)

// Upkeep lets the leader change the membership by itself, where no operator
// watches it. The zero value leaves every replacement to an operator.
type Upkeep struct {
	// ReplaceAfter is the silence after which a member's place goes to a fresh
	// replica. It has to outlast lost frames and short pauses.
	ReplaceAfter time.Duration
	// EvictAfter is the silence after which a voter is removed though nobody
	// takes its place. A VM that is gone for good otherwise counts for the quorum
	// for ever, and each later loss weighs more. It must outlast the usual cuts:
	// a removed replica has to come back as a fresh one.
	EvictAfter time.Duration
}

const (
	// evictFloor is the number of voters under which none is evicted: with
	// fewer than three a second loss stops all commands.
	evictFloor = 3
	// upkeepInterval paces the leader's look at its members, in heartbeats.
	upkeepInterval = 10
)

// longestSilent returns the voter that has been silent longest, if that is for
// as long as given.
func longestSilent(members []raft.MemberStatus, atLeast time.Duration) (raft.MemberStatus, bool) {
	var worst raft.MemberStatus
	found := false
	for _, m := range members {
		if m.Role == raft.Voter && m.Silence >= atLeast && (!found || m.Silence > worst.Silence) {
			worst, found = m, true
		}
	}
	return worst, found
}

// evictable returns the voter to remove. The voters that are heard must be a
// majority before and after, or the removal could take the last copies of what
// was accepted out of reach.
func (u Upkeep) evictable(members []raft.MemberStatus, heartbeat time.Duration) (raft.MemberStatus, bool) {
	if u.EvictAfter <= 0 {
		return raft.MemberStatus{}, false
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
	if voters <= evictFloor || heard <= voters/2 {
		return raft.MemberStatus{}, false
	}
	return longestSilent(members, u.EvictAfter)
}

// silence is how long the leader hasn't heard a member; 0 if it isn't one.
func silence(members []raft.MemberStatus, id raft.ID) time.Duration {
	i := slices.IndexFunc(members, func(m raft.MemberStatus) bool { return m.ID == id })
	if i < 0 {
		return 0
	}
	return members[i].Silence
}

// admitFresh takes a fresh replica in without an operator where the upkeep
// allows it; false where an operator has to decide.
func (r *Replica) admitFresh(m raft.Member, old raft.Member) bool {
	u := r.cfg.Upkeep
	if u.ReplaceAfter <= 0 || silence(r.core.Status().Members, old.ID) < u.ReplaceAfter {
		return false
	}
	m.Replaces = old.ID
	r.addLearner(m, old.ID)
	return true
}

// admitNew takes in a replica with a new name. It takes the place of a voter
// that is silent: a VM that is gone for good would otherwise count on beside its
// successor, and of four voters with one gone, the loss of one more stops all
// commands. A voter that was only cut off comes back as a fresh replica.
func (r *Replica) admitNew(m raft.Member) {
	if u := r.cfg.Upkeep; u.ReplaceAfter > 0 {
		if lost, ok := longestSilent(r.core.Status().Members, u.ReplaceAfter); ok {
			m.Replaces = lost.ID
		}
	}
	r.addLearner(m, m.Replaces)
}

func (r *Replica) addLearner(m raft.Member, replaces raft.ID) {
	if _, err := r.core.AddLearner(m); err != nil {
		r.count.joinsRefused.Add(1) // it asks again
		return
	}
	events.Log(r.cfg.Log, events.MemberAdmitted, logrus.Fields{
		"name": m.Name, "address": m.Address, "replica": m.ID.String(), "replaces": replaces.String(),
	})
}

// upkeep removes a voter that is gone.
func (r *Replica) upkeep() {
	if r.now() < r.upkeepAt {
		return
	}
	r.upkeepAt = r.now() + upkeepInterval*r.cfg.Heartbeat
	if !r.core.IsLeader() {
		return
	}
	lost, ok := r.cfg.Upkeep.evictable(r.core.Status().Members, r.cfg.Heartbeat)
	if !ok {
		return
	}
	if _, err := r.core.RemoveMember(lost.ID); err != nil {
		return // another change is open; looked at again
	}
	events.Log(r.cfg.Log, events.MemberEvicted, logrus.Fields{
		"name": lost.Name, "address": lost.Address, "replica": lost.ID.String(), "silent": lost.Silence.String(),
	})
}

// SetPeers changes the addresses through which this replica joins a cluster.
func (r *Replica) SetPeers(addresses []string) {
	r.peers.Store(&addresses)
}
