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

// mismatchLimit is the number of consecutive updates with a wrong digest or base revision
// after which the subscriber tries another VM.
const mismatchLimit = 3

// clientStream is one stream to a control VM.
type clientStream struct {
	client     *Client
	conn       *framing.Conn
	address    string
	assembler  partAssembler
	mismatches int
	// behindSince is when the VM was first found behind; zero while it isn't.
	behindSince time.Time
}

// attach opens a stream and serves it until it ends. The error says why it ended.
func (c *Client) attach(ctx context.Context, address string) error {
	raw, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	conn := framing.NewConn(raw, frameLimitBytes, writeTimeout)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()

	s := &clientStream{client: c, conn: conn, address: address}
	current := c.currentHeartbeat()
	opening := hello{
		Role: c.cfg.Role, Announcement: c.nextAnnouncement(),
		Held: current.Revision, Digest: tableDigest(c.held), InForce: current.InForce,
	}
	if err := s.send(kindHello, &opening); err != nil {
		return err
	}
	if err := s.awaitWelcome(); err != nil {
		return err
	}
	go s.sendLoop(ctx)
	return s.receiveLoop()
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
		return nil, errors.Wrap(err, "distribution: parse control address")
	}
	conn, err := keys.Client(ctx, raw, c.cfg.TLS, host)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(errTLS, err.Error())
	}
	return conn, nil
}

func (s *clientStream) send(kind framing.Kind, m message) error {
	n, err := s.conn.Write(kind, m)
	s.client.counters.bytesOut.Add(int64(n))
	return err
}

// readFrame waits for a frame for missedHeartbeats intervals. A peer whose VM lost power
// sends no FIN and is only detected by its silence.
func (s *clientStream) readFrame() (framing.Frame, error) {
	limit := missedHeartbeats * s.client.cfg.HeartbeatInterval
	if err := s.conn.Raw().SetReadDeadline(time.Now().Add(limit)); err != nil {
		return framing.Frame{}, errors.Wrap(err, "distribution: set read deadline")
	}
	f, err := s.conn.Read()
	s.client.counters.bytesIn.Add(int64(len(f.Body) + frameHeaderBytes))
	return f, err
}

func (s *clientStream) awaitWelcome() error {
	f, err := s.readFrame()
	if err != nil {
		return err
	}
	switch f.Kind {
	case kindRefusal:
		return s.handleRefusal(f)
	case kindWelcome:
	default:
		return errors.Wrapf(errProtocol, "frame kind %d before welcome", f.Kind)
	}
	var w welcome
	if err := f.Decode(&w); err != nil {
		return err
	}
	c := s.client
	c.mu.Lock()
	c.control = s.address
	c.mu.Unlock()
	c.counters.attached.Add(1)
	events.Log(c.cfg.Log, events.ControlAttached, logrus.Fields{"control": s.address, "name": w.Control, "revision": w.Heartbeat.Revision})
	return s.checkControl(w.Heartbeat)
}

func (s *clientStream) handleRefusal(f framing.Frame) error {
	var r refusal
	if err := f.Decode(&r); err != nil {
		return err
	}
	s.client.selector.recordRefusal(s.address, time.Duration(r.RetryAfterMS)*time.Millisecond, time.Now())
	s.client.cfg.Metrics.Counter("control_refused_" + r.Reason.String()).Add(1)
	return errors.Wrap(errRefused, r.Reason.String())
}

func (s *clientStream) receiveLoop() error {
	for {
		f, err := s.readFrame()
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
	case kindHeartbeat:
		var b heartbeat
		if err := f.Decode(&b); err != nil {
			return err
		}
		return s.handleHeartbeat(b)
	case kindNumber:
		var n numberAssignment
		if err := f.Decode(&n); err != nil {
			return err
		}
		s.client.setNumber(n.Agent)
		if s.client.cfg.OnAgentNumber != nil {
			s.client.cfg.OnAgentNumber(n.Agent)
		}
		return nil
	case kindPart:
		var p part
		if err := f.Decode(&p); err != nil {
			return err
		}
		return s.handlePart(&p)
	case kindRefusal:
		return s.handleRefusal(f)
	}
	return errors.Wrapf(errProtocol, "frame kind %d", f.Kind)
}

// setNumber sets the agent number. The table may already contain the agent's target.
func (c *Client) setNumber(n table.AgentNumber) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number = n
	c.active = c.isActive(c.held)
}

// handleHeartbeat handles the server's heartbeat.
func (s *clientStream) handleHeartbeat(b heartbeat) error {
	age := time.Duration(b.ContactAgeMS) * time.Millisecond
	if age <= s.client.cfg.MaxContactAge && b.Revision >= s.client.heldRevision() {
		s.client.selector.recordGood()
	}
	return s.checkControl(b)
}

// checkControl returns an error if the subscriber should leave the VM.
func (s *clientStream) checkControl(b heartbeat) error {
	c, now := s.client, time.Now()
	age := time.Duration(b.ContactAgeMS) * time.Millisecond
	c.recordContact(age, now)
	if age > c.cfg.MaxContactAge && c.selector.shouldLeave(now) {
		return errStale
	}
	if b.Revision >= c.heldRevision() {
		s.behindSince = time.Time{}
		return nil
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	if now.Sub(s.behindSince) > maxBehindTime && c.selector.shouldLeave(now) {
		return errBehind
	}
	return nil
}

// handlePart handles a part of an update, and with the last part the update.
func (s *clientStream) handlePart(p *part) error {
	data, whole, err := s.assembler.add(p)
	if err != nil || !whole {
		return err
	}
	u, err := decodeUpdate(p.From, p.To, data, p.Deflated)
	if err != nil {
		return err
	}
	return s.handleUpdate(u)
}

func (s *clientStream) handleUpdate(u *update) error {
	c := s.client
	next, err := applyUpdate(c.held, u)
	switch {
	case errors.Is(err, errLowerRevision):
		c.counters.lowerRevision.Add(1)
		return nil
	case err != nil:
		return s.requestResync(err)
	}
	s.mismatches = 0
	c.countUpdate(u)
	c.useTable(next)
	return s.sendHeartbeat()
}

// requestResync asks for a snapshot. A wrong digest means that the table in use isn't
// control's, for example because the state file belongs to another cluster.
func (s *clientStream) requestResync(cause error) error {
	c := s.client
	c.counters.resyncs.Add(1)
	events.Log(c.cfg.Log, events.TableMismatch, logrus.Fields{"revision": c.heldRevision(), "error": cause})
	s.mismatches++
	if s.mismatches >= mismatchLimit {
		return errRepeatedMismatch
	}
	b := c.currentHeartbeat()
	return s.send(kindResync, &b)
}

func (s *clientStream) sendHeartbeat() error {
	b := s.client.currentHeartbeat()
	return s.send(kindHeartbeat, &b)
}

func (c *Client) countUpdate(u *update) {
	if u.From == 0 {
		c.counters.snapshots.Add(1)
		return
	}
	c.counters.deltas.Add(1)
}

// sendLoop sends heartbeats, and announcements when wakeSender is called. A failed write
// closes the connection, which ends the reader too.
func (s *clientStream) sendLoop(ctx context.Context) {
	// The phase is random, as the heartbeats of subscribers that reconnected together would
	// otherwise coincide. The server sends its heartbeat in answer to the subscriber's.
	interval := s.client.cfg.HeartbeatInterval
	timer := time.NewTimer(time.Duration(rand.Float64() * float64(interval)))
	defer timer.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			err = s.sendHeartbeat()
			timer.Reset(interval)
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

// partAssembler assembles an update from its parts.
type partAssembler struct {
	from, to table.Revision
	total    int
	data     []byte
}

// add adds a part. It returns the update's bytes once they are complete.
func (a *partAssembler) add(p *part) (data []byte, whole bool, err error) {
	if p.Total < 0 || p.Total > updateLimitBytes {
		return nil, false, errors.Wrapf(errProtocol, "update of %d bytes is above the limit", p.Total)
	}
	if a.from != p.From || a.to != p.To || a.total != p.Total || len(a.data) == a.total {
		a.from, a.to, a.total, a.data = p.From, p.To, p.Total, nil
	}
	a.data = append(a.data, p.Data...)
	if len(a.data) > a.total {
		return nil, false, errors.Wrap(errProtocol, "update is longer than its announced size")
	}
	if len(a.data) < a.total {
		return nil, false, nil
	}
	data, a.data = a.data, nil
	a.total = -1
	return data, true, nil
}
