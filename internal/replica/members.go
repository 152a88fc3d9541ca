package replica

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/raft"
)

// replacement is a new replica that has the name of a member and waits to replace it.
type replacement struct {
	member raft.Member
	seenAt time.Duration
}

const (
	// joinIntervalHeartbeats is the interval between a new replica's join requests.
	joinIntervalHeartbeats = 5
	// maxReplacements bounds the replacements that the leader remembers.
	maxReplacements = 16
	// replacementTTLIntervals is how long a replacement is remembered, in join intervals.
	replacementTTLIntervals = 10
	// standbyWaitHeartbeats is how long a replica that stops waits for a standby that lacks the
	// newest entries. One that runs gets them within a heartbeat.
	standbyWaitHeartbeats = 5
)

// AddMember adds a replica as a learner and returns nil once that is committed. The
// learner becomes a voter by itself once it has caught up. A new replica with a member's
// address in its Peers requests this by itself.
func (r *Replica) AddMember(ctx context.Context, m raft.Member) error {
	_, err := r.submit(ctx, forward{Op: opAdd, Member: m})
	return err
}

// RemoveMember removes a member for good and returns nil once that is committed.
func (r *Replica) RemoveMember(ctx context.Context, id raft.ID) error {
	_, err := r.submit(ctx, forward{Op: opRemove, MemberID: id})
	return err
}

// ReplaceMember replaces a member by the new replica that waits under its name. The new
// one is added as a learner, becomes a voter once it has caught up, and then the old ID
// is removed. ReplaceMember returns nil once the first step is committed; the others
// follow by themselves, even under another leader.
func (r *Replica) ReplaceMember(ctx context.Context, old raft.ID) error {
	_, err := r.submit(ctx, forward{Op: opReplace, MemberID: old})
	return err
}

// HandOver has a standby take over this replica's vote before a planned stop, which may be for
// good. It returns nil once this replica is no voter any more, or if it isn't one. It returns
// ErrNoStandby if no member is a standby, or if none catches up within some heartbeats.
func (r *Replica) HandOver(ctx context.Context) error {
	isSelf := func(id raft.ID) bool { return id == r.ID() }
	if r.countVoters(isSelf) == 0 {
		return nil
	}
	isStandby := func(m raft.MemberStatus) bool { return m.Role == raft.Standby }
	if !slices.ContainsFunc(r.Status().Members, isStandby) {
		return raft.ErrNoStandby
	}
	waitUntil := time.Now().Add(standbyWaitHeartbeats * r.cfg.Heartbeat)
	for r.countVoters(isSelf) > 0 {
		_, err := r.submit(ctx, forward{Op: opHandOver, MemberID: r.ID()})
		if errors.Is(err, raft.ErrNoStandby) && time.Now().After(waitUntil) {
			return raft.ErrNoStandby
		}
		select {
		case <-time.After(r.cfg.Heartbeat): // the next step follows with a heartbeat
		case <-ctx.Done():
			return outcomeUnknown(ErrTimeout)
		case <-r.ended:
			return outcomeUnknown(r.stopReason())
		}
	}
	return nil
}

func (r *Replica) replace(old raft.ID) (raft.Position, error) {
	member, ok := r.core.Members().Find(old)
	if !ok {
		return raft.Position{}, raft.ErrUnknownMember
	}
	w, ok := r.replacements[member.Name]
	if !ok {
		return raft.Position{}, ErrNoReplacement
	}
	w.member.Replaces = old
	return r.core.AddLearner(w.member)
}

// join sends join requests to the peers while this replica isn't a member.
func (r *Replica) join() {
	peers := *r.peers.Load()
	if r.now() < r.joinAt || len(peers) == 0 || r.core.Err() != nil {
		return
	}
	if _, ok := r.core.Members().Find(r.ID()); ok {
		return
	}
	r.joinAt = r.now() + joinIntervalHeartbeats*r.cfg.Heartbeat
	req := joinRequest{Member: r.member()}
	for _, address := range peers {
		if address != r.cfg.Advertise {
			r.links.sendToAddress(address, kindJoin, &req)
		}
	}
}

// handleJoin handles a new replica's join request. A replica with a new name is added at
// once. One with the name of a member isn't, since a second process started under the name
// of a healthy VM must not remove that VM. An operator decides whether it replaces the
// member, or MembershipPolicy does once the member has been silent for long enough.
func (r *Replica) handleJoin(j joinRequest) {
	if !r.core.IsLeader() {
		if leader := r.core.Leader(); leader != 0 {
			r.links.send(leader, kindJoin, &j)
		}
		return
	}
	members := r.core.Members()
	if _, ok := members.Find(j.Member.ID); ok || members.WasRemoved(j.Member.ID) {
		delete(r.replacements, j.Member.Name)
		return
	}
	if old, ok := members.FindByName(j.Member.Name); ok {
		if !r.replaceSilentMember(j.Member, old) {
			r.recordReplacement(j.Member, old)
		}
		return
	}
	r.addNewMember(j.Member)
}

func (r *Replica) recordReplacement(m, old raft.Member) {
	r.expireReplacements()
	if known, ok := r.replacements[m.Name]; !ok || known.member.ID != m.ID {
		if !ok && len(r.replacements) >= maxReplacements {
			r.count.joinsRefused.Add(1)
			return
		}
		events.Log(r.cfg.Log, events.JoinWaits, logrus.Fields{
			"name": m.Name, "address": m.Address, "replica": m.ID.String(), "member": old.ID.String(),
		})
	}
	r.replacements[m.Name] = replacement{member: m, seenAt: r.now()}
}

// expireReplacements removes replacements that have stopped sending join requests.
func (r *Replica) expireReplacements() {
	for name, w := range r.replacements {
		if r.now()-w.seenAt > replacementTTLIntervals*joinIntervalHeartbeats*r.cfg.Heartbeat {
			delete(r.replacements, name)
		}
	}
}

func describeMembers(m raft.Membership) string {
	var parts []string
	for _, x := range m.Members {
		parts = append(parts, fmt.Sprintf("%s=%s (%s)", x.Name, x.ID, x.Role))
	}
	return strings.Join(parts, ", ")
}
