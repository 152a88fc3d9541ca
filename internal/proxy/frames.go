package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/framing"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/table"
)

// Kinds of frames between agents.
const (
	kindHello framing.Kind = iota + 1
	kindWelcome
	kindProbe
	kindLoad
	kindClaim
	kindReply
	kindRelease
	kindFinish
	kindHandover
	kindTaken
	kindDone
)

const (
	// peerDialTime bounds connection set-up and TLS handshake with a peer.
	peerDialTime = time.Second
	// callTime bounds one question to a peer, 100 round trips between data
	// centres; a peer that is slower is as good as gone.
	callTime = 500 * time.Millisecond
	// frameLimit bounds a frame between agents. A handover of a full keeper with
	// all its answers is the largest.
	frameLimit = 32 << 20
	// idleConns is how many framed connections to one peer are kept unused.
	idleConns = 4
)

// errWrongPeer is returned where the address belongs to another agent now.
var errWrongPeer = errors.New("proxy: the address is another agent's")

// frameClient asks peers questions, one at a time on each connection.
type frameClient struct {
	service string
	tls     *tls.Config

	mu   sync.Mutex
	idle map[table.AgentNumber][]*framing.Conn
}

func newFrameClient(service string, cfg *PeerTLS) *frameClient {
	c := &frameClient{service: service, idle: map[table.AgentNumber][]*framing.Conn{}}
	if cfg != nil {
		c.tls = cfg.Client
	}
	return c
}

// call sends one message and waits for its answer. Every message is idempotent,
// so one that fails on a connection used before is sent again on a new one.
func (c *frameClient) call(ctx context.Context, to table.Target, kind framing.Kind, m msgp.Marshaler, answer msgp.Unmarshaler) error {
	if conn := c.take(to.Agent); conn != nil {
		if err := c.exchange(ctx, to.Agent, conn, kind, m, answer); err == nil {
			return nil
		}
	}
	conn, err := c.dial(ctx, to)
	if err != nil {
		return err
	}
	return c.exchange(ctx, to.Agent, conn, kind, m, answer)
}

func (c *frameClient) exchange(ctx context.Context, to table.AgentNumber, conn *framing.Conn, kind framing.Kind, m msgp.Marshaler, answer msgp.Unmarshaler) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err := ask(conn, kind, m, answer)
	if !stop() || err != nil {
		_ = conn.Close()
		if err == nil {
			err = errors.Wrap(ctx.Err(), "proxy: peer")
		}
		return err
	}
	c.keep(to, conn)
	return nil
}

func ask(conn *framing.Conn, kind framing.Kind, m msgp.Marshaler, answer msgp.Unmarshaler) error {
	if _, err := conn.Write(kind, m); err != nil {
		return errors.Wrap(err, "proxy: ask peer")
	}
	f, err := conn.Read()
	if err != nil {
		return errors.Wrap(err, "proxy: hear peer")
	}
	return f.Decode(answer)
}

func (c *frameClient) dial(ctx context.Context, to table.Target) (*framing.Conn, error) {
	raw, err := dialPeer(ctx, c.tls, to.Peer)
	if err != nil {
		return nil, err
	}
	conn := framing.NewConn(raw, frameLimit, callTime)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var welcome Welcome
	if err := ask(conn, kindHello, &Hello{Service: c.service, Agent: to.Agent}, &welcome); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if !welcome.OK {
		_ = conn.Close()
		return nil, errWrongPeer
	}
	return conn, nil
}

// dialPeer opens a connection to another agent, with TLS where it is set.
func dialPeer(ctx context.Context, cfg *tls.Config, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerDialTime)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "proxy: dial peer")
	}
	if cfg == nil {
		return raw, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "proxy: peer address")
	}
	conn, err := keys.Client(ctx, raw, cfg, host)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "proxy: TLS with peer")
	}
	return conn, nil
}

func (c *frameClient) take(to table.AgentNumber) *framing.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[to]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	c.idle[to] = idle[:len(idle)-1]
	return conn
}

func (c *frameClient) keep(to table.AgentNumber, conn *framing.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[to]) >= idleConns {
		_ = conn.Close()
		return
	}
	c.idle[to] = append(c.idle[to], conn)
}

// forget closes the idle connections to agents that keep says no to.
func (c *frameClient) forget(keep func(table.AgentNumber) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, conns := range c.idle {
		if keep(n) {
			continue
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
		delete(c.idle, n)
	}
}
