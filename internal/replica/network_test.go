package replica

import (
	"context"
	"net"

	"github.com/go-faster/errors"
)

var errCut = errors.New("network: cut")

// dial connects from a named VM to an address, through a wrapper that can fall
// silent without closing.
func (n *network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	if n.cut[[2]string{from, address}] {
		n.mu.Unlock()
		return nil, errCut
	}
	n.mu.Unlock()
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	way := [2]string{from, address}
	n.conns[way] = append(n.conns[way], raw)
	return &mutable{Conn: raw, net: n, way: way}, nil
}

// mutable drops what is written while its way is mute: a half-open connection,
// on which writes succeed and nothing arrives.
type mutable struct {
	net.Conn
	net  *network
	way  [2]string
	lost bool
}

func (c *mutable) Write(b []byte) (int, error) {
	c.net.mu.Lock()
	mute := c.net.mute[c.way]
	c.net.mu.Unlock()
	if mute || c.lost {
		c.lost = true // later bytes would be read as the middle of a frame
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// part cuts the ways between two VMs, both directions.
func (n *network) part(a, b *member, apart bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, way := range [][2]string{{a.name, b.address}, {b.name, a.address}} {
		n.cut[way] = apart
		if !apart {
			continue
		}
		for _, c := range n.conns[way] {
			_ = c.Close()
		}
		n.conns[way] = nil
	}
}

// isolate cuts a VM off from all others, or joins it again.
func (n *network) isolate(m *member, all []*member, apart bool) {
	for _, x := range all {
		if x != m {
			n.part(m, x, apart)
		}
	}
}

// silence makes the open connections between two VMs half-open. New ones work.
func (n *network) silence(a, b *member, mute bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, way := range [][2]string{{a.name, b.address}, {b.name, a.address}} {
		n.mute[way] = mute
	}
}
