package raft

import "slices"

// handleAppend appends a leader's entries if the entry before them matches this replica's
// log.
func (c *Core) handleAppend(m Message) {
	if m.Index < c.log.commit && !c.log.matches(m.Index, m.LogTerm) {
		c.acknowledge(m.From, c.log.commit)
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint := c.log.lastPossibleMatch(m.Index, m.LogTerm)
		c.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: hint, Commit: m.Index})
		return
	}
	c.mergeEntries(m.Entries)
	end := m.Index
	if n := len(m.Entries); n > 0 {
		end = m.Entries[n-1].Index
	}
	c.commitTo(min(m.Commit, end))
	c.acknowledge(m.From, end)
}

// mergeEntries appends new entries and truncates the log where it conflicts. Entries that
// the log already has stay: a delayed append must not truncate newer entries.
func (c *Core) mergeEntries(es []Entry) {
	members := slices.ContainsFunc(es, func(e Entry) bool { return e.Kind == EntryMembers })
	for i, e := range es {
		if c.log.matches(e.Index, e.Term) || e.Index <= c.log.commit {
			continue
		}
		if e.Index <= c.log.last() {
			if c.faults.keepConflict {
				continue
			}
			c.log.truncateFrom(e.Index)
			members = true // the truncated part may hold a membership
		}
		c.log.append(es[i:]...)
		break
	}
	if members {
		c.adoptMembers()
	}
}

func (c *Core) acknowledge(to ID, i Index) {
	c.send(Message{Kind: MsgAppendReply, To: to, Index: i})
}

func (c *Core) commitTo(i Index) {
	c.log.commit = max(c.log.commit, min(i, c.log.last()))
}

// handleHeartbeat replies to a heartbeat. The reply carries this replica's clock reading,
// and the leader returns the newest one it has received. That time minus the leader's own
// contact age is a time at which a quorum was in contact, however long the heartbeat was
// delayed.
func (c *Core) handleHeartbeat(m Message) {
	c.updateContact(m)
	c.commitTo(m.Commit)
	c.send(Message{Kind: MsgHeartbeatReply, To: m.From, Round: m.Round, Timestamp: c.now, Context: c.hello.Context})
}

func (c *Core) updateContact(m Message) {
	if m.Timestamp == 0 || m.Context != c.hello.Context {
		return // none yet, or from before a restart, when the clock had another origin
	}
	at := m.Timestamp - m.ContactAge
	if !c.hadContact || at > c.contactAt {
		c.hadContact = true
		c.contactAt = at
	}
}
