// Package simulation plays callers, balancers, agents and targets of pass-through flows
// in a seeded event loop, with the real decision code (forward, flowtable, placement)
// in the middle:
//
//	bergamotctl experiment pass
//
// It shows what callers get under a load and a policy, on deployments that are
// drawn at random, so that a decision isn't judged by the few deployments that
// somebody happens to run. Time is simulated; a seed gives the same run each time.
//
// What it leaves out: bytes (a request and an answer are one packet each), lost
// packets, processor time, readiness (every balancer of a data centre that runs is
// in rotation), control VMs (a table comes to each node at a drawn moment).
package simulation

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bergamotstall/internal/passthrough/flowtable"
	"bergamotstall/internal/passthrough/forward"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/route"
)

// Policies are the thresholds under test.
type Policies struct {
	Forward   forward.Policy
	Flowtable flowtable.Policy
}

// InUse are the policies that nodes run by.
func InUse() Policies {
	return Policies{Forward: forward.DefaultPolicy(), Flowtable: flowtable.DefaultPolicy()}
}

const (
	// tickInterval is how often the engines of nodes are let know of the time.
	tickInterval = 20 * time.Millisecond
	// inZone is the way between two VMs of one data centre, onVM between agent and
	// target.
	inZone = 100 * time.Microsecond
	onVM   = 50 * time.Microsecond
	// epoch keeps the clock of the engines away from 0, which stands for never.
	epoch = time.Hour
)

// world is one run.
type world struct {
	d        Deployment
	policies Policies
	rng      *rand.Rand
	now      time.Duration
	end      time.Duration
	queue    events
	seq      uint64

	table     *route.Table
	balancers []*balancer
	agents    []*agent
	callers   []*callerVM
	packets   []sent
	requests  []*request
	flows     map[packet.Flow]*callerFlow
	pending   []pending
	// reference takes the requests in place of the nodes, if it is set.
	reference *reference
	// load multiplies the rate of requests; heavy is the part of them that three
	// VMs make, long the part that takes longFactor as long. stopped ends them.
	load, heavy, long float64
	stopped           bool
}

// pending is what an engine has just sent. Engines go through maps, so the order in
// which they send is made one of flows, or a seed would give another run each time.
type pending struct {
	flow packet.Flow
	at   time.Duration
	step func()
}

// sent is a packet under way. The engines carry its number as the packet's bytes.
type sent struct {
	p packet.Packet
	// shed marks a target's answer that says that the request wasn't run.
	shed bool
}

// event is something that happens at a moment.
type event struct {
	at   time.Duration
	seq  uint64
	step func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (w *world) after(d time.Duration, step func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, step})
}

func (w *world) run() {
	for len(w.queue) > 0 && w.queue[0].at < w.end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.step()
		w.flush()
	}
}

// afterEvent runs a step after the present event and a delay.
func (w *world) afterEvent(f packet.Flow, d time.Duration, step func()) {
	w.pending = append(w.pending, pending{f, d, step})
}

func (w *world) flush() {
	if len(w.pending) == 0 {
		return
	}
	slices.SortStableFunc(w.pending, func(a, b pending) int { return compareFlows(a.flow, b.flow) })
	for _, p := range w.pending {
		w.after(p.at, p.step)
	}
	w.pending = w.pending[:0]
}

// clock is the time that engines are told.
func (w *world) clock() time.Duration { return epoch + w.now }

// wall is the time of day.
func (w *world) wall() time.Time { return time.UnixMilli(1_000_000_000).Add(w.now) }

func (w *world) exp(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

// between draws evenly from a range.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Float64()*float64(high-low))
}

// wire gives a packet a number and returns the bytes that stand for it.
func (w *world) wire(p packet.Packet, shed bool) []byte {
	w.packets = append(w.packets, sent{p, shed})
	raw := make([]byte, rawSize)
	binary.BigEndian.PutUint32(raw, uint32(len(w.packets)-1))
	return raw
}

// carried is the packet that bytes stand for.
func (w *world) carried(raw []byte) sent {
	s := w.packets[binary.BigEndian.Uint32(raw)]
	s.p.Tag = binary.BigEndian.Uint16(raw[4:])
	return s
}

// rawSize is a packet's number and its tag.
const rawSize = 6

// codec marks the bytes that stand for packets.
type codec struct{}

// Decode implements packet.Codec; the model hands the engines packets itself.
func (codec) Decode([]byte) (packet.Packet, error) { return packet.Packet{}, nil }

// SetTag implements packet.Codec.
func (codec) SetTag(raw []byte, tag uint16) { binary.BigEndian.PutUint16(raw[4:], tag) }

// AppendReset implements packet.Codec.
func (codec) AppendReset(to []byte, _ packet.Flow, _ uint32) []byte { return to }

// addressOf numbers the VMs of a role.
func addressOf(role byte, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, role, byte(n >> 8), byte(n)}), 7000)
}

// way is how long a datagram takes between two nodes.
func (w *world) way(from, to int) time.Duration {
	if from == to {
		return inZone
	}
	return w.d.ZoneDelay
}
