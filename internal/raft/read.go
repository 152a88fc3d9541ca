package raft

import (
	"slices"
	"time"
)

// pendingRead waits for a heartbeat round that began after it.
type pendingRead struct {
	from    ID
	context uint64
	index   Index
	// round is 0 until the read's round has begun.
	round uint64
	// admitted is set once index is known to cover all that was committed when
	// the read came.
	admitted bool
}

// Read asks for an index to read at. The answer comes in a Ready with the same
// context, or never: the caller tries again after a while. A follower asks the
// leader.
func (c *Core) Read(context uint64) error {
	switch {
	case c.state == Leader:
		return c.addRead(c.cfg.ID, context)
	case c.lead != 0 && !c.probation:
		c.send(Message{Kind: MsgReadIndex, To: c.lead, Context: context})
		return nil
	}
	return ErrNoLeader
}

func (c *Core) addRead(from ID, context uint64) error {
	if len(c.reads) >= maxReads {
		return ErrBusy
	}
	c.reads = append(c.reads, pendingRead{from: from, context: context})
	c.admitReads()
	return nil
}

// admitReads gives reads their index. A new leader's commit index may lag
// behind what an earlier leader answered, until an entry of its own term is
// committed.
func (c *Core) admitReads() {
	if !c.committedInTerm() {
		return
	}
	for i := range c.reads {
		if !c.reads[i].admitted {
			c.reads[i].admitted = true
			c.reads[i].index = c.log.commit
		}
	}
	if c.faults.readUnchecked {
		c.releaseReads(0)
	}
}

// startReadRound begins one round for all reads that came since the last. A
// round that was under way when a read came proves nothing for it: its answers
// may be older than a newer leader's first write.
func (c *Core) startReadRound() {
	if c.state != Leader {
		return
	}
	waiting := false
	for i := range c.reads {
		if c.reads[i].admitted && c.reads[i].round == 0 {
			c.reads[i].round = c.round + 1
			waiting = true
		}
	}
	if waiting {
		c.sendRound()
	}
}

func (c *Core) releaseReads(answered uint64) {
	c.reads = slices.DeleteFunc(c.reads, func(r pendingRead) bool {
		confirmed := r.round != 0 && r.round <= answered || c.faults.readUnchecked
		if !r.admitted || !confirmed {
			return false
		}
		c.finishRead(r)
		return true
	})
}

func (c *Core) finishRead(r pendingRead) {
	if r.from == c.cfg.ID {
		c.readsDone = append(c.readsDone, ReadResult{Context: r.context, Index: r.index})
		return
	}
	c.send(Message{Kind: MsgReadIndexReply, To: r.from, Context: r.context, Index: r.index})
}

func (c *Core) handleReadIndex(m Message) {
	if c.state == Leader {
		_ = c.addRead(m.From, m.Context) // over the bound: the reader asks again
	}
}

func (c *Core) handleReadIndexReply(m Message) {
	c.readsDone = append(c.readsDone, ReadResult{Context: m.Context, Index: m.Index})
}

// noContact is the age reported before any contact with a quorum.
const noContact = 365 * 24 * time.Hour

// ContactAt is the moment that ContactAge counts from; false if there was none.
func (c *Core) ContactAt() (time.Duration, bool) { return c.contactAt, c.contact }

// ContactAge is how long ago this replica was last surely in touch with a
// quorum, as of the last Tick or Step: for a leader the start of the newest
// heartbeat round that a quorum answered, for others the leader's age carried
// over. It may be too high by a round trip, never too low.
func (c *Core) ContactAge() time.Duration {
	if !c.contact {
		return noContact
	}
	return c.now - c.contactAt
}
