package distribution

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/liveness"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/table"
	"bergamotstall/internal/wait"
)

const (
	// DefaultBytesPerSecond is the byte budget of one subscriber's link.
	DefaultBytesPerSecond = 5 << 10
	// snapshotFactor is how much faster whole tables may go than changes. A table
	// of 12,000 hosts is sent once in a process's life, a process restarts about
	// every eight days, and until the table is there the VM serves nobody.
	snapshotFactor = 4
	// DefaultSnapshots is how many large tables one VM sends at once.
	DefaultSnapshots = 32
	// DefaultWaiting is how many more may wait in line for one.
	DefaultWaiting = 128
	// handshakes bounds the TLS handshakes under way, each about a millisecond of
	// processor time, so that a reconnect of all leaves the heartbeats theirs.
	handshakes = 64
	// smallSnapshot is the size up to which a whole table needs no place in line.
	smallSnapshot = 8 << 10
	// acceptPause is the wait after a failed accept.
	acceptPause = 100 * time.Millisecond
	// openingTimeout bounds the handshake and the hello.
	openingTimeout = 5 * time.Second
)

// ErrClosed is returned by Serve after Close.
var ErrClosed = errors.New("distribution: server closed")

// ServerConfig is what a control VM's server needs.
type ServerConfig struct {
	// Name is the control VM's.
	Name      string
	Source    Source
	Registrar Registrar
	// TLS is nil only in tests and the demo.
	TLS *tls.Config
	// BytesPerSecond paces the changes to one subscriber; 0 means
	// DefaultBytesPerSecond.
	BytesPerSecond int
	// SnapshotBytesPerSecond paces a whole table; 0 means four times
	// BytesPerSecond.
	SnapshotBytesPerSecond int
	// Snapshots and Waiting bound the large tables under way and in line; 0 means
	// the defaults.
	Snapshots int
	Waiting   int
	// Beat is the pause between heartbeats; 0 means DefaultBeat.
	Beat time.Duration
	// Liveness are the thresholds of silence; zero means the defaults.
	Liveness liveness.Config
	Log      logrus.FieldLogger
	Metrics  *metrics.Set
}

func (cfg *ServerConfig) defaults() {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	if cfg.SnapshotBytesPerSecond == 0 {
		cfg.SnapshotBytesPerSecond = snapshotFactor * cfg.BytesPerSecond
	}
	if cfg.Snapshots == 0 {
		cfg.Snapshots = DefaultSnapshots
	}
	if cfg.Waiting == 0 {
		cfg.Waiting = DefaultWaiting
	}
	if cfg.Beat == 0 {
		cfg.Beat = DefaultBeat
	}
	if cfg.Liveness == (liveness.Config{}) {
		cfg.Liveness = liveness.DefaultConfig()
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New()
	}
}

// Subscriber is one attached subscriber as operators see it.
type Subscriber struct {
	Name       string
	Role       Role
	Service    string
	DataCentre string
	Agent      table.AgentNumber
	// Revision is the last one that the subscriber said is in force.
	Revision table.Revision
	// Age is how long ago the subscriber was last heard.
	Age time.Duration
}

// Server distributes the table of one control VM.
type Server struct {
	cfg       ServerConfig
	publisher *publisher
	line      *line
	silence   *silence
	count     serverCounters

	ctx     context.Context
	cancel  context.CancelFunc
	opening chan struct{}
	commits chan struct{}

	mu          sync.Mutex
	listeners   map[net.Listener]struct{}
	subscribers map[*subscriber]struct{}
	running     sync.WaitGroup
}

// NewServer starts following the source; Serve takes subscribers.
func NewServer(cfg ServerConfig) *Server {
	cfg.defaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		cfg:         cfg,
		publisher:   newPublisher(),
		line:        newLine(cfg.Snapshots, cfg.Waiting),
		count:       newServerCounters(cfg.Metrics),
		ctx:         ctx,
		cancel:      cancel,
		opening:     make(chan struct{}, handshakes),
		commits:     make(chan struct{}, handshakes),
		listeners:   map[net.Listener]struct{}{},
		subscribers: map[*subscriber]struct{}{},
	}
	s.silence = newSilence(s)
	if t := cfg.Source.Table(); t != nil {
		s.publisher.advance(t)
	}
	cfg.Metrics.Gauge("spread_subscribers", func() int64 { return int64(s.size()) })
	cfg.Metrics.Gauge("spread_snapshots_active", func() int64 { return int64(s.line.active()) })
	cfg.Metrics.Gauge("spread_snapshots_waiting", func() int64 { return int64(s.line.waiting()) })
	s.running.Add(2)
	go s.follow()
	go s.silence.run()
	return s
}

// follow takes each newer table of the source into the history.
func (s *Server) follow() {
	defer s.running.Done()
	for {
		// Changed comes before Table, or a change between the two would be missed.
		changed := s.cfg.Source.Changed()
		if t := s.cfg.Source.Table(); t != nil {
			s.publisher.advance(t)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-changed:
		}
	}
}

// Serve takes subscribers from the listener until Close.
func (s *Server) Serve(ln net.Listener) error {
	if !s.listen(ln) {
		_ = ln.Close()
		return ErrClosed
	}
	defer s.running.Done()
	for {
		select {
		case s.opening <- struct{}{}:
		case <-s.ctx.Done():
			return ErrClosed
		}
		raw, err := ln.Accept()
		if err != nil {
			<-s.opening
			if s.ctx.Err() != nil {
				return ErrClosed
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "distribution: accept")
			}
			// Out of file descriptors, for one: it passes, and the streams that are
			// open must not end for it.
			s.count.acceptErrors.Add(1)
			if !wait.For(s.ctx, acceptPause) {
				return ErrClosed
			}
			continue
		}
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			s.serve(raw)
		}()
	}
}

// listen books a listener; false after Close.
func (s *Server) listen(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.listeners[ln] = struct{}{}
	s.running.Add(1)
	return true
}

// Close ends every stream; subscribers are told to go elsewhere. Nothing is
// reported silent.
func (s *Server) Close() {
	s.mu.Lock()
	s.cancel()
	for ln := range s.listeners {
		_ = ln.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// Subscribers returns who is attached.
func (s *Server) Subscribers() []Subscriber {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Subscriber, 0, len(s.subscribers))
	for sub := range s.subscribers {
		out = append(out, sub.describe(time.Now()))
	}
	return out
}

// Adopt takes over subscribers that the replicated state says are attached via
// a control VM that died, or via this one before it restarted. Those that don't
// attach anywhere within the grace are reported silent; a report on one that
// did is void by its attachment.
func (s *Server) Adopt(role Role, lost []Silence) { s.silence.adopt(role, lost) }

func (s *Server) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.subscribers)
}

func (s *Server) add(sub *subscriber) {
	s.mu.Lock()
	s.subscribers[sub] = struct{}{}
	s.mu.Unlock()
}

func (s *Server) remove(sub *subscriber) {
	s.mu.Lock()
	delete(s.subscribers, sub)
	s.mu.Unlock()
}
