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

// fillWithFlows gives the target as many requests as it has room for.
func fillWithFlows(r *rig) {
	for port := uint16(100); port < uint16(100+r.engine.capacity()); port++ {
		r.open(port, 1000)
		r.sendRequest(port, 0)
	}
	r.toTarget = nil
}

// Guards against refusing a caller while the target has no room: its first packet must be
// held and sent on when a request ends, so that the caller spends none of its attempts.
func TestFirstPacketWaitsForRoom(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	fillWithFlows(r)
	r.syn(9)
	r.syn(9) // retransmission
	is.Equal(len(r.toTarget), 0)
	is.Equal(r.report().Running, uint32(r.engine.capacity()+1)) // balancers see the held packet
	r.sendAnswer(100, 0)
	is.Equal(r.toTarget, []uint16{9})
	is.Equal(len(r.refused), 0)
}

// Guards against first packets held for one service and admitted to a target of another.
func TestHeldFirstPacketIsNotAdmittedByAnotherService(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.engine.cfg.Service = "" // a VM whose targets may be of any service
	fillWithFlows(r)
	r.now += time.Second
	r.announce("i-1", 0, 2)
	r.syn(9)
	r.engine.HandleAnnouncement(r.now, Announcement{ID: "i-2", Service: "mapdocs", Address: address, Born: startTime.UnixMilli() + 1000, Number: 1, Slots: 4})
	r.fromTarget(7, packet.ACK, 1, 1, 0) // the new target has room
	is.Equal(len(r.toTarget), 0)
	is.Equal(r.refused, []refusal{{9, peer.WrongService}})
}

// Guards against late answers after an outage, when many first packets are held. The
// newest caller must go first: it can still be answered in time, the older ones are late
// in any order.
func TestNewestIsAdmittedFirst(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	fillWithFlows(r)
	for port := uint16(1); port <= 3; port++ {
		r.syn(port)
		r.advance(20 * time.Millisecond)
	}
	r.sendAnswer(100, 0)
	r.sendAnswer(101, 0)
	is.Equal(r.toTarget, []uint16{3, 2})
}

// Callers of the more urgent route go first, even if a less urgent one is newer.
func TestUrgentRouteIsAdmittedFirst(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	urgent := route.Route{Name: "u", IP: service.IP, Port: 80, Priority: 1, TimeoutMS: 1, Backends: []route.Backend{{Service: serviceName, Weight: 1}}}
	other := urgent
	other.Name, other.Port, other.Priority = "o", service.Port, 2
	r.engine.SetTable(route.NewTable(&route.Definition{Version: 1, Routes: []route.Route{urgent, other}}))
	fillWithFlows(r)
	p := packet.Packet{Src: flowOf(8).Client, Dst: packet.Endpoint{IP: service.IP, Port: 80}, Flags: packet.SYN}
	r.engine.FromBalancer(r.now, balancer, peer.Header{Service: route.IDOf(serviceName)}, p, rawOf(8))
	r.syn(9) // newer, less urgent
	r.sendAnswer(100, 0)
	is.Equal(r.toTarget, []uint16{8})
}

// A caller whose first packet was held for 0.8 s must be told that nothing ran, while it
// can still try again, instead of waiting until its own deadline.
func TestFirstPacketHeldTooLongIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	fillWithFlows(r)
	r.engine.latencies.service = time.Second // the target is slow, but requests don't hang
	r.syn(9)
	r.advance(policy.MaxWait - 50*time.Millisecond)
	is.Equal(len(r.refused), 0)
	r.announce("i-1", 0, 2)
	r.advance(100 * time.Millisecond)
	is.Equal(r.refused, []refusal{{9, peer.Busy}})
}

// The target begins to drain while first packets are held for it: they must be returned
// at once, so that they go to another target.
func TestDrainingTargetReturnsHeldFirstPackets(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	fillWithFlows(r)
	r.syn(9)
	r.announceState("i-1", 0, 2, true)
	r.advance(20 * time.Millisecond)
	is.Equal(r.refused, []refusal{{9, peer.Draining}})
}

// Guards against idle flows that keep a free target closed. A caller that opens a flow
// and sends nothing must, after a short time, release the slot that is kept free for its
// first request.
func TestIdleFlowReleasesItsReservedSlot(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for port := uint16(100); port < uint16(100+r.engine.capacity()); port++ {
		r.open(port, 1000)
	}
	r.syn(9)
	is.Equal(len(r.toTarget), 2*r.engine.capacity())
	r.advance(policy.ExpectFor + 20*time.Millisecond)
	is.Equal(r.toTarget[len(r.toTarget)-1], uint16(9))
}

// Guards against slots that stay idle for callers that have given up: where callers send
// their first request within a few milliseconds, it must not be expected for much longer.
func TestSlotReservedForAbsentCallerIsFreedSoon(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	const handshake = 4 * time.Millisecond
	for port := uint16(1); port <= 20; port++ {
		r.syn(port)
		r.fromTarget(port, packet.SYN|packet.ACK, 1000, 11, 0)
		r.now += handshake
		r.sendRequest(port, 1)
		r.sendAnswer(port, 1)
	}
	busy := uint16(r.engine.capacity())
	for port := 100; port < 100+int(busy); port++ {
		r.syn(uint16(port))
		r.fromTarget(uint16(port), packet.SYN|packet.ACK, 1000, 11, 0)
	}
	r.syn(99)
	next := r.engine.NextTick(time.Second)
	is.True(next <= 4*handshake) // the agent must be called in time
	r.now += next
	r.engine.Tick(r.now)
	is.Equal(r.toTarget[len(r.toTarget)-1], uint16(99))
	is.Equal(r.engine.NextTick(time.Second), time.Second) // nothing is held
}

// After an outage 200 first packets are held and 20 more arrive each second; the target
// runs four requests of 50 ms at once, 80 a second. Most new callers must reach the
// target within 150 ms. In order of arrival each would wait for the backlog, 2.5 s.
func TestBacklogDoesNotMakeNewCallersLate(t *testing.T) {
	r := newRig(t)
	arrivedAt := map[uint16]time.Duration{}
	opened := map[uint16]time.Duration{}
	running := map[uint16]time.Duration{}
	port := uint16(1)
	arrive := func() {
		arrivedAt[port] = r.now
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
		for _, p := range seen { // the target answers the handshake, and the caller sends its request
			if _, ok := opened[p]; !ok {
				opened[p] = r.now
				r.fromTarget(p, packet.SYN|packet.ACK, 1000, 11, 0)
				r.sendRequest(p, 0)
				running[p] = r.now
			}
		}
		done := 0
		for p, since := range running {
			if done < 4 && r.now-since >= 50*time.Millisecond {
				r.sendAnswer(p, 0)
				delete(running, p)
				done++
			}
		}
		r.advance(10 * time.Millisecond)
		if step%50 == 0 {
			r.announce("i-1", 0, announced)
			announced++
		}
	}
	newCallers, inTime := 0, 0
	for p := backlog; p < port; p++ {
		newCallers++
		if at, ok := opened[p]; ok && at-arrivedAt[p] < 150*time.Millisecond {
			inTime++
		}
	}
	if inTime*10 < newCallers*8 {
		t.Errorf("%d of %d new callers reached the target in time", inTime, newCallers)
	}
}

// After an outage a balancer delivers first packets that it held for a second, and a
// caller retransmits its own. They are older than their arrival says, and must be
// admitted after a packet that was just sent.
func TestAgeOfHeldAndRetransmittedFirstPackets(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	fillWithFlows(r)
	first := func(port uint16, copies uint32, held uint16) {
		p := packet.Packet{Src: flowOf(port).Client, Dst: service, Flags: packet.SYN, Ack: copies}
		r.engine.FromBalancer(r.now, balancer, peer.Header{Service: route.IDOf(serviceName), Age: held}, p, rawOf(port))
	}
	first(1, 0, 0)
	first(2, 2, 0)
	first(3, 0, 700)
	for port := uint16(100); port < 103; port++ {
		r.sendAnswer(port, 0)
	}
	is.Equal(r.toTarget, []uint16{1, 2, 3})
	first(4, 0, 900) // its caller has given up
	r.advance(20 * time.Millisecond)
	is.Equal(r.refused[len(r.refused)-1], refusal{4, peer.Busy})
}

// A first packet arrives with an age of 300 ms and is held for 200 ms more until the
// target drains. It must be returned with its whole age, or the next target takes it for
// new.
func TestRefusalCarriesTheAge(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	fillWithFlows(r)
	p := packet.Packet{Src: flowOf(9).Client, Dst: service, Flags: packet.SYN}
	r.engine.FromBalancer(r.now, balancer, peer.Header{Service: route.IDOf(serviceName), Age: 300}, p, rawOf(9))
	r.advance(200 * time.Millisecond)
	r.announceState("i-1", 0, 2, true)
	r.advance(10 * time.Millisecond)
	is.Equal(r.refused, []refusal{{9, peer.Draining}})
	is.Equal(r.refusedAge, 510*time.Millisecond)
}
