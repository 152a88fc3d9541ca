package raft

import (
	"bytes"

	"github.com/go-faster/errors"
)

// outgoingSnapshot is a snapshot under way to one replica. The encoded bytes
// stay the same for the whole transfer, also when a newer snapshot is made.
type outgoingSnapshot struct {
	index   Index
	term    Term
	encoded []byte
	offset  uint64
	sentAt  uint64
}

// incomingSnapshot gathers chunks.
type incomingSnapshot struct {
	index Index
	term  Term
	total uint64
	data  bytes.Buffer
}

// maxSnapshot bounds what a peer can make this replica gather.
const maxSnapshot = 256 << 20

func (c *Core) startSnapshot(p *progress, id ID) {
	encoded, err := c.log.snapshot.MarshalMsg(nil)
	if err != nil {
		return
	}
	p.probing, p.paused = true, false
	p.inFlight = nil
	p.outgoing = &outgoingSnapshot{index: c.log.snapshot.Index, term: c.log.snapshot.Term, encoded: encoded}
	c.sendChunk(p, id)
}

func (c *Core) sendChunk(p *progress, id ID) {
	o := p.outgoing
	end := min(o.offset+uint64(c.cfg.ChunkBytes), uint64(len(o.encoded)))
	o.sentAt = c.round
	c.send(Message{Kind: MsgSnapshot, To: id, Chunk: &Chunk{
		Index: o.index, Term: o.term, Offset: o.offset,
		Total: uint64(len(o.encoded)), Data: o.encoded[o.offset:end],
	}})
}

// resendChunk sends a chunk again that had no answer for some rounds.
func (c *Core) resendChunk(p *progress, id ID) {
	const patience = 3
	if p.outgoing != nil && c.round-p.outgoing.sentAt >= patience {
		c.sendChunk(p, id)
	}
}

func (c *Core) handleSnapshotReply(p *progress, m Message) {
	o := p.outgoing
	if o == nil || m.Chunk == nil || m.Chunk.Index != o.index || m.Chunk.Term != o.term {
		return
	}
	next := m.Chunk.Offset
	if next > uint64(len(o.encoded)) || next == o.offset && next != 0 {
		return // the answer to a chunk sent twice
	}
	o.offset = next
	if next < uint64(len(o.encoded)) {
		c.sendChunk(p, m.From)
	}
}

// handleSnapshot gathers a chunk. The last one's answer is the acknowledgement
// of the snapshot's index, which leaves after the snapshot is synced.
func (c *Core) handleSnapshot(m Message) {
	k := m.Chunk
	if k == nil || k.Total > maxSnapshot {
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
		c.wantChunk(m.From, in)
		return
	}
	c.incoming = nil
	if err := c.installSnapshot(in); err != nil {
		return // the leader sends it again from the start
	}
	c.acknowledge(m.From, in.index)
}

func (c *Core) wantChunk(leader ID, in *incomingSnapshot) {
	c.send(Message{Kind: MsgSnapshotReply, To: leader, Chunk: &Chunk{
		Index: in.index, Term: in.term, Offset: uint64(in.data.Len()), Total: in.total,
	}})
}

func (c *Core) installSnapshot(in *incomingSnapshot) error {
	var s Snapshot
	if _, err := s.UnmarshalMsg(in.data.Bytes()); err != nil {
		return errors.Wrap(err, "raft: snapshot")
	}
	if s.Index != in.index || s.Term != in.term {
		return errors.Errorf("raft: snapshot of %d in chunks of %d", s.Index, in.index)
	}
	c.log.install(s)
	c.install = &s
	c.adoptMembers()
	return nil
}
