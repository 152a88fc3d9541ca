package distribution

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/table"
)

// textLimitBytes bounds names and addresses in an announcement.
const textLimitBytes = 256

// closeTimeout is how long Close waits for a stream to send its refusal.
const closeTimeout = time.Second

// leavingRetryDelay is how long subscribers don't retry a VM that stops, about the time of
// its restart. If it is the only VM, changes must reach them within nine seconds of its
// return.
const leavingRetryDelay = time.Second

// subscriber is the server's side of one stream.
type subscriber struct {
	server *Server
	conn   *framing.Conn
	role   Role
	view   view
	ctx    context.Context
	// wake wakes the writer when there is something to do.
	wake chan struct{}
	// skipDamping ends the damping delay of an announcement.
	skipDamping chan struct{}

	mu           sync.Mutex
	announcement Announcement
	announcing   bool
	number       table.AgentNumber
	numberSent   table.AgentNumber
	// held is the revision that the subscriber reported to hold, digest that of its table
	// when the stream began, inForce the revision that its data path uses.
	held      table.Revision
	digest    uint64
	inForce   table.Revision
	lastHeard time.Time
	// resync is set when the subscriber asked for a snapshot.
	resync bool
}

func (sub *subscriber) key() subscriberKey {
	return subscriberKey{role: sub.role, name: sub.currentAnnouncement().Name}
}

func (sub *subscriber) currentAnnouncement() Announcement {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return sub.announcement
}

func (sub *subscriber) status(now time.Time) Subscriber {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return Subscriber{
		Name:       sub.announcement.Name,
		Role:       sub.role,
		Service:    sub.announcement.Service,
		DataCentre: sub.announcement.DataCentre,
		Agent:      sub.number,
		Revision:   sub.inForce,
		Age:        now.Sub(sub.lastHeard),
	}
}

// deltaBase returns the revision on which deltas can build: the one that the subscriber
// holds, or 0 if its table can't be control's at that revision, for example because the
// subscriber came from another cluster.
func (sub *subscriber) deltaBase() table.Revision {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if !sub.server.publisher.digestMatches(sub.view, sub.held, sub.digest) {
		sub.server.counters.resyncs.Add(1)
		return 0
	}
	return sub.held
}

// wakeWriter wakes the writer without blocking. A running writer checks its work again.
func (sub *subscriber) wakeWriter() {
	select {
	case sub.wake <- struct{}{}:
	default:
	}
}

// serveStream serves one stream from its handshake to its end.
func (s *Server) serveStream(raw net.Conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer func() { _ = raw.Close() }()
	// Close must not wait for a peer that doesn't read.
	stop := context.AfterFunc(s.ctx, func() { time.AfterFunc(closeTimeout, func() { _ = raw.Close() }) })
	defer stop()
	sub, err := s.handshake(ctx, raw)
	<-s.handshakes
	if err != nil {
		s.counters.countEnd(err)
		events.Log(s.cfg.Log, events.SubscriberRefused, logrus.Fields{"peer": raw.RemoteAddr().String(), "error": err})
		return
	}
	s.add(sub)
	defer s.remove(sub)
	s.counters.accepted.Add(1)
	sub.commitAnnouncement(sub.currentAnnouncement())

	written := make(chan error, 1)
	go func() {
		err := sub.writeLoop()
		// Ends the reader if the peer can't be written to.
		_ = raw.Close()
		written <- err
	}()
	err = sub.readLoop()
	cancel()
	// Otherwise a writer that is blocked on a silent peer would delay the detection of the
	// lost stream by writeTimeout.
	_ = raw.Close()
	if werr := <-written; werr != nil {
		err = werr
	}
	s.silenceReporter.streamLost(sub.key(), sub.currentAnnouncement())
	s.counters.countEnd(err)
	events.Log(s.cfg.Log, events.SubscriberLost, logrus.Fields{"role": sub.role, "name": sub.currentAnnouncement().Name, "error": err})
}

// handshake does the TLS handshake and reads and checks the hello.
func (s *Server) handshake(ctx context.Context, raw net.Conn) (*subscriber, error) {
	if err := raw.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, errors.Wrap(err, "distribution: set deadline")
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	if s.cfg.TLS != nil {
		secured := tls.Server(raw, s.cfg.TLS)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, errors.Wrap(errTLS, err.Error())
		}
		raw = secured
	}
	conn := framing.NewConn(raw, frameLimitBytes, writeTimeout)
	f, err := conn.Read()
	if err != nil {
		return nil, err
	}
	var h hello
	if f.Kind != kindHello {
		return nil, s.refuse(conn, refusedProtocol)
	}
	if err := f.Decode(&h); err != nil {
		return nil, err
	}
	if !validHello(h) {
		return nil, s.refuse(conn, refusedProtocol)
	}
	if err := checkIdentity(raw, h); err != nil {
		return nil, errors.Wrap(s.refuse(conn, refusedIdentity), err.Error())
	}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "distribution: set deadline")
	}
	return &subscriber{
		server:       s,
		conn:         conn,
		role:         h.Role,
		view:         viewOf(h.Role, h.Announcement),
		ctx:          ctx,
		wake:         make(chan struct{}, 1),
		skipDamping:  make(chan struct{}, 1),
		announcement: h.Announcement,
		held:         h.Held,
		digest:       h.Digest,
		inForce:      h.InForce,
		lastHeard:    time.Now(),
	}, nil
}

// refuse tells the peer why its stream ends, and when to retry.
func (s *Server) refuse(conn *framing.Conn, reason refusalReason) error {
	after := retryMaxDelay
	if reason == refusedLeaving {
		after = leavingRetryDelay
	}
	return s.refuseFor(conn, reason, after)
}

func (s *Server) refuseFor(conn *framing.Conn, reason refusalReason, after time.Duration) error {
	s.counters.countRefusal(reason)
	_, err := conn.Write(kindRefusal, &refusal{Reason: reason, RetryAfterMS: after.Milliseconds()})
	if err != nil {
		return err
	}
	return errors.Wrap(errRefused, reason.String())
}

// validHello reports whether a hello is valid. Control characters aren't, as texts are sent
// in columns with a separator.
func validHello(h hello) bool {
	if h.Role != RoleBalancer && h.Role != RoleAgent {
		return false
	}
	a := h.Announcement
	if a.Name == "" || (h.Role == RoleAgent && a.Service == "") {
		return false
	}
	for _, s := range []string{a.Name, a.DataCentre, a.Tunnel, a.Service, a.Host, a.Peer} {
		if len(s) > textLimitBytes || strings.ContainsFunc(s, unicode.IsControl) {
			return false
		}
	}
	return true
}

// readLoop reads frames until the stream ends. Missed heartbeats end it, as a peer that
// lost power sends no FIN.
func (sub *subscriber) readLoop() error {
	limit := missedHeartbeats * sub.server.cfg.HeartbeatInterval
	for {
		if err := sub.conn.Raw().SetReadDeadline(time.Now().Add(limit)); err != nil {
			return errors.Wrap(err, "distribution: set read deadline")
		}
		f, err := sub.conn.Read()
		if err != nil {
			return err
		}
		if err := sub.handle(f); err != nil {
			return err
		}
	}
}

func (sub *subscriber) handle(f framing.Frame) error {
	switch f.Kind {
	case kindHeartbeat, kindResync:
		var b heartbeat
		if err := f.Decode(&b); err != nil {
			return err
		}
		sub.recordHeartbeat(b, f.Kind == kindResync)
		return sub.answerHeartbeat()
	case kindAnnounce:
		var a Announcement
		if err := f.Decode(&a); err != nil {
			return err
		}
		return sub.reannounce(a)
	}
	return errors.Wrapf(errProtocol, "frame kind %d", f.Kind)
}

// answerHeartbeat sends the server's heartbeat in answer to the subscriber's, in the reading
// goroutine. A separate timer per stream would cost more than the heartbeat itself.
func (sub *subscriber) answerHeartbeat() error {
	b := sub.server.heartbeat()
	return sub.send(kindHeartbeat, &b)
}

func (sub *subscriber) send(kind framing.Kind, m message) error {
	n, err := sub.conn.Write(kind, m)
	sub.server.counters.bytesOut.Add(int64(n))
	return err
}

// heartbeat returns this VM's heartbeat.
func (s *Server) heartbeat() heartbeat {
	revision, _ := s.publisher.state()
	return heartbeat{Revision: revision, ContactAgeMS: s.cfg.Source.ContactAge().Milliseconds()}
}

func (sub *subscriber) recordHeartbeat(b heartbeat, resync bool) {
	sub.mu.Lock()
	changed := resync || b.Revision != sub.held
	sub.held, sub.inForce, sub.lastHeard = b.Revision, b.InForce, time.Now()
	sub.resync = sub.resync || resync
	sub.mu.Unlock()
	if resync {
		sub.server.counters.resyncs.Add(1)
	}
	if changed {
		sub.wakeWriter()
	}
}

// reannounce handles a changed announcement. It must be of the same subscriber.
func (sub *subscriber) reannounce(a Announcement) error {
	old := sub.currentAnnouncement()
	if a.Name != old.Name || a.Service != old.Service || a.Incarnation != old.Incarnation {
		return errors.Wrap(errProtocol, "announcement of another subscriber")
	}
	if !validHello(hello{Role: sub.role, Announcement: a}) {
		return errors.Wrap(errProtocol, "invalid announcement")
	}
	sub.commitAnnouncement(a)
	return nil
}
