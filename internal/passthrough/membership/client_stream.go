package membership

import (
	"context"
	mathrand "math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/events"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/peer"
)

// streamKind is the kind under which the meter counts the streams' messages.
const streamKind = int(peer.KindStream)

// keepStream runs the stream to one control VM and reopens it whenever it ends.
func (c *Client) keepStream(ctx context.Context, ip string) {
	s := newClientStream(ip)
	source := newListSource(time.Now())
	c.mu.Lock()
	c.sources[ip] = source
	c.mu.Unlock()
	logged := false
	for ctx.Err() == nil {
		err := c.runStream(ctx, s)
		if !s.heardAt.IsZero() && !logged {
			logged = true
			events.Log(c.cfg.Log, events.ControlStreamEnded, logrus.Fields{"control": ip, "error": events.ErrorText(err)})
		}
		if time.Since(s.heardAt) < HeartbeatInterval {
			logged = false
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay/2 + mathrand.N(redialDelay)):
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[ip] == s {
		delete(c.streams, ip)
	}
	if c.sources[ip] == source {
		delete(c.sources, ip)
	}
}

// runStream connects to a control VM and runs the stream until it fails.
func (c *Client) runStream(ctx context.Context, s *clientStream) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", net.JoinHostPort(s.ip, strconv.Itoa(int(c.cfg.Port))))
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.noteContact(s.ip, func(x *listSource) { x.dialFailed(time.Now(), err) })
		return errors.Wrap(err, "membership: dial")
	}
	return c.serveStream(ctx, s, raw)
}

// serveStream runs a stream over an open connection until it fails or ctx is done, and
// closes the connection.
func (c *Client) serveStream(ctx context.Context, s *clientStream, raw net.Conn) error {
	defer raw.Close()
	conn := framing.NewConn(idleTimeoutConn{raw}, maxFrameBytes, writeTimeout)
	stop := context.AfterFunc(ctx, func() { c.closeStream(ctx, raw, conn) })
	defer stop()
	hello := c.openStream(s)
	defer c.endStream(s)
	if err := c.write(conn, kindHello, &hello); err != nil {
		return err
	}
	c.setConn(s, conn)
	first := true
	heartbeatCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.sendHeartbeats(heartbeatCtx, conn, s)
	for {
		u, err := c.nextUpdate(conn)
		if err != nil {
			return err
		}
		if first {
			first = false
			events.Log(c.cfg.Log, events.ControlAttached, logrus.Fields{"control": s.ip, "version": u.Version, "contact_age_ms": u.ContactAgeMS})
		}
		c.applyUpdate(s, u)
	}
}

// closeStream closes a stream. A control VM that the node leaves for others is told
// first. Otherwise it would still list the node for a while after the node has ended, and
// balancers would take the node for a silent agent that may hold their flows.
func (c *Client) closeStream(ctx context.Context, raw net.Conn, conn *framing.Conn) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok || !errors.Is(context.Cause(ctx), errMoved) || c.write(conn, kindRetire, &Retire{Moved: true}) != nil {
		_ = raw.Close()
		return
	}
	// Closing with unread data would send a reset and lose the message, so only the write
	// side is closed; the VM closes the other.
	if err := tcp.CloseWrite(); err != nil {
		_ = raw.Close()
	}
}

// write sends one message and counts it.
func (c *Client) write(conn *framing.Conn, kind framing.Kind, m msgp.Marshaler) error {
	n, err := conn.Write(kind, m)
	c.cfg.Meter.Out(streamKind, n)
	return err
}

// openStream registers a stream and returns its hello. Both happen under one lock, so that
// no other VM is asked for the table that the hello requests.
func (c *Client) openStream(s *clientStream) Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[s.ip] = s
	s.open = true
	s.answered = false
	s.received = 0
	c.streamsOpened++
	return Hello{Node: c.cfg.Node, Heartbeat: c.heartbeatLocked(s), Acknowledges: true, Stream: c.streamsOpened}
}

// setConn makes the connection available to other messages, which must follow the hello.
func (c *Client) setConn(s *clientStream, conn *framing.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.conn = conn
	s.flowsReported = false
}

// endStream marks a stream as closed.
func (c *Client) endStream(s *clientStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.open = false
	s.conn = nil
	c.noteContact(s.ip, func(x *listSource) { x.ended(time.Now()) })
	c.chooseSoon()
}

// nextUpdate waits for an update. Flow records that arrive first go to OnFlowRecords.
func (c *Client) nextUpdate(conn *framing.Conn) (Update, error) {
	for {
		f, err := conn.Read()
		if err != nil {
			return Update{}, err
		}
		c.cfg.Meter.In(streamKind, len(f.Body))
		switch f.Kind {
		case kindUpdate:
			var u Update
			return u, f.Decode(&u)
		case kindFlows:
			var u flowlog.Update
			if err := f.Decode(&u); err != nil {
				return Update{}, err
			}
			c.cfg.OnFlowRecords(u)
		default:
			return Update{}, errors.Errorf("membership: unexpected frame kind %d", f.Kind)
		}
	}
}

// ReportFlows reports changes of the flows held to the control VMs. VMs that were connected
// since the last call get the flows that whole returns, which are all.
func (c *Client) ReportFlows(changes flowlog.Update, changed bool, whole func() flowlog.Update) {
	c.mu.Lock()
	var known, unknown []*framing.Conn
	for _, s := range c.streams {
		switch {
		case s.conn == nil:
		case s.flowsReported:
			known = append(known, s.conn)
		default:
			s.flowsReported = true
			unknown = append(unknown, s.conn)
		}
	}
	c.mu.Unlock()
	if changed {
		c.writeFlows(known, changes)
	}
	if len(unknown) > 0 {
		c.writeFlows(unknown, whole())
	}
}

// writeFlows sends an update. A connection that fails is closed; after reconnecting, all
// flows are reported.
func (c *Client) writeFlows(to []*framing.Conn, u flowlog.Update) {
	for _, conn := range to {
		if err := c.write(conn, kindFlows, &u); err != nil {
			_ = conn.Close()
		}
	}
}

// Retire asks the control VMs to remove the node from their lists, because it ends
// together with its target.
func (c *Client) Retire() {
	c.mu.Lock()
	var conns []*framing.Conn
	for _, s := range c.streams {
		if s.conn != nil {
			conns = append(conns, s.conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range conns {
		if err := c.write(conn, kindRetire, &Retire{}); err != nil {
			_ = conn.Close() // the VM notices that the stream ended
		}
	}
}

// sendHeartbeats sends heartbeats until ctx is done or the stream fails.
func (c *Client) sendHeartbeats(ctx context.Context, conn *framing.Conn, s *clientStream) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		}
		b := c.heartbeat(s)
		if err := c.write(conn, kindHeartbeat, &b); err != nil {
			_ = conn.Close() // the reader ends the stream
			return
		}
	}
}
