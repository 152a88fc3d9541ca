// Package datagram reads, sends and batches the datagrams of pass-through
// flows.
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
	// errorPause keeps a socket that fails again and again from taking the
	// whole processor.
	errorPause = 10 * time.Millisecond
	// batchSize bounds the entries of one datagram: 75 rulings of 17 bytes stay
	// under 1,300 bytes, which passes every link whole.
	batchSize = 75
)

// Socket sends and receives datagrams, and counts them.
type Socket struct {
	conn    *net.UDPConn
	log     logrus.FieldLogger
	metrics *metrics.Set
	meter   *traffic.Meter
	kind    func(raw []byte) int
}

// Count has datagrams counted by the kind that a function tells.
func (s *Socket) Count(meter *traffic.Meter, kind func(raw []byte) int) {
	s.meter, s.kind = meter, kind
}

// Listen opens a socket at an address.
func Listen(at netip.AddrPort, log logrus.FieldLogger, m *metrics.Set) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrap(err, "datagram: listen")
	}
	return &Socket{conn: conn, log: log, metrics: m}, nil
}

// Close closes the socket; Read returns.
func (s *Socket) Close() error { return s.conn.Close() }

// Read hands each datagram to take until ctx is done or the socket is closed.
// The bytes are valid during the call. What take refuses is counted.
func (s *Socket) Read(ctx context.Context, take func(from netip.AddrPort, raw []byte) error) {
	buf := make([]byte, readSize)
	for ctx.Err() == nil {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			s.hand(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n], take)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			// An earlier datagram met a port without a listener, as a rule.
			s.log.WithError(err).Debug("datagram: read")
			time.Sleep(errorPause)
		}
	}
}

func (s *Socket) hand(from netip.AddrPort, raw []byte, take func(netip.AddrPort, []byte) error) {
	if s.meter != nil {
		s.meter.In(s.kind(raw), len(raw))
	}
	if err := take(from, raw); err != nil {
		s.metrics.Counter("pass_unreadable").Add(1)
		s.log.WithError(err).WithField("from", from.String()).Debug("datagram: unreadable")
	}
}

// Send sends one datagram. One that can't be sent is lost like any other, and
// counted.
func (s *Socket) Send(raw []byte, to netip.AddrPort) {
	if _, err := s.conn.WriteToUDPAddrPort(raw, to); err != nil {
		s.metrics.Counter("pass_send_failed").Add(1)
		return
	}
	if s.meter != nil {
		s.meter.Out(s.kind(raw), len(raw))
	}
}

// Batches gathers entries for each peer. Its user guards it.
type Batches[T any] struct {
	byPeer  map[netip.AddrPort][]T
	pending bool
}

// Add puts an entry to a peer's batch. The first one has flush called after the
// pause, on a goroutine of its own, unless flush is nil.
func (b *Batches[T]) Add(to netip.AddrPort, x T, pause time.Duration, flush func()) {
	if b.byPeer == nil {
		b.byPeer = map[netip.AddrPort][]T{}
	}
	b.byPeer[to] = append(b.byPeer[to], x)
	if !b.pending && flush != nil {
		b.pending = true
		time.AfterFunc(pause, flush)
	}
}

// Flush hands out what was gathered, batchSize entries at a time.
func (b *Batches[T]) Flush(send func(to netip.AddrPort, xs []T)) {
	for to, xs := range b.byPeer {
		for len(xs) > 0 {
			n := min(len(xs), batchSize)
			send(to, xs[:n])
			xs = xs[n:]
		}
		delete(b.byPeer, to)
	}
	b.pending = false
}
