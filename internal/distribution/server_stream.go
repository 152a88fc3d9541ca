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

// textLimit bounds names and addresses in an announcement.
const textLimit = 256

// closeTimeout is how long Close lets a stream say good-bye.
const closeTimeout = time.Second

// leavingFor is how long subscribers keep away from a VM that stops: about the
// time of its restart. Where it is the only one, changes must reach them within
// nine seconds of its return.
const leavingFor = time.Second

// subscriber is one stream at the server.
type subscriber struct {
	server *Server
	conn   *framing.Conn
	role   Role
	view   view
	ctx    context.Context
	// wake tells the writer that there is something to do.
	wake chan struct{}
	// skipHold ends the hold of an announcement.
	skipHold chan struct{}

	mu           sync.Mutex
	announcement Announcement
	announcing   bool
	number       table.AgentNumber
	numberSent   table.AgentNumber
	// held is what the subscriber said it holds, digest that of its table when
	// the stream began, inForce what its data path runs on.
	held    table.Revision
	digest  uint64
	inForce table.Revision
	heardAt time.Time
	// resync is set when the subscriber asked for a whole table.
	resync bool
}

func (sub *subscriber) key() subject {
	return subject{role: sub.role, name: sub.announced().Name}
}

func (sub *subscriber) announced() Announcement {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return sub.announcement
}

func (sub *subscriber) describe(now time.Time) Subscriber {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	return Subscriber{
		Name:       sub.announcement.Name,
		Role:       sub.role,
		Service:    sub.announcement.Service,
		DataCentre: sub.announcement.DataCentre,
		Agent:      sub.number,
		Revision:   sub.inForce,
		Age:        now.Sub(sub.heardAt),
	}
}

// base returns the revision that deltas can build on: what the subscriber holds,
// or 0 where its table can't be the one that control handed out under that
// revision, as after a change of cluster.
func (sub *subscriber) base() table.Revision {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if !sub.server.publisher.agrees(sub.view, sub.held, sub.digest) {
		sub.server.count.resyncs.Add(1)
		return 0
	}
	return sub.held
}

// wakeWriter never blocks; a writer that is awake looks again.
func (sub *subscriber) wakeWriter() {
	select {
	case sub.wake <- struct{}{}:
	default:
	}
}

// serve runs one stream from its handshake to its end.
func (s *Server) serve(raw net.Conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer func() { _ = raw.Close() }()
	// Close must not wait for a peer that reads nothing.
	stop := context.AfterFunc(s.ctx, func() { time.AfterFunc(closeTimeout, func() { _ = raw.Close() }) })
	defer stop()
	sub, err := s.open(ctx, raw)
	<-s.opening
	if err != nil {
		s.count.ended(err)
		events.Log(s.cfg.Log, events.SubscriberRefused, logrus.Fields{"peer": raw.RemoteAddr().String(), "error": err})
		return
	}
	s.add(sub)
	defer s.remove(sub)
	s.count.accepted.Add(1)
	sub.announce(sub.announced())

	written := make(chan error, 1)
	go func() {
		err := sub.write()
		// The reader must not wait for a peer that can't be written to.
		_ = raw.Close()
		written <- err
	}()
	err = sub.read()
	cancel()
	// A writer blocked on a silent peer would else hold its loss back for the
	// write's time-out.
	_ = raw.Close()
	if werr := <-written; werr != nil {
		err = werr
	}
	s.silence.lost(sub.key(), sub.announced())
	s.count.ended(err)
	events.Log(s.cfg.Log, events.SubscriberLost, logrus.Fields{"role": sub.role, "name": sub.announced().Name, "error": err})
}

// open does the handshake and takes the hello.
func (s *Server) open(ctx context.Context, raw net.Conn) (*subscriber, error) {
	if err := raw.SetDeadline(time.Now().Add(openingTimeout)); err != nil {
		return nil, errors.Wrap(err, "distribution: deadline")
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
	conn := framing.NewConn(raw, frameLimit, writeTimeout)
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
	if !plausible(h) {
		return nil, s.refuse(conn, refusedProtocol)
	}
	if err := checkIdentity(raw, h); err != nil {
		return nil, errors.Wrap(s.refuse(conn, refusedIdentity), err.Error())
	}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "distribution: deadline")
	}
	return &subscriber{
		server:       s,
		conn:         conn,
		role:         h.Role,
		view:         viewOf(h.Role, h.Announcement),
		ctx:          ctx,
		wake:         make(chan struct{}, 1),
		skipHold:     make(chan struct{}, 1),
		announcement: h.Announcement,
		held:         h.Have,
		digest:       h.Digest,
		inForce:      h.InForce,
		heardAt:      time.Now(),
	}, nil
}

// refuse tells the peer why its stream ends, and when to come again.
func (s *Server) refuse(conn *framing.Conn, reason refusalReason) error {
	after := retryCap
	if reason == refusedLeaving {
		after = leavingFor
	}
	return s.refuseFor(conn, reason, after)
}

func (s *Server) refuseFor(conn *framing.Conn, reason refusalReason, after time.Duration) error {
	s.count.refused(reason)
	_, err := conn.Write(kindRefusal, &refusal{Reason: reason, RetryAfterMS: after.Milliseconds()})
	if err != nil {
		return err
	}
	return errors.Wrap(errRefused, reason.String())
}

// plausible judges a hello. Control characters are refused because texts travel
// in columns with a separator.
func plausible(h hello) bool {
	if h.Role != RoleBalancer && h.Role != RoleAgent {
		return false
	}
	a := h.Announcement
	if a.Name == "" || (h.Role == RoleAgent && a.Service == "") {
		return false
	}
	for _, s := range []string{a.Name, a.DataCentre, a.Tunnel, a.Service, a.Host, a.Peer} {
		if len(s) > textLimit || strings.ContainsFunc(s, unicode.IsControl) {
			return false
		}
	}
	return true
}

// read takes frames until the stream ends. Missed heartbeats end it: a peer
// that lost power sends no FIN.
func (sub *subscriber) read() error {
	limit := missedBeats * sub.server.cfg.Beat
	for {
		if err := sub.conn.Raw().SetReadDeadline(time.Now().Add(limit)); err != nil {
			return errors.Wrap(err, "distribution: read deadline")
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
	case kindBeat, kindResync:
		var b beat
		if err := f.Decode(&b); err != nil {
			return err
		}
		sub.heard(b, f.Kind == kindResync)
		return sub.answerBeat()
	case kindAnnounce:
		var a Announcement
		if err := f.Decode(&a); err != nil {
			return err
		}
		return sub.reannounce(a)
	}
	return errors.Wrapf(errProtocol, "kind %d", f.Kind)
}

// answerBeat sends the server's heartbeat. It answers the subscriber's, in the
// goroutine that is awake anyway: a timer of its own for each stream costs more
// than the heartbeat.
func (sub *subscriber) answerBeat() error {
	b := sub.server.beat()
	return sub.send(kindBeat, &b)
}

func (sub *subscriber) send(kind framing.Kind, m encodable) error {
	n, err := sub.conn.Write(kind, m)
	sub.server.count.bytesOut.Add(int64(n))
	return err
}

// beat is where this VM stands.
func (s *Server) beat() beat {
	revision, _ := s.publisher.state()
	return beat{Revision: revision, ContactAgeMS: s.cfg.Source.ContactAge().Milliseconds()}
}

func (sub *subscriber) heard(b beat, resync bool) {
	sub.mu.Lock()
	news := resync || b.Revision != sub.held
	sub.held, sub.inForce, sub.heardAt = b.Revision, b.InForce, time.Now()
	sub.resync = sub.resync || resync
	sub.mu.Unlock()
	if resync {
		sub.server.count.resyncs.Add(1)
	}
	if news {
		sub.wakeWriter()
	}
}

// reannounce takes a changed announcement; a stream stays one subscriber's.
func (sub *subscriber) reannounce(a Announcement) error {
	old := sub.announced()
	if a.Name != old.Name || a.Service != old.Service || a.Incarnation != old.Incarnation {
		return errors.Wrap(errProtocol, "announcement of another subscriber")
	}
	if !plausible(hello{Role: sub.role, Announcement: a}) {
		return errors.Wrap(errProtocol, "implausible announcement")
	}
	sub.announce(a)
	return nil
}
