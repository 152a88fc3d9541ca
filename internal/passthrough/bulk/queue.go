package bulk

import (
	"iter"
	"slices"

	"bergamotstall/internal/passthrough/packet"
)

// maxQueued bounds the packets of a Queue, 1.3 kB each: the windows of some fifty flows.
const maxQueued = 1_024

// Packet is a queued packet of a bulk flow.
type Packet struct {
	Packet packet.Packet
	// Raw is the packet as received.
	Raw []byte
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
	// free are the buffers of packets that were sent.
	free [][]byte
}

// Len returns the number of queued packets.
func (q *Queue) Len() int { return len(q.packets) }

// Add queues a packet. A retransmit of a packet that is still queued is dropped. It returns
// false if the queue is full.
func (q *Queue) Add(p packet.Packet, raw []byte) bool {
	if q.holds(p) {
		return true
	}
	if len(q.packets) >= maxQueued {
		return false
	}
	x := Packet{Packet: p}
	if n := len(q.free); n > 0 {
		x.Raw = q.free[n-1]
		q.free = q.free[:n-1]
	}
	x.Raw = append(x.Raw[:0], raw...)
	q.packets = append(q.packets, x)
	q.sortLast()
	return true
}

// holds tells whether a copy of a packet is queued.
func (q *Queue) holds(p packet.Packet) bool {
	for i := range q.packets {
		x := &q.packets[i].Packet
		if x.Seq == p.Seq && x.Data == p.Data && x.Flags == p.Flags && x.FromClient() == p.FromClient() {
			return true
		}
	}
	return false
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
	q.packets = slices.DeleteFunc(q.packets, func(x Packet) bool {
		if !gone(x.Packet.FromClient()) {
			return false
		}
		q.free = append(q.free, x.Raw)
		return true
	})
}

// First returns the packet whose turn it is. It is valid until Remove.
func (q *Queue) First() Packet { return q.packets[0] }

// Remove removes the packet that First returns.
func (q *Queue) Remove() {
	q.free = append(q.free, q.packets[0].Raw)
	q.packets[0].Raw = nil
	q.packets = slices.Delete(q.packets, 0, 1)
}
