package flow

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/steering"
)

// directReturn is the socket for direct server return, which bypasses the balancers.
type directReturn struct {
	address netip.AddrPort
	socket  atomic.Pointer[net.UDPConn]
}

// openDirectReturn opens a socket on the service's address if the config enables
// direct return. If the VM doesn't hold the address, packets still return through
// the balancers, and the next table tries again.
func (e *Endpoint) openDirectReturn(s *steering.Service) {
	if !e.config.Direct || s == nil || e.direct.address == s.Address {
		return
	}
	e.closeDirectReturn()
	// The port isn't shared with a balancer on the same VM: the kernel would give this
	// socket a part of the callers' packets, which are never read here.
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Address))
	if err != nil {
		e.counters.directFailed.Add(1)
		events.Log(e.config.Log, events.FlowDirectFailed, logrus.Fields{"address": s.Address, "error": err})
		return
	}
	e.direct.address = s.Address
	e.direct.socket.Store(c)
}

func (e *Endpoint) closeDirectReturn() {
	if old := e.direct.socket.Swap(nil); old != nil {
		_ = old.Close()
	}
	e.direct.address = netip.AddrPort{}
}

// sendDirect sends a packet directly to its caller. It returns false if the packet
// must return through a balancer.
func (e *Endpoint) sendDirect(packet []byte, caller netip.AddrPort) bool {
	socket := e.direct.socket.Load()
	if socket == nil {
		return false
	}
	if _, err := socket.WriteToUDPAddrPort(packet, caller); err != nil {
		e.counters.sendFailed.Add(1)
		return false
	}
	e.counters.direct.Add(1)
	return true
}
