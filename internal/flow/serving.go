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
	"bergamotstall/internal/monotonic"
)

const (
	// goAwayDelay gives handshakes that were accepted before a drain time to
	// complete, so that their callers get a GOAWAY on an open flow.
	goAwayDelay = time.Second
	// goAwayGracePeriod is how long a flow without requests stays open after GOAWAY,
	// for callers that don't close it themselves. A request that crosses the GOAWAY is
	// rejected explicitly, so its caller knows that it didn't run; for one that crosses
	// the close of the flow the caller couldn't know. The period covers a GOAWAY that
	// is lost twice, or a caller without CPU time for seconds.
	goAwayGracePeriod = 5 * time.Second
	// acceptSettleTime is how long a flow may take to be registered after its server
	// stopped accepting. http3.Server.Shutdown closes a server without registered
	// flows, and would close such a flow with it.
	acceptSettleTime = 100 * time.Millisecond
	// drainPollInterval is how often draining flows are checked.
	drainPollInterval = 100 * time.Millisecond
	// noRequestTimeout closes a flow without an open request. Keep-alives would
	// otherwise keep the flow open, and counted against the limit, forever.
	noRequestTimeout = 5 * time.Minute
)

// serverSet runs HTTP/3 on accepted flows. A drain sends GOAWAY on all flows of the
// current HTTP/3 server and replaces the server, as an http3.Server can't be reused
// after Shutdown.
type serverSet struct {
	endpoint *Endpoint

	mu        sync.Mutex
	current   *server
	listeners []*quic.Listener
}

// server is an HTTP/3 server and its flows.
type server struct {
	http *http3.Server
	// accepting is canceled when the server stops accepting flows.
	accepting     context.Context
	stopAccepting context.CancelFunc

	mu    sync.Mutex
	flows map[*servedFlow]struct{}
}

// servedFlow counts the open requests of one flow.
type servedFlow struct {
	conn   *quic.Conn
	active atomic.Int64
	// idleSince is the time when the last request ended, see monotonic.Nanos.
	idleSince atomic.Int64
}

// markIdle records the end of a request.
func (f *servedFlow) markIdle(now time.Time) { f.idleSince.Store(monotonic.Nanos(now)) }

// unused reports whether the flow has had no requests for goAwayGracePeriod, counted from
// start at the earliest.
func (f *servedFlow) unused(start, now time.Time) bool {
	since := max(monotonic.Nanos(start), f.idleSince.Load())
	return f.active.Load() == 0 && monotonic.Nanos(now)-since > int64(goAwayGracePeriod)
}

type servedFlowKey struct{}

func newServerSet(e *Endpoint) *serverSet {
	s := &serverSet{endpoint: e}
	s.current = s.newServer()
	return s
}

func (s *serverSet) newServer() *server {
	x := &server{flows: make(map[*servedFlow]struct{})}
	x.accepting, x.stopAccepting = context.WithCancel(context.Background())
	x.http = &http3.Server{
		Handler:     http.HandlerFunc(s.serve),
		IdleTimeout: noRequestTimeout,
		ConnContext: x.register,
	}
	return x
}

// register adds an accepted flow to the server until the flow ends.
func (x *server) register(ctx context.Context, conn *quic.Conn) context.Context {
	if h, ok := conn.Context().Value(handshakeKey{}).(*handshake); ok {
		h.done()
	}
	flow := &servedFlow{conn: conn}
	flow.markIdle(time.Now())
	x.mu.Lock()
	x.flows[flow] = struct{}{}
	x.mu.Unlock()
	context.AfterFunc(conn.Context(), func() {
		x.mu.Lock()
		delete(x.flows, flow)
		x.mu.Unlock()
	})
	return context.WithValue(ctx, servedFlowKey{}, flow)
}

// serve calls the handler and counts the flow's open requests.
func (s *serverSet) serve(w http.ResponseWriter, r *http.Request) {
	if flow, ok := r.Context().Value(servedFlowKey{}).(*servedFlow); ok {
		flow.active.Add(1)
		defer func() {
			flow.markIdle(time.Now())
			flow.active.Add(-1)
		}()
	}
	s.endpoint.config.Handler.ServeHTTP(w, r)
}

// accept starts serving the flows of another listener.
func (s *serverSet) accept(l *quic.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
	go serveListener(s.current, l)
}

func serveListener(x *server, l *quic.Listener) {
	// ServeListener returns once the server goes away or the listener is closed; neither
	// is an error.
	_ = x.http.ServeListener(stoppableListener{l, x.accepting})
}

// stoppableListener is a listener that one server can stop using while others go on
// accepting from it.
type stoppableListener struct {
	*quic.Listener
	accepting context.Context
}

// Accept implements http3.QUICListener.
func (s stoppableListener) Accept(ctx context.Context) (*quic.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.accepting, cancel)()
	conn, err := s.Listener.Accept(ctx)
	if err != nil && s.accepting.Err() != nil {
		return nil, quic.ErrServerClosed
	}
	return conn, err
}

// goAway sends GOAWAY on all flows and closes each after its last request.
func (s *serverSet) goAway() {
	s.mu.Lock()
	old := s.current
	s.current = s.newServer()
	for _, l := range s.listeners {
		go serveListener(s.current, l)
	}
	s.mu.Unlock()
	old.stopAccepting()
	events.Log(s.endpoint.config.Log, events.FlowGoAway, logrus.Fields{"flows": old.count()})
	time.AfterFunc(acceptSettleTime, func() {
		go old.closeUnused(s.endpoint.closed)
		_ = old.http.Shutdown(context.Background())
	})
}

func (x *server) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.flows)
}

// closeUnused closes the flows of a server that sent GOAWAY, each after it had no
// requests for goAwayGracePeriod.
func (x *server) closeUnused(stop <-chan struct{}) {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	start := time.Now()
	for x.count() > 0 {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			x.closeIdle(start, now)
		}
	}
}

func (x *server) closeIdle(start, now time.Time) {
	x.mu.Lock()
	var idle []*servedFlow
	for flow := range x.flows {
		if flow.unused(start, now) {
			idle = append(idle, flow)
		}
	}
	x.mu.Unlock()
	for _, flow := range idle {
		_ = flow.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "going away")
	}
}
