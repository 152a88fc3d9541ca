package raft

import "slices"

// handleAppend takes a leader's entries in where they join the log.
func (c *Core) handleAppend(m Message) {
	if m.Index < c.log.commit && !c.log.matches(m.Index, m.LogTerm) {
		c.acknowledge(m.From, c.log.commit)
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint := c.log.joinBefore(m.Index, m.LogTerm)
		c.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: hint, Commit: m.Index})
		return
	}
	c.takeEntries(m.Entries)
	end := m.Index
	if n := len(m.Entries); n > 0 {
		end = m.Entries[n-1].Index
	}
	c.commitTo(min(m.Commit, end))
	c.acknowledge(m.From, end)
}

// takeEntries appends what is new and drops what conflicts. Entries that the
// log already has stay as they are: an old append that arrives late must not
// cut off newer ones.
func (c *Core) takeEntries(es []Entry) {
	members := slices.ContainsFunc(es, func(e Entry) bool { return e.Kind == EntryMembers })
	for i, e := range es {
		if c.log.matches(e.Index, e.Term) || e.Index <= c.log.commit {
			continue
		}
		if e.Index <= c.log.last() {
			if c.faults.keepConflict {
				continue
			}
			c.log.cutFrom(e.Index)
			members = true // a membership may have been cut off
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

// handleHeartbeat answers a round. The reply carries this replica's clock, and
// the leader returns the newest one it has seen: the time in it, less the
// leader's own age, is a moment at which a quorum was surely in touch, however
// long the heartbeat itself was under way.
func (c *Core) handleHeartbeat(m Message) {
	c.noteContact(m)
	c.commitTo(m.Commit)
	c.send(Message{Kind: MsgHeartbeatReply, To: m.From, Round: m.Round, Stamp: c.now, Context: c.boot.Context})
}

func (c *Core) noteContact(m Message) {
	if m.Stamp == 0 || m.Context != c.boot.Context {
		return // none yet, or of an earlier start, whose clock says nothing now
	}
	at := m.Stamp - m.Age
	if !c.contact || at > c.contactAt {
		c.contact = true
		c.contactAt = at
	}
}
