package distribution

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/table"
)

// mismatchLimit is how many tables in a row may fail their digest before the
// subscriber tries another VM.
const mismatchLimit = 3

// clientStream is one attachment.
type clientStream struct {
	client     *Client
	conn       *framing.Conn
	address    string
	parts      assembly
	mismatches int
	// behindSince is when the VM was first seen behind; zero while it isn't.
	behindSince time.Time
}

// attach keeps one stream until it ends; the error says why.
func (c *Client) attach(ctx context.Context, address string) error {
	raw, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	conn := framing.NewConn(raw, frameLimit, writeTimeout)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()

	s := &clientStream{client: c, conn: conn, address: address}
	standing := c.standing()
	opening := hello{
		Role: c.cfg.Role, Announcement: c.nextAnnouncement(),
		Have: standing.Revision, Digest: digest(c.held), InForce: standing.InForce,
	}
	if err := s.send(kindHello, &opening); err != nil {
		return err
	}
	if err := s.welcome(); err != nil {
		return err
	}
	go s.sendBeats(ctx)
	return s.receive()
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "distribution: connect")
	}
	if c.cfg.TLS == nil {
		return raw, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "distribution: address")
	}
	conn, err := keys.Client(ctx, raw, c.cfg.TLS, host)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(errTLS, err.Error())
	}
	return conn, nil
}

func (s *clientStream) send(kind framing.Kind, m encodable) error {
	n, err := s.conn.Write(kind, m)
	s.client.count.bytesOut.Add(int64(n))
	return err
}

// read waits for a frame as long as missedBeats allow: a peer whose VM lost
// power sends no FIN, and only its silence tells.
func (s *clientStream) read() (framing.Frame, error) {
	limit := missedBeats * s.client.cfg.Beat
	if err := s.conn.Raw().SetReadDeadline(time.Now().Add(limit)); err != nil {
		return framing.Frame{}, errors.Wrap(err, "distribution: read deadline")
	}
	f, err := s.conn.Read()
	s.client.count.bytesIn.Add(int64(len(f.Body) + frameHeader))
	return f, err
}

func (s *clientStream) welcome() error {
	f, err := s.read()
	if err != nil {
		return err
	}
	switch f.Kind {
	case kindRefusal:
		return s.refused(f)
	case kindWelcome:
	default:
		return errors.Wrapf(errProtocol, "kind %d before welcome", f.Kind)
	}
	var w welcome
	if err := f.Decode(&w); err != nil {
		return err
	}
	c := s.client
	c.mu.Lock()
	c.control = s.address
	c.mu.Unlock()
	c.count.attached.Add(1)
	events.Log(c.cfg.Log, events.ControlAttached, logrus.Fields{"control": s.address, "name": w.Control, "revision": w.Beat.Revision})
	return s.judge(w.Beat)
}

func (s *clientStream) refused(f framing.Frame) error {
	var r refusal
	if err := f.Decode(&r); err != nil {
		return err
	}
	s.client.choose.refused(s.address, time.Duration(r.RetryAfterMS)*time.Millisecond, time.Now())
	s.client.cfg.Metrics.Counter("control_refused_" + r.Reason.String()).Add(1)
	return errors.Wrap(errRefused, r.Reason.String())
}

func (s *clientStream) receive() error {
	for {
		f, err := s.read()
		if err != nil {
			return err
		}
		if err := s.handle(f); err != nil {
			return err
		}
	}
}

func (s *clientStream) handle(f framing.Frame) error {
	switch f.Kind {
	case kindBeat:
		var b beat
		if err := f.Decode(&b); err != nil {
			return err
		}
		return s.beat(b)
	case kindNumber:
		var n number
		if err := f.Decode(&n); err != nil {
			return err
		}
		s.client.numbered(n.Agent)
		if s.client.cfg.Numbered != nil {
			s.client.cfg.Numbered(n.Agent)
		}
		return nil
	case kindPart:
		var p part
		if err := f.Decode(&p); err != nil {
			return err
		}
		return s.part(&p)
	case kindRefusal:
		return s.refused(f)
	}
	return errors.Wrapf(errProtocol, "kind %d", f.Kind)
}

// numbered notes the number. The table may have shown the target before.
func (c *Client) numbered(n table.AgentNumber) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number = n
	c.offered = c.offers(c.held)
}

// beat takes the server's heartbeat.
func (s *clientStream) beat(b beat) error {
	age := time.Duration(b.ContactAgeMS) * time.Millisecond
	if age <= s.client.cfg.StaleBound && b.Revision >= s.client.heldRevision() {
		s.client.choose.good()
	}
	return s.judge(b)
}

// judge decides whether the VM is worth staying with.
func (s *clientStream) judge(b beat) error {
	c, now := s.client, time.Now()
	age := time.Duration(b.ContactAgeMS) * time.Millisecond
	c.heard(age, now)
	if age > c.cfg.StaleBound && c.choose.leave(now) {
		return errStale
	}
	if b.Revision >= c.heldRevision() {
		s.behindSince = time.Time{}
		return nil
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	if now.Sub(s.behindSince) > behindBound && c.choose.leave(now) {
		return errBehind
	}
	return nil
}

// part takes a piece of an update and, with the last one, the update.
func (s *clientStream) part(p *part) error {
	data, whole, err := s.parts.add(p)
	if err != nil || !whole {
		return err
	}
	u, err := decodeUpdate(p.From, p.To, data, p.Deflated)
	if err != nil {
		return err
	}
	return s.update(u)
}

func (s *clientStream) update(u *update) error {
	c := s.client
	next, err := applyUpdate(c.held, u)
	switch {
	case errors.Is(err, errLower):
		c.count.lower.Add(1)
		return nil
	case err != nil:
		return s.resync(err)
	}
	s.mismatches = 0
	c.countUpdate(u)
	c.take(next)
	return s.ack()
}

// resync asks for a whole table. A digest that differs means that the table in
// use isn't control's, for example because the state file is of another cluster.
func (s *clientStream) resync(cause error) error {
	c := s.client
	c.count.resyncs.Add(1)
	events.Log(c.cfg.Log, events.TableMismatch, logrus.Fields{"revision": c.heldRevision(), "error": cause})
	s.mismatches++
	if s.mismatches >= mismatchLimit {
		return errMismatch
	}
	b := c.standing()
	return s.send(kindResync, &b)
}

func (s *clientStream) ack() error {
	b := s.client.standing()
	return s.send(kindBeat, &b)
}

func (c *Client) countUpdate(u *update) {
	if u.From == 0 {
		c.count.snapshots.Add(1)
		return
	}
	c.count.deltas.Add(1)
}

// sendBeats keeps the stream alive and announces again when asked. A failed
// write shows as a failed read soon after.
func (s *clientStream) sendBeats(ctx context.Context) {
	// A random phase, or the beats of all that reconnected together would stay
	// together; the server beats when it is beaten to.
	beat := s.client.cfg.Beat
	timer := time.NewTimer(time.Duration(rand.Float64() * float64(beat)))
	defer timer.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			err = s.ack()
			timer.Reset(beat)
		case <-s.client.reannounce:
			a := s.client.nextAnnouncement()
			err = s.send(kindAnnounce, &a)
		}
		if err != nil {
			_ = s.conn.Close()
			return
		}
	}
}

// assembly puts the parts of an update together.
type assembly struct {
	from, to table.Revision
	total    int
	data     []byte
}

// add returns the update's bytes once all of them are there.
func (a *assembly) add(p *part) (data []byte, whole bool, err error) {
	if p.Total < 0 || p.Total > bodyLimit {
		return nil, false, errors.Wrapf(errProtocol, "update of %d bytes", p.Total)
	}
	if a.from != p.From || a.to != p.To || a.total != p.Total || len(a.data) == a.total {
		a.from, a.to, a.total, a.data = p.From, p.To, p.Total, nil
	}
	a.data = append(a.data, p.Data...)
	if len(a.data) > a.total {
		return nil, false, errors.Wrap(errProtocol, "update longer than it said")
	}
	if len(a.data) < a.total {
		return nil, false, nil
	}
	data, a.data = a.data, nil
	a.total = -1
	return data, true, nil
}
