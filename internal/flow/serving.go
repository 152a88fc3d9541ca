package flow

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
)

const (
	// goAwayDelay leaves the handshakes that were accepted before a drain time
	// to end, so that their callers get a flow and then a GOAWAY on it.
	goAwayDelay = time.Second
	// goAwayGrace is how long a flow without requests is kept after GOAWAY, for
	// callers that don't close by themselves. A request that crosses the GOAWAY
	// is rejected by name, and its caller knows that it didn't run; one that
	// crosses the end of the flow would be left in doubt. The grace outlasts a
	// GOAWAY that was lost twice or whose caller had no processor for seconds.
	goAwayGrace = 5 * time.Second
	// acceptSettle is how long after a server stopped accepting its last flow
	// may still be on the way into its books; the library closes a server whose
	// books are empty, and that flow with it.
	acceptSettle = 100 * time.Millisecond
	// drainPoll is how often flows that go away are looked at.
	drainPoll = 100 * time.Millisecond
	// unusedTimeout ends flows on which no request was open for so long. The
	// keep-alive would hold them, and their place in the limit, for good.
	unusedTimeout = 5 * time.Minute
)

// serving runs HTTP/3 on accepted flows. A drain sends GOAWAY on all flows of
// one HTTP/3 server and puts the next in its place, as the library's servers
// can't be used again.
type serving struct {
	endpoint *Endpoint

	mu        sync.Mutex
	current   *server
	listeners []*quic.Listener
}

// server is an HTTP/3 server with its flows.
type server struct {
	http *http3.Server
	// accepting ends when the server takes no more flows.
	accepting context.Context
	settle    context.CancelFunc

	mu    sync.Mutex
	conns map[*served]struct{}
}

// served is one flow with its requests.
type served struct {
	conn   *quic.Conn
	active atomic.Int64
	// idleSince is when the last request ended, in Unix nanoseconds.
	idleSince atomic.Int64
}

type servedKey struct{}

func newServing(e *Endpoint) *serving {
	s := &serving{endpoint: e}
	s.current = s.newServer()
	return s
}

func (s *serving) newServer() *server {
	x := &server{conns: make(map[*served]struct{})}
	x.accepting, x.settle = context.WithCancel(context.Background())
	x.http = &http3.Server{
		Handler:     http.HandlerFunc(s.serve),
		IdleTimeout: unusedTimeout,
		ConnContext: x.register,
	}
	return x
}

func (x *server) register(ctx context.Context, conn *quic.Conn) context.Context {
	if shake, ok := conn.Context().Value(handshakeKey{}).(*handshake); ok {
		shake.over()
	}
	flow := &served{conn: conn}
	flow.idleSince.Store(time.Now().UnixNano())
	x.mu.Lock()
	x.conns[flow] = struct{}{}
	x.mu.Unlock()
	context.AfterFunc(conn.Context(), func() {
		x.mu.Lock()
		delete(x.conns, flow)
		x.mu.Unlock()
	})
	return context.WithValue(ctx, servedKey{}, flow)
}

// serve counts a flow's requests around the handler.
func (s *serving) serve(w http.ResponseWriter, r *http.Request) {
	if flow, ok := r.Context().Value(servedKey{}).(*served); ok {
		flow.active.Add(1)
		defer func() {
			flow.idleSince.Store(time.Now().UnixNano())
			flow.active.Add(-1)
		}()
	}
	s.endpoint.config.Handler.ServeHTTP(w, r)
}

// accept serves the flows of one more listener.
func (s *serving) accept(l *quic.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
	go serveListener(s.current, l)
}

func serveListener(x *server, l *quic.Listener) {
	// It returns once the server goes away or the listener is closed; both are
	// ordered.
	_ = x.http.ServeListener(stoppable{l, x.accepting})
}

// stoppable is a listener that one server can stop accepting from while others
// go on.
type stoppable struct {
	*quic.Listener
	accepting context.Context
}

// Accept implements http3.QUICListener.
func (s stoppable) Accept(ctx context.Context) (*quic.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.accepting, cancel)()
	conn, err := s.Listener.Accept(ctx)
	if err != nil && s.accepting.Err() != nil {
		return nil, quic.ErrServerClosed
	}
	return conn, err
}

// goAway sends GOAWAY on all flows and closes each when it has no request left.
func (s *serving) goAway() {
	s.mu.Lock()
	old := s.current
	s.current = s.newServer()
	for _, l := range s.listeners {
		go serveListener(s.current, l)
	}
	s.mu.Unlock()
	old.settle()
	events.Log(s.endpoint.config.Log, events.FlowGoAway, logrus.Fields{"flows": old.count()})
	time.AfterFunc(acceptSettle, func() {
		go old.closeUnused(s.endpoint.closed)
		_ = old.http.Shutdown(context.Background())
	})
}

func (x *server) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.conns)
}

// closeUnused closes the flows of a server that went away, each when it was
// without requests for the grace time.
func (x *server) closeUnused(stop <-chan struct{}) {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	start := time.Now().UnixNano()
	for x.count() > 0 {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			x.closeIdle(start, now.UnixNano())
		}
	}
}

func (x *server) closeIdle(start, now int64) {
	x.mu.Lock()
	var idle []*served
	for flow := range x.conns {
		since := max(start, flow.idleSince.Load())
		if flow.active.Load() == 0 && now-since > int64(goAwayGrace) {
			idle = append(idle, flow)
		}
	}
	x.mu.Unlock()
	for _, flow := range idle {
		_ = flow.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "going away")
	}
}
