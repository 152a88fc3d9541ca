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
	// DefaultBytesPerSecond is the byte budget for changes to one subscriber.
	DefaultBytesPerSecond = 5 << 10
	// snapshotRateFactor is how much faster snapshots may be sent than changes. A snapshot
	// of 12,000 hosts is sent once per process start, about every eight days, and until it
	// arrives the VM serves no traffic.
	snapshotRateFactor = 4
	// DefaultSnapshotLimit is how many large snapshots one VM sends at once.
	DefaultSnapshotLimit = 32
	// DefaultSnapshotQueueLimit is how many more subscribers may wait for one.
	DefaultSnapshotQueueLimit = 128
	// handshakeLimit bounds the concurrent TLS handshakes, each of which takes about 1 ms
	// of CPU time, so that a mass reconnect doesn't delay the heartbeats.
	handshakeLimit = 64
	// smallSnapshotBytes is the size up to which a snapshot bypasses the queue.
	smallSnapshotBytes = 8 << 10
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 100 * time.Millisecond
	// handshakeTimeout bounds the TLS handshake and the hello together.
	handshakeTimeout = 5 * time.Second
)

// ErrClosed is returned by Serve after Close.
var ErrClosed = errors.New("distribution: server closed")

// ServerConfig configures a Server.
type ServerConfig struct {
	// Name is the name of the control VM.
	Name      string
	Source    Source
	Registrar Registrar
	// TLS may be nil only in tests and the demo; streams are then not encrypted.
	TLS *tls.Config
	// BytesPerSecond paces the changes to one subscriber; 0 means
	// DefaultBytesPerSecond.
	BytesPerSecond int
	// SnapshotBytesPerSecond paces a snapshot to one subscriber; 0 means four times
	// BytesPerSecond.
	SnapshotBytesPerSecond int
	// SnapshotLimit bounds the large snapshots sent at once, SnapshotQueueLimit the
	// subscribers that wait for one; 0 means the defaults.
	SnapshotLimit      int
	SnapshotQueueLimit int
	// HeartbeatInterval is the interval between heartbeats; 0 means
	// DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// Liveness configures when a subscriber is reported silent; zero means the defaults.
	Liveness liveness.Config
	Log      logrus.FieldLogger
	Metrics  *metrics.Set
}

func (cfg *ServerConfig) defaults() {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	if cfg.SnapshotBytesPerSecond == 0 {
		cfg.SnapshotBytesPerSecond = snapshotRateFactor * cfg.BytesPerSecond
	}
	if cfg.SnapshotLimit == 0 {
		cfg.SnapshotLimit = DefaultSnapshotLimit
	}
	if cfg.SnapshotQueueLimit == 0 {
		cfg.SnapshotQueueLimit = DefaultSnapshotQueueLimit
	}
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
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

// Subscriber describes an attached subscriber to operators.
type Subscriber struct {
	Name       string
	Role       Role
	Service    string
	DataCentre string
	Agent      table.AgentNumber
	// Revision is the last one that the subscriber reported as in force.
	Revision table.Revision
	// Age is the time since the last message from the subscriber.
	Age time.Duration
}

// Server distributes a control VM's table to its subscribers.
type Server struct {
	cfg             ServerConfig
	publisher       *publisher
	snapshotQueue   *snapshotQueue
	silenceReporter *silenceReporter
	counters        serverCounters

	ctx         context.Context
	cancel      context.CancelFunc
	handshakes  chan struct{}
	commitSlots chan struct{}

	mu          sync.Mutex
	listeners   map[net.Listener]struct{}
	subscribers map[*subscriber]struct{}
	goroutines  sync.WaitGroup
}

// NewServer returns a server that follows the source. Serve accepts subscribers.
func NewServer(cfg ServerConfig) *Server {
	cfg.defaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		cfg:           cfg,
		publisher:     newPublisher(),
		snapshotQueue: newSnapshotQueue(cfg.SnapshotLimit, cfg.SnapshotQueueLimit),
		counters:      newServerCounters(cfg.Metrics),
		ctx:           ctx,
		cancel:        cancel,
		handshakes:    make(chan struct{}, handshakeLimit),
		commitSlots:   make(chan struct{}, handshakeLimit),
		listeners:     map[net.Listener]struct{}{},
		subscribers:   map[*subscriber]struct{}{},
	}
	s.silenceReporter = newSilenceReporter(s)
	if t := cfg.Source.Table(); t != nil {
		s.publisher.advance(t)
	}
	cfg.Metrics.Gauge("spread_subscribers", func() int64 { return int64(s.subscriberCount()) })
	cfg.Metrics.Gauge("spread_snapshots_active", func() int64 { return int64(s.snapshotQueue.active()) })
	cfg.Metrics.Gauge("spread_snapshots_waiting", func() int64 { return int64(s.snapshotQueue.waiting()) })
	s.goroutines.Add(2)
	go s.followSource()
	go s.silenceReporter.run()
	return s
}

// followSource adds each newer table of the source to the history.
func (s *Server) followSource() {
	defer s.goroutines.Done()
	for {
		// Changed is called before Table, or a change between the two would be missed.
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

// Serve accepts subscribers from the listener until Close, and then returns ErrClosed.
func (s *Server) Serve(ln net.Listener) error {
	if !s.addListener(ln) {
		_ = ln.Close()
		return ErrClosed
	}
	defer s.goroutines.Done()
	for {
		select {
		case s.handshakes <- struct{}{}:
		case <-s.ctx.Done():
			return ErrClosed
		}
		raw, err := ln.Accept()
		if err != nil {
			<-s.handshakes
			if s.ctx.Err() != nil {
				return ErrClosed
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "distribution: accept")
			}
			// Such as a lack of file descriptors. It is temporary, and must not end the
			// open streams.
			s.counters.acceptErrors.Add(1)
			if !wait.For(s.ctx, acceptRetryDelay) {
				return ErrClosed
			}
			continue
		}
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			s.serveStream(raw)
		}()
	}
}

// addListener registers a listener. It returns false after Close.
func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.listeners[ln] = struct{}{}
	s.goroutines.Add(1)
	return true
}

// Close closes the listeners and ends every stream; subscribers are told to use another VM.
// No subscriber is reported silent.
func (s *Server) Close() {
	s.mu.Lock()
	s.cancel()
	for ln := range s.listeners {
		_ = ln.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// Subscribers returns the attached subscribers.
func (s *Server) Subscribers() []Subscriber {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Subscriber, 0, len(s.subscribers))
	for sub := range s.subscribers {
		out = append(out, sub.status(time.Now()))
	}
	return out
}

// Adopt takes over subscribers that, by the replicated state, are attached to a control VM
// that died, or to this one before its restart. Those that don't attach to any VM within
// the grace period are reported silent; a report on one that did is void, as its attachment
// number is outdated.
func (s *Server) Adopt(role Role, lost []Silence) { s.silenceReporter.adopt(role, lost) }

func (s *Server) subscriberCount() int {
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
