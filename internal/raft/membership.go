package raft

import (
	"slices"

	"github.com/go-faster/errors"
)

// MaxMembers bounds the number of members; while one is being replaced there may be one
// more. Each further voter adds a message and a sync to every command. Nine voters
// tolerate the loss of four VMs.
const MaxMembers = 9

// Errors of a refused membership change. Nothing was appended, except for
// ErrBadMembership, which means that an entry can't be decoded.
var (
	ErrChangePending       = errors.New("raft: another membership change is pending")
	ErrUnknownMember       = errors.New("raft: no such member")
	ErrAlreadyMember       = errors.New("raft: already a member")
	ErrRemoved             = errors.New("raft: this replica ID was removed from the cluster")
	ErrTooManyMembers      = errors.New("raft: too many members")
	ErrLastVoter           = errors.New("raft: the last voter can't be removed")
	ErrNameInUse           = errors.New("raft: name is used by another member")
	ErrTooManyVoterChanges = errors.New("raft: change affects more than one voter")
	ErrNoStandby           = errors.New("raft: no standby has caught up")
	ErrBadMembership       = errors.New("raft: membership entry can't be decoded")
)

// Find returns the member with the given ID.
func (m Membership) Find(id ID) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// FindByName returns the member with the given name.
func (m Membership) FindByName(name string) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(x Member) bool { return x.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// Voters returns the IDs of the voters.
func (m Membership) Voters() []ID {
	var out []ID
	for _, x := range m.Members {
		if x.Role == Voter {
			out = append(out, x.ID)
		}
	}
	return out
}

// WasRemoved reports whether the ID belongs to a removed member.
func (m Membership) WasRemoved(id ID) bool { return slices.Contains(m.Removed, id) }

func (m Membership) isVoter(id ID) bool {
	x, ok := m.Find(id)
	return ok && x.Role == Voter
}

func (m Membership) clone() Membership {
	return Membership{Members: slices.Clone(m.Members), Removed: slices.Clone(m.Removed)}
}

// withLearner adds x as a learner. If x.Replaces is set, x replaces that member.
func (m Membership) withLearner(x Member) (Membership, error) {
	switch {
	case x.ID == 0:
		return m, errors.Wrap(ErrUnknownMember, "ID is zero")
	case m.WasRemoved(x.ID):
		return m, ErrRemoved
	case len(m.Members) > MaxMembers:
		return m, ErrTooManyMembers
	}
	if _, ok := m.Find(x.ID); ok {
		return m, ErrAlreadyMember
	}
	if old, ok := m.FindByName(x.Name); ok && old.ID != x.Replaces {
		return m, ErrNameInUse
	}
	if x.Replaces != 0 {
		if _, ok := m.Find(x.Replaces); !ok {
			return m, errors.Wrap(ErrUnknownMember, "member to replace")
		}
	} else if len(m.Members) >= MaxMembers {
		return m, ErrTooManyMembers
	}
	x.Role = Learner
	out := m.clone()
	out.Members = append(out.Members, x)
	return out, nil
}

func (m Membership) withPromoted(id ID) (Membership, error) {
	out := m.clone()
	for i := range out.Members {
		if out.Members[i].ID == id {
			out.Members[i].Role = Voter
			return out, nil
		}
	}
	return m, ErrUnknownMember
}

// withStandby makes a voter a standby.
func (m Membership) withStandby(id ID) (Membership, error) {
	out := m.clone()
	for i, x := range out.Members {
		if x.ID == id {
			out.Members[i].Role = Standby
			out.Members[i].Replaces = 0
		}
		if x.Replaces == id {
			out.Members[i].Replaces = 0
		}
	}
	if len(out.Voters()) == 0 {
		return m, ErrLastVoter
	}
	return out, nil
}

func (m Membership) without(id ID) (Membership, error) {
	x, ok := m.Find(id)
	if !ok {
		return m, ErrUnknownMember
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

// votersChanged counts the IDs that are voters in only one of the two memberships.
// Majorities of memberships that differ in one voter always overlap. If they differ in
// two voters they may not, and each majority could elect its own leader.
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
		return m, errors.Wrapf(ErrBadMembership, "index %d: %v", e.Index, err)
	}
	return m, nil
}

// AddLearner adds a replica as a learner. Once it has caught up it becomes a voter by
// itself, and the member that it replaces, if any, is removed.
func (c *Core) AddLearner(x Member) (Position, error) {
	next, err := c.members.withLearner(x)
	if err != nil {
		return Position{}, err
	}
	return c.changeMembers(next)
}

// RemoveMember removes a replica. Its ID can't rejoin.
func (c *Core) RemoveMember(id ID) (Position, error) {
	next, err := c.members.without(id)
	if err != nil {
		return Position{}, err
	}
	return c.changeMembers(next)
}

// changeMembers appends a membership entry. Two conditions ensure that any two quorums in
// use overlap: the last change must be committed, and the leader must have committed an
// entry of its own term. Without the second, a change that an earlier leader left
// uncommitted could take effect beside the new one.
func (c *Core) changeMembers(next Membership) (Position, error) {
	if c.state != Leader {
		return Position{}, ErrNotLeader
	}
	if !c.faults.concurrentChanges {
		if c.membersIndex > c.log.commit || !c.committedInTerm() {
			return Position{}, ErrChangePending
		}
		if votersChanged(c.members, next) > 1 {
			return Position{}, ErrTooManyVoterChanges
		}
	}
	data, err := next.MarshalMsg(nil)
	if err != nil {
		return Position{}, errors.Wrap(err, "raft: encode membership")
	}
	return c.appendEntry(EntryMembers, data), nil
}

// advanceMembership takes the next step of a change that needs several entries.
func (c *Core) advanceMembership() {
	if c.state != Leader || c.membersIndex > c.log.commit || !c.committedInTerm() {
		return
	}
	next, ok := c.nextMembership()
	if !ok {
		return
	}
	if !next.isVoter(c.cfg.ID) && c.members.isVoter(c.cfg.ID) && c.TransferLeadership() {
		return // the next leader takes this step, so that no command waits for an election
	}
	_, _ = c.changeMembers(next)
}

// nextMembership returns the membership after the next step: a caught-up learner or a
// needed standby becomes a voter, and then the replica that it replaces stops being one. The
// new voter is added first, so that after a second loss there is still a quorum that holds
// every committed entry. There is one voter too many for the span of two entries only.
func (c *Core) nextMembership() (Membership, bool) {
	for _, x := range c.members.Members {
		if x.Role == Voter && x.Replaces != 0 {
			return c.withoutReplaced(x)
		}
	}
	if x, ok := c.surplusVoter(); ok {
		next, err := c.members.withStandby(x.ID)
		return next, err == nil
	}
	for _, x := range c.members.Members {
		if x.Role == Learner && c.caughtUp(x.ID) {
			next, err := c.members.withPromoted(x.ID)
			return next, err == nil
		}
	}
	if x, ok := c.neededStandby(); ok {
		next, err := c.members.withPromoted(x.ID)
		return next, err == nil
	}
	return Membership{}, false
}

// withoutReplaced ends a replacement by x, which is a voter by now. A replaced member of
// the same name has lost its disk and is removed.
func (c *Core) withoutReplaced(x Member) (Membership, bool) {
	old, _ := c.members.Find(x.Replaces)
	if c.cfg.Voters > 0 && old.Name != x.Name {
		c.markStopping(x.Replaces)
		next, err := c.members.withStandby(x.Replaces)
		return next, err == nil
	}
	next, err := c.members.without(x.Replaces)
	return next, err == nil
}

// caughtUp reports whether a learner has all committed entries and was heard from within
// an election timeout, so that counting it doesn't delay commands.
func (c *Core) caughtUp(id ID) bool {
	if id == c.cfg.ID {
		return true // a learner that leads, see canCampaign
	}
	p := c.progress[id]
	return p != nil && p.match >= c.log.commit && c.now-p.heardAt < c.cfg.ElectionTimeout && p.heard
}

// adoptMembers puts the newest membership in the log into effect.
func (c *Core) adoptMembers() {
	members, at := c.log.membership()
	c.members, c.membersIndex = members, at
	if c.state != Leader {
		return
	}
	for _, x := range members.Members {
		if c.progress[x.ID] == nil {
			c.progress[x.ID] = &progress{next: c.log.last() + 1, heardAt: c.now}
		}
	}
	for id := range c.progress {
		if _, ok := members.Find(id); !ok {
			delete(c.progress, id)
		}
	}
}
