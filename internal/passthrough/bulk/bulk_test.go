package bulk

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
)

const (
	start = time.Hour
	goal  = 800 * time.Millisecond
	// rateOfTwo is the rate of a link with room for two flows.
	rateOfTwo = 2 * WindowBytes * 10
)

func flowOf(port uint16) packet.Flow {
	return packet.Flow{Client: packet.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}, Service: packet.Endpoint{Port: 443}}
}

func first(port uint16, begunAt time.Duration) First {
	return NewFirst(flowOf(port), begunAt, goal, 0)
}

func newAdmission(rate float64) *Admission {
	a := New()
	a.SetRate(rate)
	return a
}

// Guards against room kept for flows that ended without a word or wait for their target, and
// against the last acknowledgements of a flow taking its room again.
func TestQuietFlowLeavesRoom(t *testing.T) {
	is := is.New(t)
	a := newAdmission(WindowBytes)
	a.Arrive(start, first(1, start))
	is.Equal(a.InProgress(start+openWithin), 0)
	a.Packet(start+openWithin, flowOf(1), 1200)
	is.Equal(a.InProgress(start+openWithin+200*time.Millisecond), 1) // its retransmit is due
	is.Equal(a.InProgress(start+openWithin+quietAfter), 0)
	a.End(start+openWithin, flowOf(1))
	a.Packet(start+openWithin, flowOf(1), 0)
	is.Equal(a.InProgress(start+openWithin), 0)
}

// Guards against the reset of a flow that another balancer has opened: a copy that may have
// been sent, but didn't come here, is taken for delivered there.
func TestOnlyHere(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		age             time.Duration
		copies          []uint32
		only, elsewhere bool
	}{
		{100, []uint32{0}, true, false}, {160, []uint32{0}, false, false}, {260, []uint32{0}, false, true}, {260, []uint32{0, 1}, true, false},
		{560, []uint32{0, 1}, false, false}, {700, []uint32{0, 2}, false, false}, {700, []uint32{0, 1, 2}, true, false}, {700, []uint32{0, 1}, false, true},
	} {
		x := NewFirst(flowOf(1), start, goal, c.copies[0])
		for _, n := range c.copies {
			x.Copy(n)
		}
		now := start + c.age*time.Millisecond
		is.Equal(x.OnlyHere(now), c.only)
		is.Equal(x.Elsewhere(now), c.elsewhere)
	}
}

// Guards against a link filled twice when the fabric spreads flows anew or a neighbour dies:
// flows that others started count from their first data on.
func TestTakenOverFlowsCount(t *testing.T) {
	is := is.New(t)
	a := newAdmission(rateOfTwo)
	a.Packet(start, flowOf(1), 0)
	is.Equal(a.InProgress(start), 0)
	a.Packet(start, flowOf(1), 1200)
	a.Packet(start, flowOf(2), 1200)
	is.Equal(a.Arrive(start, first(3, start)), Wait)
	a.Tick(start+forgetAfter+time.Millisecond, 0)
	is.Equal(a.Status(start).Quiet+a.InProgress(start), 0)
}

// Guards against a backlog that makes everybody late: those that can make their goal start
// before those that can't any more, and the oldest of each first.
func TestOrderOfWaitingFlows(t *testing.T) {
	is := is.New(t)
	a := newAdmission(WindowBytes)
	a.Arrive(start, first(1, start))
	for port, age := range []time.Duration{300, 900, 100, 1000} {
		is.Equal(a.Arrive(start, first(uint16(2+port), start-age*time.Millisecond)), Wait)
	}
	var order []uint16
	for {
		now := start + time.Duration(len(order)+1)*openWithin
		x, ok := a.Next(now)
		if !ok {
			break
		}
		order = append(order, x.Flow.Client.Port)
	}
	is.Equal(order, []uint16{2, 4, 5, 3})
}

// Guards against callers that learn at the end of their attempt what was clear at its start:
// a flow that can't be started in time is rejected at once, or as soon as that is known.
func TestFlowThatCannotStartInTimeIsRejected(t *testing.T) {
	is := is.New(t)
	a := newAdmission(WindowBytes)
	a.Arrive(start, first(1, start))
	now := start
	for ; now < start+900*time.Millisecond; now += 50 * time.Millisecond {
		a.Packet(now, flowOf(1), 1200)
	}
	a.Packet(now, flowOf(1), 1200)
	a.End(now, flowOf(1)) // flows take 900 ms
	a.Arrive(now, first(2, now))
	is.Equal(a.Arrive(now, first(3, now)), Wait)
	is.Equal(a.Arrive(now, first(4, now)), Reject)
	is.Equal(len(a.Expired(now+time.Second)), 0)
	expired := a.Expired(now + packet.HandshakeTimeout - answerMargin + time.Millisecond)
	is.Equal(len(expired), 1)
	is.Equal(expired[0].Flow, flowOf(3))
}

// Guards against a table of flows that is full of ended ones: what starts then is counted all
// the same, and the others wait.
func TestFullTableKeepsLimit(t *testing.T) {
	is := is.New(t)
	a := newAdmission(rateOfTwo)
	for port := range uint16(maxInProgress) {
		a.start(start, flowOf(port))
		a.End(start, flowOf(port))
	}
	started := 0
	for port := range uint16(10) {
		if a.Arrive(start, first(10_000+port, start)) == Start {
			started++
		}
	}
	is.Equal(started, a.Limit())
	is.Equal(a.InProgress(start), a.Limit())
}

// Guards against data that nobody waits for any more, and against a queue longer than the link
// carries before its clients repeat what is queued.
func TestQueueIsBoundedInTime(t *testing.T) {
	is := is.New(t)
	var q Queue
	q.SetRate(rateOfTwo)
	raw := make([]byte, 1234)
	queued := uint32(0)
	for q.Add(start, packet.Packet{Seq: queued, Data: 1200}, raw) {
		queued++
	}
	is.Equal(int(queued), int(rateOfTwo*staleAfter.Seconds())/len(raw))
	is.True(q.Add(start+retransmitAfter, packet.Packet{Seq: 1, Data: 1200}, raw)) // repeated
	q.RemoveStale(start + staleAfter + time.Millisecond)
	is.Equal(q.Len(), 1)
	is.Equal(q.bytes, len(raw))
}

// Guards against callers rejected for what isn't the link's: the time in which a target works,
// or a flow is silent, isn't time on the link.
func TestMeanIsTimeOnLink(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		data []time.Duration
		end  time.Duration
		mean time.Duration
	}{{[]time.Duration{10 * ms, 90 * ms}, 90 * ms, 90 * ms}, {[]time.Duration{10 * ms, 90 * ms}, 900 * ms, 90 * ms}, {[]time.Duration{10 * ms, 800 * ms, 840 * ms}, 850 * ms, 40 * ms}, {nil, 900 * ms, 0}} {
		is := is.New(t)
		a := newAdmission(rateOfTwo)
		a.Arrive(start, first(1, start))
		for _, at := range c.data {
			a.Packet(start+at, flowOf(1), 1200)
		}
		a.End(start+c.end, flowOf(1))
		is.Equal(a.Status(start).Mean, c.mean)
	}
}

// Guards against flows that wait for a link on which no queue was ever seen, and against a full
// link while its rate is still being learned.
func TestUnknownRateBoundsOnlyUnderDelay(t *testing.T) {
	is := is.New(t)
	a := newAdmission(0)
	for port := range uint16(500) {
		is.Equal(a.Arrive(start, first(port, start)), Start)
	}
	a.Tick(start, lateDelay)
	a.SetRate(0)
	is.Equal(a.Arrive(start, first(501, start)), Wait)
}

// Guards against retransmits that only the balancer's queue causes: flows take turns, each
// in the order of its data, and copies of queued packets are dropped.
func TestQueue(t *testing.T) {
	is := is.New(t)
	var q Queue
	add := func(port uint16, seq uint32) {
		f := flowOf(port)
		is.True(q.Add(start, packet.Packet{Src: f.Client, Dst: f.Service, Seq: seq, Data: 1}, []byte{byte(port), byte(seq)}))
	}
	for _, seq := range []uint32{2, 1, 0xffffffff} {
		add(1, seq)
	}
	add(2, 8)
	add(2, 7)
	add(1, 3)
	add(1, 2)
	var order []uint32
	for q.Len() > 0 {
		is.Equal(q.First().Raw[1], byte(q.First().Packet.Seq))
		order = append(order, q.First().Packet.Seq)
		q.Remove()
	}
	is.Equal(order, []uint32{0xffffffff, 1, 2, 7, 8, 3})
}
