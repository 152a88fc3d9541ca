package flow

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/steering"
)

// direct is the way back that leaves the balancers out.
type direct struct {
	address netip.AddrPort
	socket  atomic.Pointer[net.UDPConn]
}

// openDirect opens the service's address for answers, where the config asks for
// it. Where the VM doesn't hold the address, answers go on by the balancers, and
// the next table tries again.
func (e *Endpoint) openDirect(s *steering.Service) {
	if !e.config.Direct || s == nil || e.direct.address == s.Address {
		return
	}
	e.closeDirect()
	// Not shared with a balancer on the same VM: the kernel would deal this
	// socket a part of the callers' packets, and nobody reads them here.
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Address))
	if err != nil {
		e.counts.directFailed.Add(1)
		events.Log(e.config.Log, events.FlowDirectFailed, logrus.Fields{"address": s.Address, "error": err})
		return
	}
	e.direct.address = s.Address
	e.direct.socket.Store(c)
}

func (e *Endpoint) closeDirect() {
	if old := e.direct.socket.Swap(nil); old != nil {
		_ = old.Close()
	}
	e.direct.address = netip.AddrPort{}
}

// answerDirect sends a packet straight to its caller, and returns false where
// answers go by the balancers.
func (e *Endpoint) answerDirect(packet []byte, caller netip.AddrPort) bool {
	socket := e.direct.socket.Load()
	if socket == nil {
		return false
	}
	if _, err := socket.WriteToUDPAddrPort(packet, caller); err != nil {
		e.counts.sendFailed.Add(1)
		return false
	}
	e.counts.direct.Add(1)
	return true
}
