package raft

import (
	"slices"

	"github.com/go-faster/errors"
)

// MaxVoters bounds the membership. Each further voter adds one message and one
// sync to every command; nine outlive four lost VMs.
const MaxVoters = 9

// Errors of a refused membership change; nothing was appended.
var (
	ErrChangeOpen   = errors.New("raft: another membership change is open")
	ErrUnknown      = errors.New("raft: no such member")
	ErrMember       = errors.New("raft: already a member")
	ErrRemoved      = errors.New("raft: this identity was removed for good")
	ErrTooMany      = errors.New("raft: too many members")
	ErrLastVoter    = errors.New("raft: the last voter can't be removed")
	ErrNameInUse    = errors.New("raft: another member has this name")
	ErrManyAtOnce   = errors.New("raft: more than one voter would change")
	ErrNoMembership = errors.New("raft: an entry's membership can't be read")
)

// Find returns the member with the given identity.
func (m Membership) Find(id ID) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// Named returns the member with the given name.
func (m Membership) Named(name string) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(x Member) bool { return x.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// Voters returns the identities that count for the quorum.
func (m Membership) Voters() []ID {
	var out []ID
	for _, x := range m.Members {
		if x.Role == Voter {
			out = append(out, x.ID)
		}
	}
	return out
}

// WasRemoved says whether an identity is barred for good.
func (m Membership) WasRemoved(id ID) bool { return slices.Contains(m.Removed, id) }

func (m Membership) isVoter(id ID) bool {
	x, ok := m.Find(id)
	return ok && x.Role == Voter
}

func (m Membership) clone() Membership {
	return Membership{Members: slices.Clone(m.Members), Removed: slices.Clone(m.Removed)}
}

// withLearner adds a new replica, which replaces another one unless that is 0.
func (m Membership) withLearner(x Member) (Membership, error) {
	switch {
	case x.ID == 0:
		return m, errors.Wrap(ErrUnknown, "zero identity")
	case m.WasRemoved(x.ID):
		return m, ErrRemoved
	case len(m.Members) > MaxVoters:
		return m, ErrTooMany
	}
	if _, ok := m.Find(x.ID); ok {
		return m, ErrMember
	}
	if old, ok := m.Named(x.Name); ok && old.ID != x.Replaces {
		return m, ErrNameInUse
	}
	if x.Replaces != 0 {
		if _, ok := m.Find(x.Replaces); !ok {
			return m, errors.Wrap(ErrUnknown, "to be replaced")
		}
	} else if len(m.Members) >= MaxVoters {
		return m, ErrTooMany
	}
	x.Role = Learner
	out := m.clone()
	out.Members = append(out.Members, x)
	return out, nil
}

func (m Membership) promoted(id ID) (Membership, error) {
	out := m.clone()
	for i := range out.Members {
		if out.Members[i].ID == id {
			out.Members[i].Role = Voter
			return out, nil
		}
	}
	return m, ErrUnknown
}

func (m Membership) without(id ID) (Membership, error) {
	x, ok := m.Find(id)
	if !ok {
		return m, ErrUnknown
	}
	if x.Role == Voter && len(m.Voters()) == 1 {
		return m, ErrLastVoter
	}
	out := m.clone()
	out.Members = slices.DeleteFunc(out.Members, func(x Member) bool { return x.ID == id })
	out.Removed = append(out.Removed, id)
	for i := range out.Members {
		if out.Members[i].Replaces == id {
			out.Members[i].Replaces = 0
		}
	}
	return out, nil
}

// votersChanged counts the identities that vote in one membership only.
// Majorities of two memberships that differ in one voter always share a
// replica; with two different voters they need not, and each could elect a
// leader of its own.
func votersChanged(a, b Membership) int {
	n := 0
	for _, id := range a.Voters() {
		if !b.isVoter(id) {
			n++
		}
	}
	for _, id := range b.Voters() {
		if !a.isVoter(id) {
			n++
		}
	}
	return n
}

func decodeMembers(e Entry) (Membership, error) {
	var m Membership
	if _, err := m.UnmarshalMsg(e.Data); err != nil {
		return m, errors.Wrapf(ErrNoMembership, "index %d: %v", e.Index, err)
	}
	return m, nil
}

// AddLearner begins to take a replica in. It becomes a voter on its own once it
// has caught up; then the member that it replaces, if any, is removed.
func (c *Core) AddLearner(x Member) (Place, error) {
	next, err := c.members.withLearner(x)
	if err != nil {
		return Place{}, err
	}
	return c.changeMembers(next)
}

// RemoveMember takes a replica out; its identity never returns.
func (c *Core) RemoveMember(id ID) (Place, error) {
	next, err := c.members.without(id)
	if err != nil {
		return Place{}, err
	}
	return c.changeMembers(next)
}

// changeMembers appends a membership entry. Two guards hold the promise that
// any two quorums in use share a replica: the last change must be committed,
// and the leader must have committed an entry of its own term (without it, a
// change that an earlier leader left uncommitted can still come back beside
// the new one).
func (c *Core) changeMembers(next Membership) (Place, error) {
	if c.state != Leader {
		return Place{}, ErrNotLeader
	}
	if !c.faults.openChanges {
		if c.membersIndex > c.log.commit || !c.committedInTerm() {
			return Place{}, ErrChangeOpen
		}
		if votersChanged(c.members, next) > 1 {
			return Place{}, ErrManyAtOnce
		}
	}
	data, err := next.MarshalMsg(nil)
	if err != nil {
		return Place{}, errors.Wrap(err, "raft: encode membership")
	}
	return c.appendOwn(EntryMembers, data), nil
}

// settleMembers takes the next step of a change that runs over several entries:
// a caught-up learner becomes a voter; then the replica it replaces goes. The
// newcomer is added first, so that a second loss meets a quorum that holds
// every committed entry, and the time with one voter more lasts two entries.
func (c *Core) settleMembers() {
	if c.state != Leader || c.membersIndex > c.log.commit || !c.committedInTerm() {
		return
	}
	for _, x := range c.members.Members {
		if x.Role == Voter && x.Replaces != 0 {
			_, _ = c.RemoveMember(x.Replaces)
			return
		}
	}
	for _, x := range c.members.Members {
		if x.Role == Learner && c.caughtUp(x.ID) {
			if next, err := c.members.promoted(x.ID); err == nil {
				_, _ = c.changeMembers(next)
			}
			return
		}
	}
}

// caughtUp says that a learner holds all that is committed and was heard from
// within an election timeout, so that counting it can't hold up commands.
func (c *Core) caughtUp(id ID) bool {
	if id == c.cfg.ID {
		return true // a learner that had to take the lead
	}
	p := c.progress[id]
	return p != nil && p.match >= c.log.commit && c.now-p.heardAt < c.cfg.ElectionTimeout && p.heard
}

// adoptMembers makes the newest membership in the log the one in use.
func (c *Core) adoptMembers() {
	members, at := c.log.membership()
	c.members, c.membersIndex = members, at
	if c.state != Leader {
		return
	}
	for _, x := range members.Members {
		if c.progress[x.ID] == nil {
			c.progress[x.ID] = &progress{next: c.log.last() + 1}
		}
	}
	for id := range c.progress {
		if _, ok := members.Find(id); !ok {
			delete(c.progress, id)
		}
	}
}
