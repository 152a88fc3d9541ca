package bulk

import (
	"iter"
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

const (
	// maxQueued bounds the packets of a Queue, 1.3 kB each: the windows of some fifty flows.
	maxQueued = 1_024
	// staleAfter is how long a packet stays queued unless its client repeats it. One that
	// hasn't been repeated by then was acknowledged by way of another balancer, or its client
	// is gone.
	staleAfter = retransmitAfter * 3 / 2
)

// Packet is a queued packet of a bulk flow.
type Packet struct {
	Packet packet.Packet
	// Raw is the packet as received.
	Raw []byte
	// wantedAt is when the client last sent the packet.
	wantedAt time.Duration
}

// Queue holds the packets of bulk flows that the link has no room for yet. A client sends a
// window at once, and if two were passed on at once, all small packets would wait behind
// them, and a link with a short queue would drop some, for which the client waits 200 ms.
// Flows take turns in order of arrival, so that none waits long enough to retransmit, and
// each turn sends the first of the flow's data: a target that gets packets out of order
// asks for the missing ones again.
//
// It isn't safe for concurrent use. It allocates only while it grows.
type Queue struct {
	packets []Packet
	// bytes is what the queued packets have together, limit the bound on it, 0 if none.
	bytes, limit int
	// free are the buffers of packets that were sent.
	free [][]byte
}

// Len returns the number of queued packets.
func (q *Queue) Len() int { return len(q.packets) }

// SetRate sets what the link carries, in bytes a second; 0 if that isn't known. Packets that
// would be stale before it has room for them aren't queued.
func (q *Queue) SetRate(rate float64) {
	q.limit = 0
	if rate > 0 {
		q.limit = max(int(rate*staleAfter.Seconds()), 2*WindowBytes)
	}
}

// Add queues a packet. A retransmit of a packet that is still queued is dropped. It returns
// false if the queue is full.
func (q *Queue) Add(now time.Duration, p packet.Packet, raw []byte) bool {
	if x := q.find(p); x != nil {
		x.wantedAt = now
		return true
	}
	if len(q.packets) >= maxQueued || q.limit > 0 && q.bytes+len(raw) > q.limit {
		return false
	}
	q.bytes += len(raw)
	x := Packet{Packet: p, wantedAt: now}
	if n := len(q.free); n > 0 {
		x.Raw = q.free[n-1]
		q.free = q.free[:n-1]
	}
	x.Raw = append(x.Raw[:0], raw...)
	q.packets = append(q.packets, x)
	q.sortLast()
	return true
}

// find returns the queued copy of a packet, nil if there is none.
func (q *Queue) find(p packet.Packet) *Packet {
	for i := range q.packets {
		x := &q.packets[i].Packet
		if x.Seq == p.Seq && x.Data == p.Data && x.Flags == p.Flags && x.FromClient() == p.FromClient() {
			return &q.packets[i]
		}
	}
	return nil
}

// sortLast puts the last packet into its place among those of its flow, which keep their
// turns.
func (q *Queue) sortLast() {
	at := len(q.packets) - 1
	f := q.packets[at].Packet.FromClient()
	for i := at - 1; i >= 0; i-- {
		if q.packets[i].Packet.FromClient() != f {
			continue
		}
		if int32(q.packets[i].Packet.Seq-q.packets[at].Packet.Seq) <= 0 {
			return
		}
		q.packets[i], q.packets[at] = q.packets[at], q.packets[i]
		at = i
	}
}

// All returns the queued packets in their order.
func (q *Queue) All() iter.Seq[Packet] { return slices.Values(q.packets) }

// RemoveFunc removes the packets of the flows that gone tells.
func (q *Queue) RemoveFunc(gone func(packet.Flow) bool) {
	q.removeFunc(func(x *Packet) bool { return gone(x.Packet.FromClient()) })
}

// RemoveStale removes the packets that their clients should have repeated and haven't.
func (q *Queue) RemoveStale(now time.Duration) {
	q.removeFunc(func(x *Packet) bool { return now-x.wantedAt > staleAfter })
}

func (q *Queue) removeFunc(gone func(*Packet) bool) {
	q.packets = slices.DeleteFunc(q.packets, func(x Packet) bool {
		if !gone(&x) {
			return false
		}
		q.recycle(&x)
		return true
	})
}

func (q *Queue) recycle(x *Packet) {
	q.bytes -= len(x.Raw)
	q.free = append(q.free, x.Raw)
}

// First returns the packet whose turn it is. It is valid until Remove.
func (q *Queue) First() Packet { return q.packets[0] }

// Remove removes the packet that First returns.
func (q *Queue) Remove() {
	q.recycle(&q.packets[0])
	q.packets = slices.Delete(q.packets, 0, 1)
}
