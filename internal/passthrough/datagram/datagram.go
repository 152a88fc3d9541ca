// Package datagram receives, sends and batches the datagrams of pass-through flows.
package datagram

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/metrics"
	"bergamotstall/internal/passthrough/traffic"
)

const (
	// readSize is larger than any datagram that nodes or the platform send.
	readSize = 2048
	// readErrorPause keeps a socket that fails repeatedly from using a whole processor.
	readErrorPause = 10 * time.Millisecond
	// maxBatchEntries bounds the entries of one datagram: 75 answers of 17 bytes stay
	// under 1,300 bytes, which every link carries without fragmentation.
	maxBatchEntries = 75
)

// Socket sends and receives datagrams, and counts them.
type Socket struct {
	conn    *net.UDPConn
	log     logrus.FieldLogger
	metrics *metrics.Set
	meter   *traffic.Meter
	kind    func(raw []byte) int
}

// SetMeter has the meter count datagrams by the kind that the given function returns.
func (s *Socket) SetMeter(meter *traffic.Meter, kind func(raw []byte) int) {
	s.meter, s.kind = meter, kind
}

// Listen opens a UDP socket at an IPv4 address.
func Listen(at netip.AddrPort, log logrus.FieldLogger, m *metrics.Set) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrap(err, "datagram: listen")
	}
	return &Socket{conn: conn, log: log, metrics: m}, nil
}

// Close closes the socket, which makes Read return.
func (s *Socket) Close() error { return s.conn.Close() }

// Read calls handle for each datagram until ctx is done or the socket is closed. The
// bytes are valid only during the call. Datagrams for which handle returns an error are
// counted.
func (s *Socket) Read(ctx context.Context, handle func(from netip.AddrPort, raw []byte) error) {
	buf := make([]byte, readSize)
	for ctx.Err() == nil {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			s.dispatch(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n], handle)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			// Usually an ICMP error: an earlier datagram was sent to a port without a listener.
			s.log.WithError(err).Debug("datagram: reading from the socket failed; retrying after a pause")
			time.Sleep(readErrorPause)
		}
	}
}

func (s *Socket) dispatch(from netip.AddrPort, raw []byte, handle func(netip.AddrPort, []byte) error) {
	if s.meter != nil {
		s.meter.In(s.kind(raw), len(raw))
	}
	if err := handle(from, raw); err != nil {
		s.metrics.Counter("pass_unreadable").Add(1)
		s.log.WithError(err).WithField("from", from.String()).Debug("datagram: dropped a datagram that can't be handled")
	}
}

// Send sends one datagram. Failures are counted and otherwise treated like packet loss.
func (s *Socket) Send(raw []byte, to netip.AddrPort) {
	if _, err := s.conn.WriteToUDPAddrPort(raw, to); err != nil {
		s.metrics.Counter("pass_send_failed").Add(1)
		return
	}
	if s.meter != nil {
		s.meter.Out(s.kind(raw), len(raw))
	}
}

// Batches collects entries for each destination. It isn't safe for concurrent use.
type Batches[T any] struct {
	byPeer  map[netip.AddrPort][]T
	pending bool
}

// Add appends an entry to a destination's batch. If flush isn't nil, the first entry
// schedules a call of flush after the delay, on its own goroutine.
func (b *Batches[T]) Add(to netip.AddrPort, x T, delay time.Duration, flush func()) {
	if b.byPeer == nil {
		b.byPeer = map[netip.AddrPort][]T{}
	}
	b.byPeer[to] = append(b.byPeer[to], x)
	if !b.pending && flush != nil {
		b.pending = true
		time.AfterFunc(delay, flush)
	}
}

// Flush sends all entries, at most maxBatchEntries at a time.
func (b *Batches[T]) Flush(send func(to netip.AddrPort, xs []T)) {
	for to, xs := range b.byPeer {
		for len(xs) > 0 {
			n := min(len(xs), maxBatchEntries)
			send(to, xs[:n])
			xs = xs[n:]
		}
		delete(b.byPeer, to)
	}
	b.pending = false
}
