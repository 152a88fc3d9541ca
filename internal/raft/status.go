package raft

import "time"

// MemberStatus is the leader's view of one member.
type MemberStatus struct {
	Member
	// Match is the last entry known to be synced on the member. A replica that doesn't
	// lead knows it only for itself; it is 0 for the others.
	Match Index
	// Silence is how long ago the leader last heard from the member; 0 for the leader.
	Silence time.Duration
}

// Status is one replica's view of the cluster.
type Status struct {
	ID      ID
	State   State
	Leader  ID
	Term    Term
	Commit  Index
	Applied Index
	Last    Index
	// Recovering is set while a restarted replica asks its peers what they know of it.
	Recovering bool
	// ChangePending is set while a membership change isn't committed.
	ChangePending bool
	Members       []MemberStatus
	Removed       []ID
}

// Status returns this replica's view of the cluster.
func (c *Core) Status() Status {
	s := Status{
		ID:            c.cfg.ID,
		State:         c.state,
		Leader:        c.leader,
		Term:          c.term,
		Commit:        c.log.commit,
		Applied:       c.log.delivered,
		Last:          c.log.last(),
		Recovering:    c.recovering,
		ChangePending: c.membersIndex > c.log.commit,
		Removed:       c.members.clone().Removed,
	}
	for _, x := range c.members.Members {
		m := MemberStatus{Member: x}
		if p := c.progress[x.ID]; c.state == Leader && p != nil && x.ID != c.cfg.ID {
			m.Match = p.match
			m.Silence = c.now - p.heardAt
		}
		if x.ID == c.cfg.ID {
			m.Match = c.log.stable
		}
		s.Members = append(s.Members, m)
	}
	return s
}

// Leader returns the leader that this replica follows, or its own ID if it leads; 0 if
// none.
func (c *Core) Leader() ID { return c.leader }

// IsLeader reports whether this replica is the leader.
func (c *Core) IsLeader() bool { return c.state == Leader }

// Term returns the current term.
func (c *Core) Term() Term { return c.term }

// MembersIndex returns the index of the entry that set the membership in effect.
func (c *Core) MembersIndex() Index { return c.membersIndex }

// Hard returns the term and vote as last synced.
func (c *Core) Hard() HardState { return c.savedHard }

// Members returns the membership in effect.
func (c *Core) Members() Membership { return c.members.clone() }

// SnapshotIndex returns the index of the newest snapshot.
func (c *Core) SnapshotIndex() Index { return c.log.snapshot.Index }
