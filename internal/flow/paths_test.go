package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	callerA   = netip.MustParseAddrPort("192.0.2.1:1000")
	balancerA = netip.MustParseAddrPort("192.0.2.201:9")
	balancerB = netip.MustParseAddrPort("192.0.2.202:9")
	balancerC = netip.MustParseAddrPort("192.0.2.203:9")
)

// Answers go by the balancer of the flow's last packet. Once that is silent they
// take turns through the balancers of the table that other flows were heard by;
// the dead one gets none.
func TestAnswersLeaveASilentBalancer(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	p.setLive([]netip.AddrPort{balancerA, balancerB, balancerC}, 1)
	way := p.arrived(start, callerA, balancerA, 1)
	by, replaced := p.back(start.Add(balancerSilence-time.Millisecond), way)
	is.Equal(by.address, balancerA)
	is.True(!replaced)

	later := start.Add(peerFresh + time.Second)
	p.arrived(later, netip.MustParseAddrPort("192.0.2.9:1"), balancerB, 1)
	p.arrived(later, netip.MustParseAddrPort("192.0.2.9:2"), balancerC, 1)
	seen := make(map[netip.AddrPort]bool)
	for range 10 {
		by, _ = p.back(later, way)
		seen[by.address] = true
	}
	is.Equal(seen, map[netip.AddrPort]bool{balancerB: true, balancerC: true})

	// One packet of the flow settles it again.
	p.arrived(later, callerA, balancerC, 1)
	by, replaced = p.back(later, way)
	is.Equal(by.address, balancerC)
	is.True(!replaced)
}

// A balancer that isn't in this agent's table yet still gets the answers of the
// flows that come by it; with no table at all it is the only way there is.
func TestAnswersGoByABalancerTheTableLacks(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	way := p.arrived(start, callerA, balancerA, 3)
	by, _ := p.back(start.Add(time.Hour), way)
	is.Equal(by.address, balancerA)
	is.Equal(by.generation.Load(), uint32(3)) // signed as that balancer signs
}

// Paths of callers that are gone are dropped, and a flood of made-up callers is
// bounded.
func TestPathsAreBounded(t *testing.T) {
	is := is.New(t)
	p := newPaths()
	p.setLive([]netip.AddrPort{balancerB}, 1)
	for i := range pathLimit + 10 {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 16), byte(i >> 8)}), uint16(i))
		p.arrived(start, caller, balancerA, 1)
	}
	is.Equal(p.count(), pathLimit)
	is.Equal(p.arrived(start, callerA, balancerA, 1), nil)
	p.sweep(start.Add(pathIdle + time.Second))
	is.Equal(p.count(), 0)
	is.Equal(len(p.peers), 1) // the table's
	is.True(p.arrived(start, callerA, balancerA, 1) != nil)
}
