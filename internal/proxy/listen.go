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
	// helloTime bounds the TLS handshake and the first byte of a connection.
	helloTime = 5 * time.Second
	// peerIdleTime is how long the listener keeps an idle connection: longer
	// than the other end does, so that none is closed under a request.
	peerIdleTime = 4 * idleTime
	// stopTime bounds the end of requests in progress at a stop.
	stopTime = 30 * time.Second
	// frameFirst is above the first byte of any frame up to frameLimit; HTTP
	// starts with a letter.
	frameFirst = frameLimit>>24 + 1
)

// peerServer takes frames and HTTP requests from other agents on one port.
type peerServer struct {
	relay *Relay
	ln    net.Listener
	http  *http.Server
	conns chan net.Conn // HTTP connections, for http.Server

	mu     sync.Mutex
	framed map[net.Conn]struct{}
	done   chan struct{}
	wait   sync.WaitGroup
}

// listenPeers opens the peer listener.
func (x *Relay) listenPeers() (*peerServer, error) {
	ln, err := net.Listen("tcp", x.cfg.Peer)
	if err != nil {
		return nil, errors.Wrap(err, "proxy: listen for peers")
	}
	s := &peerServer{
		relay:  x,
		ln:     ln,
		conns:  make(chan net.Conn),
		framed: map[net.Conn]struct{}{},
		done:   make(chan struct{}),
	}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(x.servePeer),
		ReadHeaderTimeout: helloTime,
		IdleTimeout:       peerIdleTime,
	}
	return s, nil
}

// serve accepts connections until stop.
func (s *peerServer) serve() {
	s.wait.Go(func() { _ = s.http.Serve(&connListener{s}) })
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.wait.Go(func() { s.sort(conn) })
	}
}

// sort finds out which protocol a connection speaks.
func (s *peerServer) sort(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(helloTime))
	if cfg := s.relay.cfg.TLS; cfg != nil {
		secured := tls.Server(conn, cfg.Server)
		if err := secured.Handshake(); err != nil {
			events.Log(s.relay.log, events.AgentRefused, logrus.Fields{"peer": conn.RemoteAddr().String(), "error": err})
			_ = conn.Close()
			return
		}
		conn = secured
	}
	buffered := &peekedConn{Conn: conn, in: bufio.NewReader(conn)}
	first, err := buffered.in.Peek(1)
	if err != nil {
		_ = conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	if first[0] < frameFirst {
		s.serveFrames(buffered)
		return
	}
	select {
	case s.conns <- buffered:
	case <-s.done:
		_ = conn.Close()
	}
}

// stop ends the listener: requests in progress go on to their end.
func (s *peerServer) stop() {
	close(s.done)
	_ = s.ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
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

// serveFrames answers one agent's questions.
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
	conn := framing.NewConn(raw, frameLimit, callTime)
	self, ok := s.greet(conn)
	for ok && self == s.relay.self() {
		_ = raw.SetReadDeadline(time.Now().Add(peerIdleTime))
		f, err := conn.Read()
		if err != nil {
			return
		}
		kind, answer, err := s.relay.answerFrame(f)
		if err != nil {
			return
		}
		if _, err := conn.Write(kind, answer); err != nil {
			return
		}
	}
}

// greet answers a Hello and tells whom it was for.
func (s *peerServer) greet(conn *framing.Conn) (table.AgentNumber, bool) {
	_ = conn.Raw().SetReadDeadline(time.Now().Add(helloTime))
	f, err := conn.Read()
	if err != nil || f.Kind != kindHello {
		return 0, false
	}
	var hello Hello
	if err := f.Decode(&hello); err != nil {
		return 0, false
	}
	ok := hello.Service == s.relay.cfg.Service && hello.Agent == s.relay.self()
	if !ok {
		s.relay.count.add("peers.wrong-address")
	}
	_, err = conn.Write(kindWelcome, &Welcome{OK: ok})
	return hello.Agent, ok && err == nil
}

// answerFrame answers one question of a peer.
func (x *Relay) answerFrame(f framing.Frame) (framing.Kind, msgp.Marshaler, error) {
	switch f.Kind {
	case kindProbe:
		return kindLoad, x.loadReport(), nil
	case kindClaim:
		var r idempotency.Request
		if err := f.Decode(&r); err != nil {
			return 0, nil, err
		}
		reply := x.vote(r)
		return kindReply, &reply, nil
	case kindRelease:
		var r idempotency.Release
		if err := f.Decode(&r); err != nil {
			return 0, nil, err
		}
		x.keep(func(k *idempotency.Voter, nowMS int64) { k.Release(nowMS, r) })
		return kindDone, &Done{}, nil
	case kindFinish:
		var r idempotency.Finish
		if err := f.Decode(&r); err != nil {
			return 0, nil, err
		}
		x.keep(func(k *idempotency.Voter, nowMS int64) { k.Finish(nowMS, r) })
		return kindDone, &Done{}, nil
	case kindHandover:
		var h idempotency.Handover
		if err := f.Decode(&h); err != nil {
			return 0, nil, err
		}
		taken := idempotency.HandoverReply{}
		x.keep(func(k *idempotency.Voter, nowMS int64) { taken.OK = k.Merge(nowMS, h) })
		return kindTaken, &taken, nil
	}
	return 0, nil, errors.Errorf("proxy: unknown frame kind %d", f.Kind)
}

// connListener hands the sorted HTTP connections to http.Server.
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

// peekedConn gives back the bytes that sorting has read.
type peekedConn struct {
	net.Conn
	in *bufio.Reader
}

func (c *peekedConn) Read(p []byte) (int, error) { return c.in.Read(p) }
