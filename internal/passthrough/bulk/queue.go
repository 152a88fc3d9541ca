package bulk

import (
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// maxQueued bounds the packets of a Queue, 1.3 kB each: the windows of some fifty flows.
const maxQueued = 1_024

// Packet is a queued packet of a bulk flow.
type Packet struct {
	Packet packet.Packet
	// Raw is the packet as received.
	Raw []byte
	// order is when its flow started.
	order time.Duration
}

// Queue holds the packets of bulk flows that the link has no room for yet. A client sends a
// window at once, and if two were passed on at once, all small packets would wait behind
// them, and a link with a short queue would drop some, for which the client waits 200 ms.
// The flow that started first is sent first, each flow in the order of its data: a target
// that gets packets out of order asks for the missing ones again.
//
// It isn't safe for concurrent use. It allocates only while it grows.
type Queue struct {
	packets []Packet
	// free are the buffers of packets that were sent.
	free [][]byte
}

// Len returns the number of queued packets.
func (q *Queue) Len() int { return len(q.packets) }

// Add queues a packet of a flow that started at the given time. A retransmit of a packet that
// is still queued is dropped. It returns false if the queue is full.
func (q *Queue) Add(p packet.Packet, raw []byte, startedAt time.Duration) bool {
	x := Packet{Packet: p, order: startedAt}
	at := len(q.packets)
	for ; at > 0; at-- {
		c := x.compare(&q.packets[at-1])
		if c == 0 {
			return true
		}
		if c > 0 {
			break
		}
	}
	if len(q.packets) >= maxQueued {
		return false
	}
	if n := len(q.free); n > 0 {
		x.Raw = q.free[n-1]
		q.free = q.free[:n-1]
	}
	x.Raw = append(x.Raw[:0], raw...)
	q.packets = slices.Insert(q.packets, at, x)
	return true
}

// compare orders packets: by the start of their flows, and within a flow by position. It
// returns 0 for two copies of one packet.
func (x *Packet) compare(y *Packet) int {
	f, g := x.Packet.FromClient(), y.Packet.FromClient()
	switch {
	case x.order != y.order:
		return sign(x.order > y.order)
	case f != g:
		return sign(f.Client.Compare(g.Client) > 0)
	case x.Packet.Seq != y.Packet.Seq:
		return sign(int32(x.Packet.Seq-y.Packet.Seq) > 0)
	case x.Packet.Data != y.Packet.Data:
		return sign(x.Packet.Data > y.Packet.Data)
	case x.Packet.Flags != y.Packet.Flags:
		return sign(x.Packet.Flags > y.Packet.Flags)
	}
	return 0
}

func sign(greater bool) int {
	if greater {
		return 1
	}
	return -1
}

// First returns the packet whose turn it is. It is valid until Remove.
func (q *Queue) First() Packet { return q.packets[0] }

// Remove removes the packet that First returns.
func (q *Queue) Remove() {
	q.free = append(q.free, q.packets[0].Raw)
	q.packets[0].Raw = nil
	q.packets = slices.Delete(q.packets, 0, 1)
}
