package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/monotonic/clocktest"
)

var (
	callerA   = netip.MustParseAddrPort("192.0.2.1:1000")
	balancerA = netip.MustParseAddrPort("192.0.2.201:9")
	balancerB = netip.MustParseAddrPort("192.0.2.202:9")
	balancerC = netip.MustParseAddrPort("192.0.2.203:9")
)

// Return packets use the balancer that delivered the flow's last packet. Once it is
// silent they alternate between the table's balancers that recently delivered packets of
// other flows; a dead one must get none.
func TestReturnPacketsLeaveASilentBalancer(t *testing.T) {
	is := is.New(t)
	p := newPathTable()
	p.setTableBalancers([]netip.AddrPort{balancerA, balancerB, balancerC}, 1)
	path := p.recordPacket(start, callerA, balancerA, 1)
	peer, replaced := p.returnBalancer(start.Add(balancerSilenceTimeout-time.Millisecond), path)
	is.Equal(peer.address, balancerA)
	is.True(!replaced)

	later := start.Add(balancerHeardRecently + time.Second)
	p.recordPacket(later, netip.MustParseAddrPort("192.0.2.9:1"), balancerB, 1)
	p.recordPacket(later, netip.MustParseAddrPort("192.0.2.9:2"), balancerC, 1)
	seen := make(map[netip.AddrPort]bool)
	for range 10 {
		peer, _ = p.returnBalancer(later, path)
		seen[peer.address] = true
	}
	is.Equal(seen, map[netip.AddrPort]bool{balancerB: true, balancerC: true})

	// One packet of the flow determines the balancer again.
	p.recordPacket(later, callerA, balancerC, 1)
	peer, replaced = p.returnBalancer(later, path)
	is.Equal(peer.address, balancerC)
	is.True(!replaced)
}

// A balancer that isn't in this agent's table yet still gets the return packets of the
// flows that it delivers. Without any table it is the only known return path.
func TestReturnPacketsUseABalancerTheTableLacks(t *testing.T) {
	is := is.New(t)
	p := newPathTable()
	path := p.recordPacket(start, callerA, balancerA, 3)
	peer, _ := p.returnBalancer(start.Add(time.Hour), path)
	is.Equal(peer.address, balancerA)
	is.Equal(peer.generation.Load(), uint32(3)) // signed with that balancer's generation
}

// Idle callers' paths must be removed, and a flood of spoofed caller addresses must not
// exceed pathLimit.
func TestPathsAreBounded(t *testing.T) {
	is := is.New(t)
	p := newPathTable()
	p.setTableBalancers([]netip.AddrPort{balancerB}, 1)
	for i := range pathLimit + 10 {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 16), byte(i >> 8)}), uint16(i))
		p.recordPacket(start, caller, balancerA, 1)
	}
	is.Equal(p.count(), pathLimit)
	is.Equal(p.recordPacket(start, callerA, balancerA, 1), nil)
	p.sweep(start.Add(pathIdleTimeout + time.Second))
	is.Equal(p.count(), 0)
	is.Equal(len(p.peers), 1) // only the table's balancer
	is.True(p.recordPacket(start, callerA, balancerA, 1) != nil)
}

// Guards against open flows that lose their way back, or go through a silent balancer,
// because the agent's clock was set.
func TestClockStepsDoNotMakePathsOld(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(by.String(), func(t *testing.T) {
			is := is.New(t)
			at := func(d time.Duration) time.Time { return clocktest.SetTimeOfDay(start.Add(d), by) }
			p := newPathTable()
			p.setTableBalancers([]netip.AddrPort{balancerB}, 1)
			path := p.recordPacket(start, callerA, balancerA, 1)
			peer, _ := p.returnBalancer(at(balancerSilenceTimeout/2), path)
			is.Equal(peer.address, balancerA)
			peer, _ = p.returnBalancer(at(2*balancerSilenceTimeout), path)
			is.Equal(peer.address, balancerB)
			p.sweep(at(time.Second))
			is.Equal(p.count(), 1)
			p.sweep(at(2 * pathIdleTimeout))
			is.Equal(p.count(), 0)
		})
	}
}

// Guards against flows that are closed after GOAWAY while their callers may still send
// requests, or never, because the agent's clock was set.
func TestClockStepsDoNotEndTheGraceOfUnusedFlows(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(by.String(), func(t *testing.T) {
			is := is.New(t)
			at := func(d time.Duration) time.Time { return clocktest.SetTimeOfDay(start.Add(d), by) }
			f := &servedFlow{}
			f.markIdle(start)
			is.True(!f.unused(start, at(goAwayGracePeriod/2)))
			is.True(f.unused(start, at(2*goAwayGracePeriod)))
		})
	}
}
