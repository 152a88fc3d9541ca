// Package proxy carries requests from callers to the target beside the agent,
// or to another agent of the service, and answers back. It executes what the
// decision packages admission, retry, placement and idempotency say.
//
// A request ends in one of three ways: a target's answer, whole; refused as not
// run, where no target saw a byte of it; or unknown, where a target saw some of
// it and no answer came. The border between the last two is the hand-over: the
// moment at which a connection to the target is ready to be written.
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

// Config describes one agent's relay.
type Config struct {
	// Service and Host are the agent's own; requests for another service are
	// refused.
	Service string
	Host    string
	// Target is the target's TCP address, "ip:port".
	Target string
	// Peer is the TCP address to listen on for other agents, "ip:port".
	Peer string
	// TLS protects connections between agents; nil is plain TCP.
	TLS    *PeerTLS
	Limits Limits
	// ShedUnrun is the operator's word that a target which answers 503 has run
	// nothing of the request. Such submissions then go to other targets.
	ShedUnrun bool
	// TableAge tells how long ago control last confirmed the table; nil means
	// that it is always fresh.
	TableAge func() time.Duration
	// Clock tells the time; nil means time.Now.
	Clock func() time.Time
	// Log takes numbered events; nil discards them.
	Log logrus.FieldLogger
	// Metrics takes the counters; nil means a set of its own.
	Metrics *metrics.Set
}

// PeerTLS holds both ends of the connections between agents, as package keys
// makes them for the role of an agent.
type PeerTLS struct {
	Server *tls.Config
	Client *tls.Config
}

// Limits bound what one agent takes on. A zero field means its default.
type Limits struct {
	// Slots and Connections are the host's, until the table names others.
	Slots       int
	Connections int
	// Queue bounds the waiting requests, until the table names another bound.
	Queue int
	// QueueTime bounds the waiting of a request without a deadline.
	QueueTime time.Duration
	// AnswerTime bounds the wait for the head of the target's answer.
	AnswerTime time.Duration
	// SlotTime is how long after the head of its answer a request keeps its
	// slot; a feed gives it back at the head.
	SlotTime time.Duration
	// KeyedBody bounds the body of a submission with an idempotency key, which
	// is held in memory, in bytes.
	KeyedBody int64
}

// Defaults of Limits.
const (
	defaultSlots       = 4
	defaultConnections = 2000
	// defaultQueue is two to four turns of today's slots: enough that draining a
	// data centre refuses next to nobody; longer queues only make others wait,
	// see docs/PLACEMENT.md.
	defaultQueue      = 16
	defaultQueueTime  = 10 * time.Second
	defaultAnswerTime = 60 * time.Second
	// defaultSlotTime covers answers that compute on behind their head; longer
	// ones keep slots for downloads that only stream, see docs/PLACEMENT.md.
	defaultSlotTime  = 100 * time.Millisecond
	defaultKeyedBody = 1 << 20
)

func (l Limits) withDefaults() Limits {
	return Limits{
		Slots:       orDefault(l.Slots, defaultSlots),
		Connections: orDefault(l.Connections, defaultConnections),
		Queue:       orDefault(l.Queue, defaultQueue),
		QueueTime:   orDefault(l.QueueTime, defaultQueueTime),
		AnswerTime:  orDefault(l.AnswerTime, defaultAnswerTime),
		SlotTime:    orDefault(l.SlotTime, defaultSlotTime),
		KeyedBody:   orDefault(l.KeyedBody, defaultKeyedBody),
	}
}

func orDefault[T int | int64 | time.Duration](value, standard T) T {
	if value <= 0 {
		return standard
	}
	return value
}

// ErrConfig is returned by New for a configuration that can't work.
var ErrConfig = errors.New("proxy: bad configuration")

// Relay is one agent's end of the request's way.
type Relay struct {
	cfg    Config
	log    logrus.FieldLogger
	origin time.Time
	count  counters
	gate   *gate
	target *targetClient

	table    atomic.Pointer[table.Table]
	agent    atomic.Uint32
	draining atomic.Bool
	inFlight atomic.Int64

	budgetMu sync.Mutex
	budget   *retry.Budget

	keeper     keeper
	nonce      atomic.Uint64
	keyedBytes atomic.Int64
	frames     *frameClient
	peerHTTP   *http.Transport
	background sync.WaitGroup

	silent     silence
	condition  condition
	healthWell atomic.Bool
	complaints complaints

	peerAddress atomic.Value // string
}

// New returns a relay that takes requests at once. Peers reach it after Run.
func New(cfg Config) (*Relay, error) {
	if cfg.Service == "" || cfg.Host == "" || cfg.Target == "" {
		return nil, errors.Wrap(ErrConfig, "service, host and target must be set")
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = discard()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New()
	}
	cfg.Limits = cfg.Limits.withDefaults()
	x := &Relay{
		cfg:    cfg,
		log:    cfg.Log,
		origin: cfg.Clock(),
		count:  counters{set: cfg.Metrics},
		budget: retry.NewBudget(0),
	}
	x.gate = newGate(x.now, admission.Config{
		Slots:       cfg.Limits.Slots,
		Connections: cfg.Limits.Connections,
		Queue:       cfg.Limits.Queue,
	})
	x.target = newTargetClient(cfg.Target, cfg.Limits)
	x.frames = newFrameClient(cfg.Service, cfg.TLS)
	x.peerHTTP = newPeerTransport(cfg.TLS, cfg.Limits)
	x.publish()
	return x, nil
}

// now is the time in the terms of the decision packages.
func (x *Relay) now() time.Duration { return x.cfg.Clock().Sub(x.origin) }

// SetAgent tells the number that control gave to this incarnation.
func (x *Relay) SetAgent(n table.AgentNumber) {
	x.agent.Store(uint32(n))
	x.reconfigure()
}

func (x *Relay) self() table.AgentNumber { return table.AgentNumber(x.agent.Load()) }

// Apply puts a table in force for requests from now on. A table with a lower
// revision than the one in force is ignored.
func (x *Relay) Apply(t *table.Table) {
	old := x.table.Load()
	if t == nil || (old != nil && t.Revision < old.Revision) {
		return
	}
	x.table.Store(t)
	x.reconfigure()
}

// reconfigure takes the limits over that the table sets for this host.
func (x *Relay) reconfigure() {
	t := x.table.Load()
	if t == nil {
		return
	}
	cfg := admission.Config{Slots: x.cfg.Limits.Slots, Connections: x.cfg.Limits.Connections, Queue: x.cfg.Limits.Queue}
	if own, ok := t.Target(x.self()); ok {
		cfg.Slots = orDefault(own.Slots, cfg.Slots)
		cfg.Connections = orDefault(own.Connections, cfg.Connections)
	}
	if s, ok := t.ServiceNamed(x.cfg.Service); ok {
		cfg.Queue = orDefault(s.QueueLimit, cfg.Queue)
		x.budgetMu.Lock()
		x.budget.SetPercent(s.RetryPercent)
		x.budgetMu.Unlock()
	}
	x.gate.configure(cfg)
	x.resetKeeper(idempotency.Lookback(x.window()))
	x.frames.forget(func(n table.AgentNumber) bool {
		peer, ok := t.Target(n)
		return ok && peer.State != table.Retired
	})
}

func nobody(table.AgentNumber) bool { return false }

// Drain sends new requests to other agents from now on. Requests in progress
// and waiting ones go on.
func (x *Relay) Drain() { x.draining.Store(true) }

// drained tells whether this host takes no new work, by its own word or by the
// table's.
func (x *Relay) drained() bool {
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

// InFlight returns the requests that wait, run or stream here, those for other
// agents' callers included.
func (x *Relay) InFlight() int { return int(x.inFlight.Load()) }
