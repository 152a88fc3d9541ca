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

// Frame kinds between agents.
const (
	kindHello framing.Kind = iota + 1
	kindHelloReply
	kindProbe
	kindLoadReport
	kindClaim
	kindVote
	kindRelease
	kindFinish
	kindHandover
	kindHandoverReply
	kindAck
)

const (
	// peerDialTimeout bounds connecting to a peer, TLS handshake included.
	peerDialTimeout = time.Second
	// peerCallTimeout bounds one call to a peer. It is 100 round trips between data
	// centres; a slower peer counts as unreachable.
	peerCallTimeout = 500 * time.Millisecond
	// maxFrameBytes is the maximum size of a frame between agents. The largest is the
	// handover of a full voter with all stored responses.
	maxFrameBytes = 32 << 20
	// maxIdleConns is how many idle connections to one peer are kept.
	maxIdleConns = 4
)

// errWrongPeer is returned if the address now belongs to another agent.
var errWrongPeer = errors.New("proxy: address belongs to another agent")

// frameClient calls peers, with one call at a time on each connection.
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

// call sends one message and waits for the reply. Every message is idempotent, so one
// that fails on a reused connection is sent again on a new one.
func (c *frameClient) call(ctx context.Context, to table.Target, kind framing.Kind, m msgp.Marshaler, reply msgp.Unmarshaler) error {
	if conn := c.takeIdle(to.Agent); conn != nil {
		if err := c.exchange(ctx, to.Agent, conn, kind, m, reply); err == nil {
			return nil
		}
	}
	conn, err := c.openPeerConn(ctx, to)
	if err != nil {
		return err
	}
	return c.exchange(ctx, to.Agent, conn, kind, m, reply)
}

func (c *frameClient) exchange(ctx context.Context, to table.AgentNumber, conn *framing.Conn, kind framing.Kind, m msgp.Marshaler, reply msgp.Unmarshaler) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err := roundTrip(conn, kind, m, reply)
	if !stop() || err != nil {
		_ = conn.Close()
		if err == nil {
			err = errors.Wrap(ctx.Err(), "proxy: call to peer")
		}
		return err
	}
	c.putIdle(to, conn)
	return nil
}

func roundTrip(conn *framing.Conn, kind framing.Kind, m msgp.Marshaler, reply msgp.Unmarshaler) error {
	if _, err := conn.Write(kind, m); err != nil {
		return errors.Wrap(err, "proxy: send to peer")
	}
	f, err := conn.Read()
	if err != nil {
		return errors.Wrap(err, "proxy: read reply from peer")
	}
	return f.Decode(reply)
}

// openPeerConn opens a framed connection to an agent and sends the Hello. It returns
// errWrongPeer if the address now belongs to another agent.
func (c *frameClient) openPeerConn(ctx context.Context, to table.Target) (*framing.Conn, error) {
	raw, err := dialPeer(ctx, c.tls, to.Peer)
	if err != nil {
		return nil, err
	}
	conn := framing.NewConn(raw, maxFrameBytes, peerCallTimeout)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var reply HelloReply
	if err := roundTrip(conn, kindHello, &Hello{Service: c.service, Agent: to.Agent}, &reply); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if !reply.OK {
		_ = conn.Close()
		return nil, errWrongPeer
	}
	return conn, nil
}

// dialPeer connects to another agent, with TLS if cfg isn't nil.
func dialPeer(ctx context.Context, cfg *tls.Config, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
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
		return nil, errors.Wrap(err, "proxy: invalid peer address")
	}
	conn, err := keys.Client(ctx, raw, cfg, host)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "proxy: TLS handshake with peer")
	}
	return conn, nil
}

func (c *frameClient) takeIdle(to table.AgentNumber) *framing.Conn {
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

func (c *frameClient) putIdle(to table.AgentNumber, conn *framing.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[to]) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	c.idle[to] = append(c.idle[to], conn)
}

// closeIdle closes the idle connections to all agents for which keep returns false.
func (c *frameClient) closeIdle(keep func(table.AgentNumber) bool) {
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
