package raft

import "time"

// MemberStatus is what a leader knows of one member.
type MemberStatus struct {
	Member
	// Match is the last entry known to be synced there; 0 unless this replica
	// leads.
	Match Index
	// Silence is how long ago the leader last heard from it; 0 for itself.
	Silence time.Duration
}

// Status is one replica's view.
type Status struct {
	ID      ID
	State   State
	Leader  ID
	Term    Term
	Commit  Index
	Applied Index
	Last    Index
	// Probation is set while a restarted replica asks what others know of it.
	Probation bool
	// ChangeOpen is set while a membership change isn't committed.
	ChangeOpen bool
	Members    []MemberStatus
	Removed    []ID
}

// Status returns this replica's view.
func (c *Core) Status() Status {
	s := Status{
		ID:         c.cfg.ID,
		State:      c.state,
		Leader:     c.lead,
		Term:       c.term,
		Commit:     c.log.commit,
		Applied:    c.log.handed,
		Last:       c.log.last(),
		Probation:  c.probation,
		ChangeOpen: c.membersIndex > c.log.commit,
		Removed:    c.members.clone().Removed,
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

// Leader returns the leader that this replica follows or is; 0 if none.
func (c *Core) Leader() ID { return c.lead }

// Leads says whether this replica is the leader.
func (c *Core) Leads() bool { return c.state == Leader }

// Term returns the current term.
func (c *Core) Term() Term { return c.term }

// MembersIndex returns the entry that set the membership in use.
func (c *Core) MembersIndex() Index { return c.membersIndex }

// Hard returns the term and vote as last synced.
func (c *Core) Hard() HardState { return c.saved }

// Members returns the membership in use.
func (c *Core) Members() Membership { return c.members.clone() }

// SnapshotIndex returns the index of the newest snapshot.
func (c *Core) SnapshotIndex() Index { return c.log.snapshot.Index }
