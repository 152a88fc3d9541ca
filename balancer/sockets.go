package balancer

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
	"golang.org/x/sys/unix"
)

const (
	// batchSize is the maximum number of packets in one system call.
	batchSize = 32
	// bufferSize is enough for the largest envelope with its packet, in bytes.
	bufferSize = 2048
	// socketBuffer is the size of the kernel's socket buffers, in bytes. They hold what
	// arrives while a worker isn't running.
	socketBuffer = 4 << 20
)

// ErrSocket is returned if an address can't be opened.
var ErrSocket = errors.New("balancer: can't open socket")

// batchConn reads and writes several datagrams in one system call.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// socket is one of several sockets with the same address.
type socket struct {
	*net.UDPConn
	batch batchConn
}

// openSockets opens several sockets on one address. The kernel distributes packets among
// them by a hash of the packets' addresses (SO_REUSEPORT).
func openSockets(address netip.AddrPort, count int) ([]*socket, error) {
	config := net.ListenConfig{Control: reusePort}
	var out []*socket
	for range count {
		c, err := config.ListenPacket(context.Background(), "udp", address.String())
		if err != nil {
			closeSockets(out)
			return nil, errors.Wrapf(ErrSocket, "%v: %v", address, err)
		}
		udp := c.(*net.UDPConn)
		_ = udp.SetReadBuffer(socketBuffer)
		_ = udp.SetWriteBuffer(socketBuffer)
		out = append(out, newSocket(udp, address))
		// If the port was 0, the other sockets use the port that the kernel assigned.
		address = unmap(udp.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return out, nil
}

func newSocket(udp *net.UDPConn, address netip.AddrPort) *socket {
	if address.Addr().Is4() {
		return &socket{UDPConn: udp, batch: ipv4.NewPacketConn(udp)}
	}
	return &socket{UDPConn: udp, batch: ipv6.NewPacketConn(udp)}
}

func closeSockets(all []*socket) {
	for _, s := range all {
		_ = s.Close()
	}
}

func reusePort(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failed)
}

// unmap converts an IPv4-mapped IPv6 address to IPv4, as tables have it.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// writeBatch collects datagrams for one write. Its memory is reused for each batch.
type writeBatch struct {
	messages []ipv4.Message
	buffers  [batchSize][]byte
	targets  [batchSize]net.UDPAddr
	ips      [batchSize][16]byte
	count    int
}

func newWriteBatch() *writeBatch {
	b := &writeBatch{messages: make([]ipv4.Message, batchSize)}
	for i := range b.messages {
		b.buffers[i] = make([]byte, 0, bufferSize)
		b.messages[i].Buffers = make([][]byte, 1)
		b.messages[i].Addr = &b.targets[i]
	}
	return b
}

// nextBuffer returns an empty buffer for the next datagram; pass it to add.
func (b *writeBatch) nextBuffer() []byte { return b.buffers[b.count][:0] }

// add appends a datagram, built in the buffer of nextBuffer, to the batch.
func (b *writeBatch) add(datagram []byte, to netip.AddrPort) {
	i := b.count
	b.buffers[i] = datagram
	b.messages[i].Buffers[0] = datagram
	b.targets[i].IP = b.copyIP(i, to.Addr())
	b.targets[i].Port = int(to.Port())
	b.count++
}

func (b *writeBatch) copyIP(i int, ip netip.Addr) net.IP {
	if ip.Is4() {
		raw := ip.As4()
		return b.ips[i][:copy(b.ips[i][:], raw[:])]
	}
	raw := ip.As16()
	return b.ips[i][:copy(b.ips[i][:], raw[:])]
}

// flush sends the batch and returns the number of datagrams that couldn't be sent.
func (b *writeBatch) flush(out *socket) (failed int) {
	remaining := b.messages[:b.count]
	b.count = 0
	for len(remaining) > 0 {
		n, err := out.batch.WriteBatch(remaining, 0)
		if err != nil {
			// The error is about the first unsent datagram; skip it.
			failed++
			n = max(n, 0) + 1
		}
		remaining = remaining[min(n, len(remaining)):]
	}
	return failed
}
