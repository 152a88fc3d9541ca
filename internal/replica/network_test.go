package replica

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

var errCut = errors.New("network: cut")

// way is one direction between two VMs: the dialler's name and the address.
type way struct{ from, to string }

// network lets replicas reach each other unless a test cuts them apart.
type network struct {
	mu    sync.Mutex
	cut   map[way]bool
	conns map[way][]*testConn
}

func newNetwork() *network {
	return &network{cut: map[way]bool{}, conns: map[way][]*testConn{}}
}

// testConn can fall silent: writes succeed and nothing arrives, as over a
// half-open connection.
type testConn struct {
	net.Conn
	mute atomic.Bool
}

func (c *testConn) Write(b []byte) (int, error) {
	if c.mute.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (n *network) dial(ctx context.Context, w way) (net.Conn, error) {
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

// ways returns both directions between two VMs.
func ways(a, b *member) []way {
	return []way{{a.name, b.address}, {b.name, a.address}}
}

// part cuts two VMs off from each other, or joins them again.
func (n *network) part(a, b *member, apart bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range ways(a, b) {
		n.cut[w] = apart
		for _, c := range n.conns[w] {
			if apart {
				_ = c.Close()
			}
		}
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
func (n *network) silence(a, b *member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range ways(a, b) {
		for _, c := range n.conns[w] {
			c.mute.Store(true)
		}
	}
}
