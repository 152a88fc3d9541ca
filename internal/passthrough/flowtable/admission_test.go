package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

var policy = DefaultPolicy()

// busyTarget gives the target as many requests as it has room for.
func busyTarget(r *rig) {
	for port := uint16(100); port < uint16(100+r.engine.room()); port++ {
		r.open(port, 1000)
		r.ask(port, 0)
	}
	r.toTarget = nil
}

// A target has no room. A caller's first packet waits and goes on when a request
// ends; the caller isn't turned away and spends none of its tries.
func TestFirstPacketWaitsForRoom(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	busyTarget(r)
	r.syn(9)
	r.syn(9) // its copy
	is.Equal(len(r.toTarget), 0)
	is.Equal(r.report().Running, uint32(r.engine.room()+1)) // balancers see who waits
	r.answered(100, 0)
	is.Equal(r.toTarget, []uint16{9})
	is.Equal(len(r.refused), 0)
}

// A backlog stands after an outage. The newest caller goes first, since it can
// still be answered in time; the callers before it are late in any order.
func TestNewestGoesFirst(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	busyTarget(r)
	for port := uint16(1); port <= 3; port++ {
		r.syn(port)
		r.pass(20 * time.Millisecond)
	}
	r.answered(100, 0)
	r.answered(101, 0)
	is.Equal(r.toTarget, []uint16{3, 2})
}

// Of two routes the more urgent one's callers go first.
func TestUrgentRouteGoesFirst(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	urgent := route.Route{Name: "u", IP: service.IP, Port: 80, Priority: 1, TimeoutMS: 1, Backends: []route.Backend{{Service: desk, Weight: 1}}}
	other := urgent
	other.Name, other.Port, other.Priority = "o", service.Port, 2
	r.engine.SetTable(route.NewTable(&route.Definition{Version: 1, Routes: []route.Route{urgent, other}}))
	busyTarget(r)
	p := packet.Packet{Src: flowOf(8).Client, Dst: packet.Endpoint{IP: service.IP, Port: 80}, Flags: packet.SYN}
	r.engine.FromBalancer(r.now, balancer, peer.Header{Service: route.IDOf(desk)}, p, rawOf(8))
	r.syn(9) // newer, less urgent
	r.answered(100, 0)
	is.Equal(r.toTarget, []uint16{8})
}

// A caller that waited 0.8 s is told that nothing ran, while it can still try
// again; it doesn't wait until its own deadline.
func TestVainWaitIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	busyTarget(r)
	r.engine.pace.service = time.Second // the target is slow, and doesn't hang
	r.syn(9)
	r.pass(policy.MaxWait - 50*time.Millisecond)
	is.Equal(len(r.refused), 0)
	r.announce("i-1", 0, 2)
	r.pass(100 * time.Millisecond)
	is.Equal(r.refused, []refusal{{9, peer.Busy}})
}

// The target begins to leave while callers wait for it: they go to another
// target at once.
func TestWaitingCallersLeaveADrainingTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	busyTarget(r)
	r.syn(9)
	r.say("i-1", 0, 2, true)
	r.pass(20 * time.Millisecond)
	is.Equal(r.refused, []refusal{{9, peer.Draining}})
}

// A caller opened a flow and sends nothing. Its place is given to another after
// a moment; otherwise idle flows would keep a free target closed.
func TestIdleFlowGivesItsPlaceUp(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for port := uint16(100); port < uint16(100+r.engine.room()); port++ {
		r.open(port, 1000)
	}
	r.syn(9)
	is.Equal(len(r.toTarget), 2*r.engine.room())
	r.pass(policy.ExpectFor + 20*time.Millisecond)
	is.Equal(r.toTarget[len(r.toTarget)-1], uint16(9))
}

// Guards against slots that stand idle for callers who have given up: where callers send
// their first request within a few milliseconds, nobody is waited for much longer.
func TestPlaceOfACallerThatHasGoneIsGivenUpSoon(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	const handshake = 4 * time.Millisecond
	for port := uint16(1); port <= 20; port++ {
		r.syn(port)
		r.fromTarget(port, packet.SYN|packet.ACK, 1000, 11, 0)
		r.now += handshake
		r.ask(port, 1)
		r.answered(port, 1)
	}
	busy := uint16(r.engine.room())
	for port := 100; port < 100+int(busy); port++ {
		r.syn(uint16(port))
		r.fromTarget(uint16(port), packet.SYN|packet.ACK, 1000, 11, 0)
	}
	r.syn(99)
	next := r.engine.NextTick(time.Second)
	is.True(next <= 4*handshake) // the agent doesn't sleep meanwhile
	r.now += next
	r.engine.Tick(r.now)
	is.Equal(r.toTarget[len(r.toTarget)-1], uint16(99))
	is.Equal(r.engine.NextTick(time.Second), time.Second) // nobody waits any more
}

// An outage left 200 callers waiting; 20 more come each second. The target runs
// 4 requests of 50 ms, 80 a second. Played for two seconds, most of those that
// come in that time are answered within 200 ms, while in order of arrival each
// would wait for the backlog, 2.5 s.
func TestBacklogDoesNotMakeNewCallersLate(t *testing.T) {
	r := newRig(t)
	begun := map[uint16]time.Duration{}
	opened := map[uint16]time.Duration{}
	running := map[uint16]time.Duration{}
	port := uint16(1)
	arrive := func() {
		begun[port] = r.now
		r.syn(port)
		port++
	}
	for range 200 {
		arrive()
	}
	backlog := port
	announced := uint64(2)
	for step := range 200 {
		if step%5 == 0 {
			arrive()
		}
		seen := r.toTarget
		r.toTarget = nil
		for _, p := range seen { // the target answers the handshake, the caller asks
			if _, ok := opened[p]; !ok {
				opened[p] = r.now
				r.fromTarget(p, packet.SYN|packet.ACK, 1000, 11, 0)
				r.ask(p, 0)
				running[p] = r.now
			}
		}
		done := 0
		for p, since := range running {
			if done < 4 && r.now-since >= 50*time.Millisecond {
				r.answered(p, 0)
				delete(running, p)
				done++
			}
		}
		r.pass(10 * time.Millisecond)
		if step%50 == 0 {
			r.announce("i-1", 0, announced)
			announced++
		}
	}
	fresh, quick := 0, 0
	for p := backlog; p < port; p++ {
		fresh++
		if at, ok := opened[p]; ok && at-begun[p] < 150*time.Millisecond {
			quick++
		}
	}
	if quick*10 < fresh*8 {
		t.Errorf("%d of %d new callers reached the target in time", quick, fresh)
	}
}

// After an outage a balancer hands on first packets that it held for a second,
// and a caller sends the second copy of its own. They are older than they look
// and go after one that was sent just now.
func TestHeldAndCopiedFirstPacketsAreOld(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	busyTarget(r)
	first := func(port uint16, copies uint32, held uint16) {
		p := packet.Packet{Src: flowOf(port).Client, Dst: service, Flags: packet.SYN, Ack: copies}
		r.engine.FromBalancer(r.now, balancer, peer.Header{Service: route.IDOf(desk), Age: held}, p, rawOf(port))
	}
	first(1, 0, 0)
	first(2, 2, 0)
	first(3, 0, 700)
	for port := uint16(100); port < 103; port++ {
		r.answered(port, 0)
	}
	is.Equal(r.toTarget, []uint16{1, 2, 3})
	first(4, 0, 900) // nobody waits for it any more
	r.pass(20 * time.Millisecond)
	is.Equal(r.refused[len(r.refused)-1], refusal{4, peer.Busy})
}

// A caller's first packet came with 300 ms behind it and waited here for 200 ms
// more when the target began to leave. It is handed back with its whole age, so
// that the next target doesn't take it for new.
func TestRefusalTellsTheAge(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	busyTarget(r)
	p := packet.Packet{Src: flowOf(9).Client, Dst: service, Flags: packet.SYN}
	r.engine.FromBalancer(r.now, balancer, peer.Header{Service: route.IDOf(desk), Age: 300}, p, rawOf(9))
	r.pass(200 * time.Millisecond)
	r.say("i-1", 0, 2, true)
	r.pass(10 * time.Millisecond)
	is.Equal(r.refused, []refusal{{9, peer.Draining}})
	is.Equal(r.refusedAge, 510*time.Millisecond)
}
