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
	// batchSize is how many packets one system call moves at most.
	batchSize = 32
	// bufferSize holds any packet that fits an envelope, and its envelope.
	bufferSize = 2048
	// socketBuffer holds what arrives while a worker is not running.
	socketBuffer = 4 << 20
)

// ErrSocket is returned where an address can't be opened.
var ErrSocket = errors.New("balancer: can't open socket")

// batchConn reads and writes several datagrams in one system call.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// socket is one of the sockets that share an address.
type socket struct {
	*net.UDPConn
	batch batchConn
}

// openSockets opens several sockets on one address; the kernel deals packets to
// them by the hash of their addresses.
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
		// The rest share the port that the kernel chose, where it chose one.
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

// unmap gives an IPv4 address in its own form, as tables have it.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// outBatch gathers datagrams for one write. Its memory is used again for each
// batch.
type outBatch struct {
	messages []ipv4.Message
	buffers  [batchSize][]byte
	targets  [batchSize]net.UDPAddr
	ips      [batchSize][16]byte
	count    int
}

func newOutBatch() *outBatch {
	b := &outBatch{messages: make([]ipv4.Message, batchSize)}
	for i := range b.messages {
		b.buffers[i] = make([]byte, 0, bufferSize)
		b.messages[i].Buffers = make([][]byte, 1)
		b.messages[i].Addr = &b.targets[i]
	}
	return b
}

// next returns an empty buffer for the datagram that add then sends.
func (b *outBatch) next() []byte { return b.buffers[b.count][:0] }

// add puts a datagram, built in next's buffer, into the batch.
func (b *outBatch) add(datagram []byte, to netip.AddrPort) {
	i := b.count
	b.buffers[i] = datagram
	b.messages[i].Buffers[0] = datagram
	b.targets[i].IP = b.setIP(i, to.Addr())
	b.targets[i].Port = int(to.Port())
	b.count++
}

func (b *outBatch) setIP(i int, ip netip.Addr) net.IP {
	if ip.Is4() {
		raw := ip.As4()
		return b.ips[i][:copy(b.ips[i][:], raw[:])]
	}
	raw := ip.As16()
	return b.ips[i][:copy(b.ips[i][:], raw[:])]
}

// flush sends the batch and returns how many datagrams couldn't be sent.
func (b *outBatch) flush(by *socket) (failed int) {
	rest := b.messages[:b.count]
	b.count = 0
	for len(rest) > 0 {
		n, err := by.batch.WriteBatch(rest, 0)
		if err != nil {
			// The first of the rest is at fault; the others go on.
			failed++
			n = max(n, 0) + 1
		}
		rest = rest[min(n, len(rest)):]
	}
	return failed
}
