package flow

import (
	"net"
	"os"
	"sync"
	"time"
)

const (
	// packetQueueLimit bounds the packets queued for a QUIC transport. With packets of
	// 1,200 bytes it is 2.4 MB, about one flow's window.
	packetQueueLimit = 2048
	// bufferSize is large enough for any packet that fits into an envelope, in bytes.
	bufferSize = 2048
)

// inbound is a caller's packet queued for a QUIC transport.
type inbound struct {
	data   []byte
	from   net.Addr
	buffer *[bufferSize]byte
}

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// packetConn is the net.PacketConn of one QUIC transport. It receives the packets that
// the endpoint delivers from its tunnel, and sends through the endpoint.
type packetConn struct {
	endpoint *Endpoint
	queue    chan inbound

	mu       sync.Mutex
	deadline time.Time
	// expired is closed once the read deadline is set to the past, by which a
	// transport stops its reader.
	expired chan struct{}
}

func newPacketConn(e *Endpoint) *packetConn {
	return &packetConn{endpoint: e, queue: make(chan inbound, packetQueueLimit), expired: make(chan struct{})}
}

// enqueue queues a copy of a packet. It returns false if the queue is full.
func (c *packetConn) enqueue(packet []byte, from net.Addr) bool {
	b := buffers.Get().(*[bufferSize]byte)
	n := copy(b[:], packet)
	select {
	case c.queue <- inbound{data: b[:n], from: from, buffer: b}:
		return true
	default:
		buffers.Put(b)
		return false
	}
}

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(out []byte) (int, net.Addr, error) {
	select {
	case in := <-c.queue:
		n := copy(out, in.data)
		buffers.Put(in.buffer)
		return n, in.from, nil
	case <-c.expired:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

// WriteTo implements net.PacketConn. A packet that can't be sent is lost, as on any
// network; QUIC retransmits its content.
func (c *packetConn) WriteTo(packet []byte, to net.Addr) (int, error) {
	if udp, ok := to.(*net.UDPAddr); ok {
		c.endpoint.send(packet, udp.AddrPort())
	}
	return len(packet), nil
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return c.endpoint.socket.LocalAddr() }

// Close implements net.PacketConn.
func (c *packetConn) Close() error { return c.SetReadDeadline(time.Now()) }

// SetReadDeadline implements net.PacketConn. Transports set a deadline in the past to
// stop their reader, and clear it afterwards.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() || t.After(time.Now()) || !c.deadline.IsZero() {
		return nil
	}
	c.deadline = t
	close(c.expired)
	return nil
}

// SetDeadline implements net.PacketConn.
func (c *packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn; writes don't block.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing. It exists because quic-go logs a warning without it; New
// sets the buffers of the tunnel socket.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, as SetReadBuffer.
func (c *packetConn) SetWriteBuffer(int) error { return nil }
