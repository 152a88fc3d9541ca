// Package simulation simulates callers, balancers, agents and targets of pass-through
// flows in a discrete-event simulation that runs the real decision code of packages
// forward, flowtable and placement:
//
//	bergamotctl experiment pass
//
// It shows what callers get for a load and a policy. Deployments are random, so that a
// policy isn't evaluated only on the few deployments that exist. Time is simulated; the
// same seed gives the same run.
//
// It doesn't simulate packet sizes (a request and an answer are one packet each), packet
// loss, processor time, readiness (every running balancer of a data centre is in
// rotation), control VMs (each node gets its table at a random time) and agents' probes of
// their targets' addresses.
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
	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/route"
)

// Policies are the policies of balancers and agents.
type Policies struct {
	Forward   forward.Policy
	Flowtable flowtable.Policy
	Overload  overload.Settings
}

// CurrentPolicies returns the policies that balancers and agents use by default.
func CurrentPolicies() Policies {
	return Policies{Forward: forward.DefaultPolicy(), Flowtable: flowtable.DefaultPolicy(), Overload: overload.Settings{LearnedCapacity: true}}
}

const (
	// tickInterval is the time between two ticks of the engines.
	tickInterval = 20 * time.Millisecond
	// sameZoneDelay is the one-way delay between two VMs of one data centre,
	// sameVMDelay that between an agent and its target.
	sameZoneDelay = 100 * time.Microsecond
	sameVMDelay   = 50 * time.Microsecond
	// clockOffset keeps the engines' clock away from 0, which means never.
	clockOffset = time.Hour
)

// world is the state of one run.
type world struct {
	d        Deployment
	policies Policies
	rng      *rand.Rand
	now      time.Duration
	endTime  time.Duration
	events   events
	seq      uint64

	table     *route.Table
	balancers []*balancer
	agents    []*agent
	callers   []*callerVM
	packets   []sentPacket
	requests  []*request
	flows     map[packet.Flow]*callerFlow
	pending   []pendingSend
	// reference, if set, handles requests in place of balancers and agents.
	reference *reference
	// loadFactor multiplies the rate of requests. heavyFraction of them are sent by
	// three VMs, longFraction of them take longFactor times as long. arrivalsStopped
	// ends the arrival of requests.
	loadFactor, heavyFraction, longFraction float64
	// crowdedFraction of the requests are sent by VMs of the first data centre, in addition
	// to its share of the others.
	crowdedFraction float64
	arrivalsStopped bool
}

// pendingSend is a packet that an engine sent during the current event. Engines iterate
// over maps, so packets are sorted by flow; otherwise runs with the same seed would
// differ.
type pendingSend struct {
	flow  packet.Flow
	delay time.Duration
	step  func()
}

// sentPacket is a packet in flight. The raw bytes that engines handle hold its index.
type sentPacket struct {
	p packet.Packet
	// shed marks a target's answer that the request was shed and not run.
	shed bool
}

// event is a step to run at a time.
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
	heap.Push(&w.events, event{w.now + d, w.seq, step})
}

func (w *world) run() {
	for len(w.events) > 0 && w.events[0].at < w.endTime {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.step()
		w.schedulePending()
	}
}

// scheduleOrdered runs a step after a delay. Steps of the current event are scheduled in
// the order of their flows.
func (w *world) scheduleOrdered(f packet.Flow, d time.Duration, step func()) {
	w.pending = append(w.pending, pendingSend{f, d, step})
}

func (w *world) schedulePending() {
	if len(w.pending) == 0 {
		return
	}
	slices.SortStableFunc(w.pending, func(a, b pendingSend) int { return compareFlows(a.flow, b.flow) })
	for _, p := range w.pending {
		w.after(p.delay, p.step)
	}
	w.pending = w.pending[:0]
}

// clock returns the time for the engines.
func (w *world) clock() time.Duration { return clockOffset + w.now }

// wallTime returns the simulated wall-clock time.
func (w *world) wallTime() time.Time { return time.UnixMilli(1_000_000_000).Add(w.now) }

func (w *world) exp(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

// between draws from a uniform distribution.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Float64()*float64(high-low))
}

// encode stores a packet and returns raw bytes that refer to it.
func (w *world) encode(p packet.Packet, shed bool) []byte {
	w.packets = append(w.packets, sentPacket{p, shed})
	raw := make([]byte, rawSize)
	binary.BigEndian.PutUint32(raw, uint32(len(w.packets)-1))
	return raw
}

// decode returns the packet that raw bytes refer to.
func (w *world) decode(raw []byte) sentPacket {
	s := w.packets[binary.BigEndian.Uint32(raw)]
	s.p.Tag = binary.BigEndian.Uint16(raw[4:])
	return s
}

// rawSize is the size of a packet's index and its tag.
const rawSize = 6

// codec writes tags into the raw bytes that refer to packets.
type codec struct{}

// Decode implements packet.Codec. It isn't used, since the simulation passes decoded
// packets to the engines.
func (codec) Decode([]byte) (packet.Packet, error) { return packet.Packet{}, nil }

// SetTag implements packet.Codec.
func (codec) SetTag(raw []byte, tag uint16) { binary.BigEndian.PutUint16(raw[4:], tag) }

// AppendReset implements packet.Codec.
func (codec) AppendReset(to []byte, _ packet.Flow, _ uint32) []byte { return to }

// addressOf returns the address of VM n of a role.
func addressOf(role byte, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, role, byte(n >> 8), byte(n)}), 7000)
}

// networkDelay returns the one-way delay between two data centres, or within one.
func (w *world) networkDelay(from, to int) time.Duration {
	if from == to {
		return sameZoneDelay
	}
	return w.d.ZoneDelay
}
