// Package target is a stand-in for the users' back ends: an HTTP/1.1 service
// with slots, feeds, downloads and submissions, whose faults can be set while
// it runs. Its ledger says what was really seen and run, so that a checker
// needn't believe what callers were told.
package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// RequestIDHeader carries the identity under which the ledger records a
// request.
const RequestIDHeader = "X-Request-Id"

// DeadlineHeader carries the time that is left to the caller, in milliseconds.
const DeadlineHeader = "Bergamotstall-Deadline-Ms"

const (
	defaultSlots        = 4
	defaultFeedInterval = 200 * time.Millisecond
)

// Config describes one target.
type Config struct {
	// Service and Host name the target in answers.
	Service string
	Host    string
	// Address is the TCP address to listen on, "ip:port"; port 0 picks one.
	Address string
	// FeedInterval is the time between two events of a feed; 0 means 200 ms.
	FeedInterval time.Duration
	// Faults are in force from the start.
	Faults Faults
}

// Target is one running stand-in.
type Target struct {
	cfg      Config
	listener net.Listener
	server   *http.Server
	started  time.Time
	stopping chan struct{}
	ledger   ledger
	slots    slots

	mu     sync.Mutex
	faults Faults
	load   Load
	closed bool
}

// New listens on the configured address and serves at once.
func New(cfg Config) (*Target, error) {
	if cfg.FeedInterval <= 0 {
		cfg.FeedInterval = defaultFeedInterval
	}
	ln, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "target: listen")
	}
	t := &Target{cfg: cfg, listener: ln, started: time.Now(), stopping: make(chan struct{})}
	t.SetFaults(cfg.Faults)
	t.server = &http.Server{Handler: t.routes()}
	go func() { _ = t.server.Serve(ln) }()
	return t, nil
}

func (t *Target) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /feed", t.withFaults(t.feed))
	mux.HandleFunc("GET /download", t.withFaults(t.download))
	mux.HandleFunc("POST /submit", t.withFaults(t.submit))
	mux.HandleFunc("GET /health", t.health)
	mux.HandleFunc("GET /load", t.answerLoad)
	mux.HandleFunc("GET /_ledger", t.answerLedger)
	mux.HandleFunc("GET /_faults", t.answerFaults)
	mux.HandleFunc("POST /_faults", t.takeFaults)
	return mux
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Host returns the target's host name.
func (t *Target) Host() string { return t.cfg.Host }

// Stop is a graceful stop: feeds get their last event, requests in progress end.
func (t *Target) Stop(ctx context.Context) error {
	t.endFeeds()
	if err := t.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "target: stop")
	}
	return nil
}

// Kill cuts every connection at once, as the death of the process does.
func (t *Target) Kill() {
	t.endFeeds()
	_ = t.server.Close()
}

// EndFeeds gives open feeds their last event, as the first step of a planned
// stop; new requests are still answered.
func (t *Target) EndFeeds() { t.endFeeds() }

func (t *Target) endFeeds() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.closed = true
		close(t.stopping)
	}
}

// Runs returns the ledger, in order of first sight.
func (t *Target) Runs() []Run { return t.ledger.all() }

// Run returns the ledger's entry for one request identity; its counts are zero
// where the target never saw it.
func (t *Target) Run(id string) Run { return t.ledger.one(id) }
