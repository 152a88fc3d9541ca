package flow

import (
	"net"
	"os"
	"sync"
	"time"
)

const (
	// portQueue bounds the packets that wait for a QUIC transport. At 1,200
	// bytes it is 2.4 MB at most, about what one flow's window holds.
	portQueue = 2048
	// bufferSize holds any packet that fits an envelope.
	bufferSize = 2048
)

// inbound is one caller's packet on its way to a QUIC transport.
type inbound struct {
	data  []byte
	from  net.Addr
	inUse *[bufferSize]byte
}

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// port is the packet connection of one QUIC transport. Packets come from the
// endpoint's tunnel after their verdict, answers go back through it.
type port struct {
	endpoint *Endpoint
	queue    chan inbound

	mu       sync.Mutex
	deadline time.Time
	// expired is closed once the read deadline is set to the past, which is how
	// a transport stops its reader.
	expired chan struct{}
}

func newPort(e *Endpoint) *port {
	return &port{endpoint: e, queue: make(chan inbound, portQueue), expired: make(chan struct{})}
}

// put queues a copy of a packet, and returns false where the queue is full.
func (p *port) put(packet []byte, from net.Addr) bool {
	b := buffers.Get().(*[bufferSize]byte)
	n := copy(b[:], packet)
	select {
	case p.queue <- inbound{data: b[:n], from: from, inUse: b}:
		return true
	default:
		buffers.Put(b)
		return false
	}
}

// ReadFrom implements net.PacketConn.
func (p *port) ReadFrom(out []byte) (int, net.Addr, error) {
	select {
	case in := <-p.queue:
		n := copy(out, in.data)
		buffers.Put(in.inUse)
		return n, in.from, nil
	case <-p.expired:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

// WriteTo implements net.PacketConn. A packet that can't be sent is lost, as on
// any network; QUIC sends its content again.
func (p *port) WriteTo(packet []byte, to net.Addr) (int, error) {
	if udp, ok := to.(*net.UDPAddr); ok {
		p.endpoint.send(packet, udp.AddrPort())
	}
	return len(packet), nil
}

// LocalAddr implements net.PacketConn.
func (p *port) LocalAddr() net.Addr { return p.endpoint.socket.LocalAddr() }

// Close implements net.PacketConn.
func (p *port) Close() error { return p.SetReadDeadline(time.Now()) }

// SetReadDeadline implements net.PacketConn. Transports use it only to stop
// their reader, or to clear it after that.
func (p *port) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.IsZero() || t.After(time.Now()) || !p.deadline.IsZero() {
		return nil
	}
	p.deadline = t
	close(p.expired)
	return nil
}

// SetDeadline implements net.PacketConn.
func (p *port) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn; writes don't block.
func (p *port) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer and SetWriteBuffer exist because quic-go warns without them;
// the tunnel's buffers are set where it is opened.
func (p *port) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, like SetReadBuffer.
func (p *port) SetWriteBuffer(int) error { return nil }
