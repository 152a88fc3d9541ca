package raft

import (
	"slices"
	"time"
)

// pendingRead is a read that waits for a heartbeat round that began after it.
type pendingRead struct {
	from    ID
	context uint64
	index   Index
	// round is the round that confirms the read; 0 until that round has begun.
	round uint64
	// indexed is set once index is known to cover all that was committed when the read
	// arrived.
	indexed bool
}

// Read starts a linearizable read. Its ReadResult comes in a Ready with the same context,
// or never: the caller retries after a timeout. A follower asks the leader.
func (c *Core) Read(context uint64) error {
	switch {
	case c.state == Leader:
		return c.addRead(c.cfg.ID, context)
	case c.leader != 0 && !c.recovering:
		c.send(Message{Kind: MsgReadIndex, To: c.leader, Context: context})
		return nil
	}
	return ErrNoLeader
}

func (c *Core) addRead(from ID, context uint64) error {
	if len(c.reads) >= maxPendingReads {
		return ErrBusy
	}
	c.reads = append(c.reads, pendingRead{from: from, context: context})
	c.assignReadIndexes()
	return nil
}

// assignReadIndexes sets the index of pending reads. A new leader's commit index may be
// behind what an earlier leader acknowledged until the new leader has committed an entry
// of its own term.
func (c *Core) assignReadIndexes() {
	if !c.committedInTerm() {
		return
	}
	for i := range c.reads {
		if !c.reads[i].indexed {
			c.reads[i].indexed = true
			c.reads[i].index = c.log.commit
		}
	}
	if c.faults.unconfirmedReads {
		c.releaseReads(0)
	}
}

// startReadRound starts one heartbeat round for all reads that arrived since the last. A
// round that began before a read doesn't confirm it: its replies may be older than a
// newer leader's first write.
func (c *Core) startReadRound() {
	if c.state != Leader {
		return
	}
	waiting := false
	for i := range c.reads {
		if c.reads[i].indexed && c.reads[i].round == 0 {
			c.reads[i].round = c.round + 1
			waiting = true
		}
	}
	if waiting {
		c.sendHeartbeats()
	}
}

func (c *Core) releaseReads(answered uint64) {
	c.reads = slices.DeleteFunc(c.reads, func(r pendingRead) bool {
		confirmed := r.round != 0 && r.round <= answered || c.faults.unconfirmedReads
		if !r.indexed || !confirmed {
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
		_ = c.addRead(m.From, m.Context) // ErrBusy needs no reply: the reader retries
	}
}

func (c *Core) handleReadIndexReply(m Message) {
	c.readsDone = append(c.readsDone, ReadResult{Context: m.Context, Index: m.Index})
}

// noContactAge is the contact age before the first contact with a quorum.
const noContactAge = 365 * 24 * time.Hour

// ContactAt returns the time from which ContactAge counts; false if there was no contact
// yet.
func (c *Core) ContactAt() (time.Duration, bool) { return c.contactAt, c.hadContact }

// ContactAge returns how long ago, as of the last Tick or Step, this replica last had
// contact with a quorum. For a leader that is the start of the newest heartbeat round
// that a quorum replied to; for others it is the leader's age carried over. It may be too
// high by a round trip, but never too low.
func (c *Core) ContactAge() time.Duration {
	if !c.hadContact {
		return noContactAge
	}
	return c.now - c.contactAt
}
