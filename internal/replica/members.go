package replica

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/raft"
)

// waitingReplica is a fresh replica that has the name of a member.
type waitingReplica struct {
	member raft.Member
	seenAt time.Duration
}

const (
	// joinInterval paces a fresh replica's wish to be taken in, in heartbeats.
	joinInterval = 5
	// waitingLimit bounds the replicas remembered as waiting.
	waitingLimit = 16
	// waitingMemory is how long one is remembered, in join intervals.
	waitingMemory = 10
)

// AddMember takes a replica in as a learner; nil once that is committed. It
// becomes a voter on its own once it has caught up. A fresh replica with the
// address of a member in its Peers asks for this by itself.
func (r *Replica) AddMember(ctx context.Context, m raft.Member) error {
	_, err := r.do(ctx, forward{Op: opAdd, Member: m})
	return err
}

// RemoveMember takes a member out for good; nil once that is committed.
func (r *Replica) RemoveMember(ctx context.Context, id raft.ID) error {
	_, err := r.do(ctx, forward{Op: opRemove, Target: id})
	return err
}

// ReplaceMember lets the fresh replica that waits under a member's name take
// the member's place: it is added as a learner, becomes a voter once caught up,
// and then the old identity is removed. Nil once the first step is committed;
// the others follow by themselves, also under another leader.
func (r *Replica) ReplaceMember(ctx context.Context, old raft.ID) error {
	_, err := r.do(ctx, forward{Op: opReplace, Target: old})
	return err
}

func (r *Replica) replace(old raft.ID) (raft.Position, error) {
	member, ok := r.core.Members().Find(old)
	if !ok {
		return raft.Position{}, raft.ErrUnknown
	}
	w, ok := r.waiting[member.Name]
	if !ok {
		return raft.Position{}, ErrNobody
	}
	w.member.Replaces = old
	return r.core.AddLearner(w.member)
}

// join asks the peers to be taken in, while this replica is in no membership.
func (r *Replica) join() {
	peers := *r.peers.Load()
	if r.now() < r.joinAt || len(peers) == 0 || r.core.Err() != nil {
		return
	}
	if _, ok := r.core.Members().Find(r.ID()); ok {
		return
	}
	r.joinAt = r.now() + joinInterval*r.cfg.Heartbeat
	wish := join{Member: raft.Member{ID: r.ID(), Name: r.cfg.Name, Address: r.cfg.Advertise}}
	for _, address := range peers {
		if address != r.cfg.Advertise {
			r.links.sendTo(address, kindJoin, &wish)
		}
	}
}

// takeJoin handles a fresh replica's wish. A new name is taken in at once. A
// member's name is not: whoever starts a second process under the name of a
// healthy VM must not push that one out, so an operator decides, or Upkeep once
// the member has fallen silent.
func (r *Replica) takeJoin(j join) {
	if !r.core.IsLeader() {
		if leader := r.core.Leader(); leader != 0 {
			r.links.send(leader, kindJoin, &j)
		}
		return
	}
	members := r.core.Members()
	if _, ok := members.Find(j.Member.ID); ok || members.WasRemoved(j.Member.ID) {
		delete(r.waiting, j.Member.Name)
		return
	}
	if old, ok := members.FindByName(j.Member.Name); ok {
		if !r.admitFresh(j.Member, old) {
			r.noteWaiting(j.Member, old)
		}
		return
	}
	r.admitNew(j.Member)
}

func (r *Replica) noteWaiting(m, old raft.Member) {
	r.forgetWaiting()
	if known, ok := r.waiting[m.Name]; !ok || known.member.ID != m.ID {
		if !ok && len(r.waiting) >= waitingLimit {
			r.count.joinsRefused.Add(1)
			return
		}
		events.Log(r.cfg.Log, events.JoinWaits, logrus.Fields{
			"name": m.Name, "address": m.Address, "replica": m.ID.String(), "member": old.ID.String(),
		})
	}
	r.waiting[m.Name] = waitingReplica{member: m, seenAt: r.now()}
}

// forgetWaiting drops replicas that no longer ask.
func (r *Replica) forgetWaiting() {
	for name, w := range r.waiting {
		if r.now()-w.seenAt > waitingMemory*joinInterval*r.cfg.Heartbeat {
			delete(r.waiting, name)
		}
	}
}

func describe(m raft.Membership) string {
	var parts []string
	for _, x := range m.Members {
		parts = append(parts, fmt.Sprintf("%s=%s (%s)", x.Name, x.ID, x.Role))
	}
	return strings.Join(parts, ", ")
}
