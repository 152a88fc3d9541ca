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

// streamKind is the kind that streams' messages are counted as.
const streamKind = int(peer.KindStream)

// keep makes one stream anew whenever it ends.
func (c *Client) keep(ctx context.Context, ip string) {
	s := newClientStream(ip)
	told := false
	for ctx.Err() == nil {
		err := c.follow(ctx, s)
		if !s.heardAt.IsZero() && !told {
			told = true
			events.Log(c.cfg.Log, events.ControlLeft, logrus.Fields{"control": ip, "error": events.ErrorText(err)})
		}
		if time.Since(s.heardAt) < BeatInterval {
			told = false
		}
		select {
		case <-ctx.Done():
		case <-time.After(dialPause/2 + mathrand.N(dialPause)):
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[ip] == s {
		delete(c.streams, ip)
	}
}

// follow runs one stream until it fails.
func (c *Client) follow(ctx context.Context, s *clientStream) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", net.JoinHostPort(s.ip, strconv.Itoa(int(c.cfg.Port))))
	if err != nil {
		return errors.Wrap(err, "membership: dial")
	}
	defer raw.Close()
	conn := framing.NewConn(raw, frameLimit, writeTimeout)
	stop := context.AfterFunc(ctx, func() { c.end(ctx, raw, conn) })
	defer stop()
	hello := Hello{Node: c.cfg.Node, Beat: c.beat(s)}
	if err := c.write(conn, kindHello, &hello); err != nil {
		return err
	}
	c.attach(s, conn)
	defer c.attach(s, nil)
	first := true
	beating, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.beatOn(beating, conn, s)
	for {
		u, err := c.nextUpdate(conn)
		if err != nil {
			return err
		}
		if first {
			first = false
			events.Log(c.cfg.Log, events.ControlAttached, logrus.Fields{"control": s.ip, "version": u.Version, "contact_age_ms": u.ContactAgeMS})
		}
		c.take(s, u)
	}
}

// end closes a stream. A control VM that the node leaves for others is told so: it would
// otherwise list the node for a while after it has ended, and balancers would take its
// silence for a target that may hold their flows.
func (c *Client) end(ctx context.Context, raw net.Conn, conn *framing.Conn) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok || !errors.Is(context.Cause(ctx), errMoved) || c.write(conn, kindRetire, &Retire{Moved: true}) != nil {
		_ = raw.Close()
		return
	}
	// What is still unread would turn a close into a reset, and the message would be lost;
	// the VM closes its end.
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

func (c *Client) attach(s *clientStream, conn *framing.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[s.ip] = s
	s.conn = conn
	s.told = false
}

// nextUpdate waits for an update; what a control VM recalls before it is handed
// on.
func (c *Client) nextUpdate(conn *framing.Conn) (Update, error) {
	for {
		f, err := read(conn)
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
			c.cfg.Recalled(u)
		default:
			return Update{}, errors.Errorf("membership: frame kind %d", f.Kind)
		}
	}
}

// TellFlows tells the control VMs of changes among the flows held; those that
// were reached since the last call are told of all. whole returns all.
func (c *Client) TellFlows(changes flowlog.Update, changed bool, whole func() flowlog.Update) {
	c.mu.Lock()
	var knowing, fresh []*framing.Conn
	for _, s := range c.streams {
		switch {
		case s.conn == nil:
		case s.told:
			knowing = append(knowing, s.conn)
		default:
			s.told = true
			fresh = append(fresh, s.conn)
		}
	}
	c.mu.Unlock()
	if changed {
		c.writeFlows(knowing, changes)
	}
	if len(fresh) > 0 {
		c.writeFlows(fresh, whole())
	}
}

// writeFlows sends an update; a stream that fails is made anew, and then told of
// all.
func (c *Client) writeFlows(to []*framing.Conn, u flowlog.Update) {
	for _, conn := range to {
		if err := c.write(conn, kindFlows, &u); err != nil {
			_ = conn.Close()
		}
	}
}

// Retire has the control VMs take the node off their lists, since it ends with its
// target.
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
			_ = conn.Close() // the VM notices the end of the stream
		}
	}
}

// beatOn sends beats until ctx is done or the stream fails.
func (c *Client) beatOn(ctx context.Context, conn *framing.Conn, s *clientStream) {
	ticker := time.NewTicker(BeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.kick:
		}
		b := c.beat(s)
		if err := c.write(conn, kindBeat, &b); err != nil {
			_ = conn.Close() // the reader ends the stream
			return
		}
	}
}
