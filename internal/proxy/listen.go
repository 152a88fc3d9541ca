package proxy

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/events"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/idempotency"
	"bergamotstall/internal/table"
)

const (
	// handshakeTimeout bounds the TLS handshake and the wait for the first message on a
	// connection.
	handshakeTimeout = 5 * time.Second
	// peerIdleTimeout is how long the listener keeps an idle connection. It is longer
	// than the client's timeout, so that no connection is closed just as a request is
	// sent on it.
	peerIdleTimeout = 4 * idleTimeout
	// shutdownTimeout bounds the wait for requests in progress at shutdown.
	shutdownTimeout = 30 * time.Second
	// firstHTTPByte is greater than the first byte of any frame of up to maxFrameBytes
	// (the top byte of its length); HTTP starts with a letter.
	firstHTTPByte = maxFrameBytes>>24 + 1
)

// peerServer accepts frames and HTTP requests from other agents on one port.
type peerServer struct {
	proxy *Proxy
	ln    net.Listener
	http  *http.Server
	conns chan net.Conn // HTTP connections, for http.Server

	mu     sync.Mutex
	framed map[net.Conn]struct{}
	done   chan struct{}
	wait   sync.WaitGroup
}

// listenPeers opens the listener for peers.
func (x *Proxy) listenPeers() (*peerServer, error) {
	ln, err := net.Listen("tcp", x.cfg.PeerListenAddress)
	if err != nil {
		return nil, errors.Wrap(err, "proxy: listen for peers")
	}
	s := &peerServer{
		proxy:  x,
		ln:     ln,
		conns:  make(chan net.Conn),
		framed: map[net.Conn]struct{}{},
		done:   make(chan struct{}),
	}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(x.servePeer),
		ReadHeaderTimeout: handshakeTimeout,
		IdleTimeout:       peerIdleTimeout,
	}
	return s, nil
}

// serve accepts connections until stop is called.
func (s *peerServer) serve() {
	s.wait.Go(func() { _ = s.http.Serve(&connListener{s}) })
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.wait.Go(func() { s.dispatch(conn) })
	}
}

// dispatch detects a connection's protocol by its first byte and serves it.
func (s *peerServer) dispatch(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if cfg := s.proxy.cfg.TLS; cfg != nil {
		secured := tls.Server(conn, cfg.Server)
		if err := secured.Handshake(); err != nil {
			events.Log(s.proxy.log, events.AgentConnectionRefused, logrus.Fields{"peer": conn.RemoteAddr().String(), "error": err})
			_ = conn.Close()
			return
		}
		conn = secured
	}
	buffered := &peekedConn{Conn: conn, reader: bufio.NewReader(conn)}
	first, err := buffered.reader.Peek(1)
	if err != nil {
		_ = conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	if first[0] < firstHTTPByte {
		s.serveFrames(buffered)
		return
	}
	select {
	case s.conns <- buffered:
	case <-s.done:
		_ = conn.Close()
	}
}

// stop closes the listener and waits up to shutdownTimeout for HTTP requests in progress,
// then closes the framed connections.
func (s *peerServer) stop() {
	close(s.done)
	_ = s.ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
	s.mu.Lock()
	for conn := range s.framed {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

func (s *peerServer) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
		return false
	default:
	}
	s.framed[conn] = struct{}{}
	return true
}

// serveFrames serves the calls of one peer.
func (s *peerServer) serveFrames(raw net.Conn) {
	defer func() { _ = raw.Close() }()
	if !s.track(raw) {
		return
	}
	defer func() {
		s.mu.Lock()
		delete(s.framed, raw)
		s.mu.Unlock()
	}()
	conn := framing.NewConn(raw, maxFrameBytes, peerCallTimeout)
	self, ok := s.handleHello(conn)
	for ok && self == s.proxy.self() {
		_ = raw.SetReadDeadline(time.Now().Add(peerIdleTimeout))
		f, err := conn.Read()
		if err != nil {
			return
		}
		kind, reply, err := s.proxy.handleFrame(f)
		if err != nil {
			return
		}
		if _, err := conn.Write(kind, reply); err != nil {
			return
		}
	}
}

// handleHello answers a Hello. It returns the agent that the Hello is addressed to, and
// whether that is this agent.
func (s *peerServer) handleHello(conn *framing.Conn) (table.AgentNumber, bool) {
	_ = conn.Raw().SetReadDeadline(time.Now().Add(handshakeTimeout))
	f, err := conn.Read()
	if err != nil || f.Kind != kindHello {
		return 0, false
	}
	var hello Hello
	if err := f.Decode(&hello); err != nil {
		return 0, false
	}
	ok := hello.Service == s.proxy.cfg.Service && hello.Agent == s.proxy.self()
	if !ok {
		s.proxy.counters.add("peers.wrong-address")
	}
	_, err = conn.Write(kindHelloReply, &HelloReply{OK: ok})
	return hello.Agent, ok && err == nil
}

// handleFrame handles one call of a peer and returns the reply.
func (x *Proxy) handleFrame(f framing.Frame) (framing.Kind, msgp.Marshaler, error) {
	switch f.Kind {
	case kindProbe:
		return kindLoadReport, x.loadReport(), nil
	case kindClaim:
		var r idempotency.Request
		if err := f.Decode(&r); err != nil {
			return 0, nil, err
		}
		reply := x.vote(r)
		return kindVote, &reply, nil
	case kindRelease:
		var r idempotency.Release
		if err := f.Decode(&r); err != nil {
			return 0, nil, err
		}
		x.withVoter(func(v *idempotency.Voter, nowMS int64) { v.Release(nowMS, r) })
		return kindAck, &Ack{}, nil
	case kindFinish:
		var r idempotency.Finish
		if err := f.Decode(&r); err != nil {
			return 0, nil, err
		}
		x.withVoter(func(v *idempotency.Voter, nowMS int64) { v.Finish(nowMS, r) })
		return kindAck, &Ack{}, nil
	case kindHandover:
		var h idempotency.Handover
		if err := f.Decode(&h); err != nil {
			return 0, nil, err
		}
		reply := idempotency.HandoverReply{}
		x.withVoter(func(v *idempotency.Voter, nowMS int64) { reply.OK = v.Merge(nowMS, h) })
		return kindHandoverReply, &reply, nil
	}
	return 0, nil, errors.Errorf("proxy: unknown frame kind %d", f.Kind)
}

// connListener passes HTTP connections from dispatch to http.Server.
type connListener struct{ s *peerServer }

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.s.conns:
		return conn, nil
	case <-l.s.done:
		return nil, net.ErrClosed
	}
}

func (l *connListener) Close() error   { return nil }
func (l *connListener) Addr() net.Addr { return l.s.ln.Addr() }

// peekedConn also returns the bytes that dispatch has peeked at.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c *peekedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }
