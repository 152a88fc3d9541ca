package replica

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

var errCut = errors.New("network: cut")

// direction is one direction between two VMs: the dialler's name and the address dialled.
type direction struct{ from, to string }

// network connects replicas, except where a test partitions them.
type network struct {
	mu    sync.Mutex
	cut   map[direction]bool
	conns map[direction][]*testConn
}

func newNetwork() *network {
	return &network{cut: map[direction]bool{}, conns: map[direction][]*testConn{}}
}

// testConn can be muted: writes succeed and nothing arrives, as on a half-open
// connection.
type testConn struct {
	net.Conn
	muted atomic.Bool
}

func (c *testConn) Write(b []byte) (int, error) {
	if c.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (n *network) dial(ctx context.Context, w direction) (net.Conn, error) {
	n.mu.Lock()
	apart := n.cut[w]
	n.mu.Unlock()
	if apart {
		return nil, errCut
	}
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", w.to)
	if err != nil {
		return nil, err
	}
	c := &testConn{Conn: raw}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[w] {
		_ = raw.Close()
		return nil, errCut
	}
	n.conns[w] = append(n.conns[w], c)
	return c, nil
}

// directions returns both directions between two VMs.
func directions(a, b *member) []direction {
	return []direction{{a.name, b.address}, {b.name, a.address}}
}

// setPartitioned cuts two VMs off from each other, or reconnects them.
func (n *network) setPartitioned(a, b *member, apart bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range directions(a, b) {
		n.cut[w] = apart
		for _, c := range n.conns[w] {
			if apart {
				_ = c.Close()
			}
		}
	}
}

// isolate cuts a VM off from all others, or reconnects it.
func (n *network) isolate(m *member, all []*member, apart bool) {
	for _, x := range all {
		if x != m {
			n.setPartitioned(m, x, apart)
		}
	}
}

// muteConns makes the open connections between two VMs half-open. New connections work.
func (n *network) muteConns(a, b *member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range directions(a, b) {
		for _, c := range n.conns[w] {
			c.muted.Store(true)
		}
	}
}
