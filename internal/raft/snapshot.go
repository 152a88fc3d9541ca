package raft

import (
	"bytes"

	"github.com/go-faster/errors"
)

// outgoingSnapshot is a snapshot transfer to one replica. The encoded bytes stay the same
// for the whole transfer, even if a newer snapshot is taken.
type outgoingSnapshot struct {
	index     Index
	term      Term
	encoded   []byte
	offset    uint64
	sentRound uint64
}

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	index Index
	term  Term
	total uint64
	data  bytes.Buffer
}

// maxSnapshotBytes bounds the memory that a peer can make this replica use.
const maxSnapshotBytes = 256 << 20

func (c *Core) startSnapshot(p *progress, id ID) {
	encoded, err := c.log.snapshot.MarshalMsg(nil)
	if err != nil {
		return
	}
	p.probing, p.paused = true, false
	p.inFlight = nil
	p.snapshot = &outgoingSnapshot{index: c.log.snapshot.Index, term: c.log.snapshot.Term, encoded: encoded}
	c.sendChunk(p, id)
}

func (c *Core) sendChunk(p *progress, id ID) {
	o := p.snapshot
	end := min(o.offset+uint64(c.cfg.ChunkBytes), uint64(len(o.encoded)))
	o.sentRound = c.round
	c.send(Message{Kind: MsgSnapshot, To: id, Chunk: &Chunk{
		Index: o.index, Term: o.term, Offset: o.offset,
		Total: uint64(len(o.encoded)), Data: o.encoded[o.offset:end],
	}})
}

// resendChunk resends a chunk that was not acknowledged for some heartbeat rounds.
func (c *Core) resendChunk(p *progress, id ID) {
	const resendAfterRounds = 3
	if p.snapshot != nil && c.round-p.snapshot.sentRound >= resendAfterRounds {
		c.sendChunk(p, id)
	}
}

func (c *Core) handleSnapshotReply(p *progress, m Message) {
	o := p.snapshot
	if o == nil || m.Chunk == nil || m.Chunk.Index != o.index || m.Chunk.Term != o.term {
		return
	}
	next := m.Chunk.Offset
	if next > uint64(len(o.encoded)) || next == o.offset && next != 0 {
		return // a duplicate reply
	}
	o.offset = next
	if next < uint64(len(o.encoded)) {
		c.sendChunk(p, m.From)
	}
}

// handleSnapshot stores a chunk. The reply to the last chunk acknowledges the snapshot's
// index and is sent after the snapshot is synced.
func (c *Core) handleSnapshot(m Message) {
	k := m.Chunk
	if k == nil || k.Total > maxSnapshotBytes {
		return
	}
	if k.Index <= c.log.commit {
		c.acknowledge(m.From, c.log.commit)
		return
	}
	in := c.incoming
	if in == nil || in.index != k.Index || in.term != k.Term || in.total != k.Total {
		in = &incomingSnapshot{index: k.Index, term: k.Term, total: k.Total}
		c.incoming = in
	}
	if k.Offset == uint64(in.data.Len()) && k.Offset+uint64(len(k.Data)) <= k.Total {
		in.data.Write(k.Data)
	}
	if uint64(in.data.Len()) < in.total {
		c.requestChunk(m.From, in)
		return
	}
	c.incoming = nil
	if err := c.installSnapshot(in); err != nil {
		return // the leader restarts the transfer
	}
	c.acknowledge(m.From, in.index)
}

func (c *Core) requestChunk(leader ID, in *incomingSnapshot) {
	c.send(Message{Kind: MsgSnapshotReply, To: leader, Chunk: &Chunk{
		Index: in.index, Term: in.term, Offset: uint64(in.data.Len()), Total: in.total,
	}})
}

func (c *Core) installSnapshot(in *incomingSnapshot) error {
	var s Snapshot
	if _, err := s.UnmarshalMsg(in.data.Bytes()); err != nil {
		return errors.Wrap(err, "raft: decode snapshot")
	}
	if s.Index != in.index || s.Term != in.term {
		return errors.Errorf("raft: snapshot at index %d received in chunks for index %d", s.Index, in.index)
	}
	c.log.install(s)
	c.pendingInstall = &s
	c.adoptMembers()
	return nil
}
