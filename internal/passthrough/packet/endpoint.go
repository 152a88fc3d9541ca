package packet

import "net/netip"

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/passthrough/packet/endpoint.go -o ../internal/passthrough/packet/endpoint_gen.go -tests=false -io=false

//msgp:tuple Endpoint

// Endpoint is one end of a flow: an IPv4 address and a port. It is a plain value of six
// bytes, so that flow tables hold no pointers for the garbage collector to follow.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf converts an IPv4 address and port to an endpoint.
func EndpointOf(a netip.AddrPort) Endpoint {
	return Endpoint{IP: a.Addr().As4(), Port: a.Port()}
}

// AddrPort converts the endpoint to the standard library's type.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// String returns "ip:port".
func (e Endpoint) String() string {
	return e.AddrPort().String()
}
