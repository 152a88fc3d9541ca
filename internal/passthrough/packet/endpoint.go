package packet

import "net/netip"

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/passthrough/packet/endpoint.go -o ../internal/passthrough/packet/endpoint_gen.go -tests=false -io=false

//msgp:tuple Endpoint

// Endpoint is one end of a flow: an IPv4 address and a port. It is a plain
// value of six bytes, so that a table of flows holds no pointers.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf returns an IPv4 address and port as an endpoint.
func EndpointOf(a netip.AddrPort) Endpoint {
	return Endpoint{IP: a.Addr().As4(), Port: a.Port()}
}

// AddrPort returns the endpoint as the standard library has it.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// String returns "ip:port".
func (e Endpoint) String() string {
	return e.AddrPort().String()
}
