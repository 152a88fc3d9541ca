// Package target is a stand-in for the users' back ends: an HTTP/1.1 service with
// slots, feeds, downloads and submissions. Faults can be injected while it runs. Its
// ledger records which requests arrived and ran, independently of what callers saw.
package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// RequestIDHeader carries the ID under which the ledger records a request.
const RequestIDHeader = "X-Request-Id"

// DeadlineHeader carries the time until the request's deadline, in milliseconds.
const DeadlineHeader = "Bergamotstall-Deadline-Ms"

const (
	defaultSlots        = 4
	defaultFeedInterval = 200 * time.Millisecond
)

// Config is the configuration of a target.
type Config struct {
	// Service and Host identify the target in answers.
	Service string
	Host    string
	// Address is the TCP address to listen on, "ip:port"; port 0 picks one.
	Address string
	// FeedInterval is the time between two events of a feed; 0 means 200 ms.
	FeedInterval time.Duration
	// Faults are the initial faults.
	Faults Faults
}

// Target is a running stand-in target.
type Target struct {
	cfg       Config
	listener  net.Listener
	server    *http.Server
	started   time.Time
	stopFeeds chan struct{} // closed to end open feeds
	ledger    ledger
	slots     slots

	mu         sync.Mutex
	faults     Faults
	load       Load
	feedsEnded bool
}

// New starts a target that listens on the configured address.
func New(cfg Config) (*Target, error) {
	if cfg.FeedInterval <= 0 {
		cfg.FeedInterval = defaultFeedInterval
	}
	ln, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "target: listen")
	}
	t := &Target{cfg: cfg, listener: ln, started: time.Now(), stopFeeds: make(chan struct{})}
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
	mux.HandleFunc("GET /load", t.handleLoad)
	mux.HandleFunc("GET /_ledger", t.handleLedger)
	mux.HandleFunc("GET /_faults", t.handleGetFaults)
	mux.HandleFunc("POST /_faults", t.handleSetFaults)
	return mux
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Host returns the target's host name.
func (t *Target) Host() string { return t.cfg.Host }

// Stop stops the target gracefully: it ends feeds with a last event and waits for
// requests in progress.
func (t *Target) Stop(ctx context.Context) error {
	t.endFeeds()
	if err := t.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "target: stop")
	}
	return nil
}

// Kill closes all connections at once, like a crash of the process.
func (t *Target) Kill() {
	t.endFeeds()
	_ = t.server.Close()
}

// EndFeeds ends open feeds with a last event, as the first step of a planned stop. New
// requests are still answered.
func (t *Target) EndFeeds() { t.endFeeds() }

func (t *Target) endFeeds() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.feedsEnded {
		t.feedsEnded = true
		close(t.stopFeeds)
	}
}

// LedgerEntries returns the ledger's entries in order of first arrival.
func (t *Target) LedgerEntries() []LedgerEntry { return t.ledger.entries() }

// LedgerEntry returns the ledger's entry for a request ID. Its counts are zero if no
// such request arrived.
func (t *Target) LedgerEntry(id string) LedgerEntry { return t.ledger.entry(id) }
