// Package proxy forwards callers' requests to the target next to the agent, or to another
// agent of the service, and returns the responses. It acts on the decisions of packages
// admission, retry, placement and idempotency.
//
// A request has one of three outcomes: a target's complete response; refused as not run,
// if no target received a byte of it; or unknown, if a target received some of it and no
// response arrived. A request counts as received once a connection to the target is ready
// for writing.
package proxy

import (
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/admission"
	"bergamotstall/internal/idempotency"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/retry"
	"bergamotstall/internal/table"
)

// Config configures one agent's proxy.
type Config struct {
	// Service and Host are the agent's own; requests for other services are refused.
	Service string
	Host    string
	// Target is the target's TCP address, "ip:port".
	Target string
	// PeerListenAddress is the TCP address to listen on for other agents, "ip:port".
	PeerListenAddress string
	// TLS secures connections between agents; nil means plain TCP.
	TLS    *PeerTLS
	Limits Limits
	// ShedMeansNotRun is set by the operator to declare that the target hasn't run a request
	// that it answers with 503. Such requests are then retried at other targets, whatever
	// their method.
	ShedMeansNotRun bool
	// TableAge returns the time since control last confirmed the table; nil means that
	// the table always counts as fresh.
	TableAge func() time.Duration
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Log receives numbered events; nil discards them.
	Log logrus.FieldLogger
	// Metrics receives the counters; nil means a separate set.
	Metrics *metrics.Set
}

// PeerTLS holds the TLS configurations for both ends of connections between agents, as
// package keys creates them for the agent role.
type PeerTLS struct {
	Server *tls.Config
	Client *tls.Config
}

// Limits bound the load of one agent. A zero field means the default.
type Limits struct {
	// Slots and Connections apply until the table sets others for the host.
	Slots       int
	Connections int
	// Queue is the maximum number of waiting requests, until the table sets another.
	Queue int
	// QueueTimeout bounds the wait of a request without a deadline.
	QueueTimeout time.Duration
	// AnswerTimeout bounds the wait for the head of the target's response.
	AnswerTimeout time.Duration
	// SlotTimeAfterHead is how long a request keeps its slot after the head of its
	// response; a feed releases it at the head.
	SlotTimeAfterHead time.Duration
	// MaxKeyedBody is the maximum body size, in bytes, of a request with an idempotency
	// key, whose body is buffered in memory.
	MaxKeyedBody int64
}

// Defaults of Limits.
const (
	defaultSlots       = 4
	defaultConnections = 2000
	// defaultQueue is two to four times the usual number of slots: enough for draining a
	// data centre with almost no refusals. A longer queue only adds waiting time; see
	// docs/PLACEMENT.md.
	defaultQueue         = 16
	defaultQueueTimeout  = 10 * time.Second
	defaultAnswerTimeout = 60 * time.Second
	// defaultSlotTimeAfterHead covers responses that are still being computed after their
	// head is sent. A longer time would hold slots for downloads that only stream; see
	// docs/PLACEMENT.md.
	defaultSlotTimeAfterHead = 100 * time.Millisecond
	defaultMaxKeyedBody      = 1 << 20
)

func (l Limits) withDefaults() Limits {
	return Limits{
		Slots:             orDefault(l.Slots, defaultSlots),
		Connections:       orDefault(l.Connections, defaultConnections),
		Queue:             orDefault(l.Queue, defaultQueue),
		QueueTimeout:      orDefault(l.QueueTimeout, defaultQueueTimeout),
		AnswerTimeout:     orDefault(l.AnswerTimeout, defaultAnswerTimeout),
		SlotTimeAfterHead: orDefault(l.SlotTimeAfterHead, defaultSlotTimeAfterHead),
		MaxKeyedBody:      orDefault(l.MaxKeyedBody, defaultMaxKeyedBody),
	}
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// ErrConfig is returned by New for an incomplete configuration.
var ErrConfig = errors.New("proxy: invalid configuration")

// Proxy is one agent's HTTP proxy between callers, the agent's target and its peers.
type Proxy struct {
	cfg       Config
	log       logrus.FieldLogger
	startTime time.Time
	counters  counters
	admitter  *admitter
	target    *targetClient

	table    atomic.Pointer[table.Table]
	agent    atomic.Uint32
	draining atomic.Bool
	inFlight atomic.Int64

	budgetMu sync.Mutex
	budget   *retry.Budget

	voter         lockedVoter
	nonce         atomic.Uint64
	bufferedBytes atomic.Int64
	frames        *frameClient
	peerHTTP      *http.Transport
	background    sync.WaitGroup

	latePeers       latePeers
	health          targetHealth
	endpointHealthy atomic.Bool
	repeatLog       repeatLog

	peerAddress atomic.Value // string
}

// New returns a proxy that accepts callers' requests at once. Peers can reach it once Run
// is called.
func New(cfg Config) (*Proxy, error) {
	if cfg.Service == "" || cfg.Host == "" || cfg.Target == "" {
		return nil, errors.Wrap(ErrConfig, "service, host and target must be set")
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = discardLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New()
	}
	cfg.Limits = cfg.Limits.withDefaults()
	x := &Proxy{
		cfg:       cfg,
		log:       cfg.Log,
		startTime: cfg.Clock(),
		counters:  counters{set: cfg.Metrics},
		budget:    retry.NewBudget(0),
	}
	x.admitter = newAdmitter(x.now, admission.Config{
		Slots:           cfg.Limits.Slots,
		ConnectionLimit: cfg.Limits.Connections,
		QueueLimit:      cfg.Limits.Queue,
	})
	x.target = newTargetClient(cfg.Target, cfg.Limits)
	x.frames = newFrameClient(cfg.Service, cfg.TLS)
	x.peerHTTP = newPeerTransport(cfg.TLS, cfg.Limits)
	x.registerGauges()
	return x, nil
}

// now returns the time since the proxy was created, as the decision packages expect it.
func (x *Proxy) now() time.Duration { return x.cfg.Clock().Sub(x.startTime) }

// SetAgentNumber sets the number that control assigned to this agent's incarnation.
func (x *Proxy) SetAgentNumber(n table.AgentNumber) {
	x.agent.Store(uint32(n))
	x.reconfigure()
}

func (x *Proxy) self() table.AgentNumber { return table.AgentNumber(x.agent.Load()) }

// ApplyTable puts a table into effect for requests from now on. A table with a lower revision
// than the current one is ignored.
func (x *Proxy) ApplyTable(t *table.Table) {
	old := x.table.Load()
	if t == nil || (old != nil && t.Revision < old.Revision) {
		return
	}
	x.table.Store(t)
	x.reconfigure()
}

// reconfigure applies the table's limits for this host and service.
func (x *Proxy) reconfigure() {
	t := x.table.Load()
	if t == nil {
		return
	}
	cfg := admission.Config{Slots: x.cfg.Limits.Slots, ConnectionLimit: x.cfg.Limits.Connections, QueueLimit: x.cfg.Limits.Queue}
	if own, ok := t.Target(x.self()); ok {
		cfg.Slots = orDefault(own.Slots, cfg.Slots)
		cfg.ConnectionLimit = orDefault(own.Connections, cfg.ConnectionLimit)
	}
	if s, ok := t.ServiceNamed(x.cfg.Service); ok {
		cfg.QueueLimit = orDefault(s.QueueLimit, cfg.QueueLimit)
		x.budgetMu.Lock()
		x.budget.SetPercent(s.RetryPercent)
		x.budgetMu.Unlock()
	}
	x.admitter.configure(cfg)
	x.configureVoter(idempotency.Lookback(x.keyWindow()))
	x.frames.closeIdle(func(n table.AgentNumber) bool {
		peer, ok := t.Target(n)
		return ok && peer.State != table.Retired
	})
}

func noAgent(table.AgentNumber) bool { return false }

// Drain sends new requests to other agents from now on. Running and waiting requests
// continue.
func (x *Proxy) Drain() { x.draining.Store(true) }

// isDraining tells whether this host takes no new requests, because of Drain or its state
// in the table.
func (x *Proxy) isDraining() bool {
	if x.draining.Load() {
		return true
	}
	t := x.table.Load()
	if t == nil {
		return false
	}
	own, ok := t.Target(x.self())
	return ok && own.State != table.Active
}

// InFlight returns the number of requests that wait, run or stream here, including those
// forwarded by other agents.
func (x *Proxy) InFlight() int { return int(x.inFlight.Load()) }
