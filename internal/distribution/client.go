package distribution

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/table"
	"bergamotstall/internal/wait"
)

const (
	// DefaultHeartbeatInterval is the interval between heartbeats in both directions.
	// Three missed ones end a stream. Of the nine seconds in which a change must be in
	// force, this leaves six to move to another VM and catch up.
	DefaultHeartbeatInterval = time.Second
	missedHeartbeats         = 3
	// DefaultMaxContactAge is the quorum contact age above which a subscriber leaves a
	// VM. The age of a connected VM is well below 0.5 s, and a change of leader, which
	// isn't worth a move, takes about 1.5 s. A VM that is cut off must be left early
	// enough for a change to arrive through another VM within nine seconds.
	DefaultMaxContactAge = 2 * time.Second
	// maxBehindTime is how long a VM may be behind its subscriber's revision.
	maxBehindTime = 3 * time.Second
	// dialTimeout bounds connecting and the TLS handshake.
	dialTimeout = 3 * time.Second
	// writeTimeout bounds one write, as a peer may have stopped reading.
	writeTimeout = 10 * time.Second
	// frameLimitBytes bounds a frame. The largest frames hold a part of an update.
	frameLimitBytes = 64 << 10
)

// Errors that end a subscriber's stream.
var (
	// ErrNoControls is returned by Client.Run if no control VMs are configured.
	ErrNoControls = errors.New("distribution: no control VMs configured")

	errTLS              = errors.New("distribution: TLS with a control VM failed")
	errStale            = errors.New("distribution: control VM has lost contact with a quorum")
	errBehind           = errors.New("distribution: control VM is behind the subscriber's revision")
	errRefused          = errors.New("distribution: control VM refused the stream")
	errProtocol         = errors.New("distribution: unexpected frame")
	errRepeatedMismatch = errors.New("distribution: table still differs from control's after repeated resyncs")
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Controls are the addresses of the control VMs, "ip:port".
	Controls []string
	// TLS may be nil only in tests and the demo; the stream is then not encrypted.
	TLS          *tls.Config
	Role         Role
	Announcement Announcement
	// MaxContactAge is the quorum contact age of a control VM above which the client moves
	// to another control VM; 0 means DefaultMaxContactAge.
	MaxContactAge time.Duration
	// HeartbeatInterval is the interval between heartbeats; 0 means
	// DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// OnAgentNumber, if not nil, is called with each number that control assigns to this
	// agent. Client.AgentNumber returns the last one.
	OnAgentNumber func(table.AgentNumber)
	// StateFile is the file that keeps the last table across restarts; empty for none.
	StateFile string
	// Seed seeds the random delays; 0 means a random seed.
	Seed    uint64
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Status is the state of a subscriber.
type Status struct {
	// Control is the address of the VM that the subscriber is attached to, or empty.
	Control string
	// Revision is that of the table in force, 0 before the first one.
	Revision table.Revision
	// ConfirmedAge is how long ago a quorum was last known to have confirmed the table.
	ConfirmedAge time.Duration
	// WithoutControlSince is the time of that confirmation if it is too old, zero while it
	// is recent.
	WithoutControlSince time.Time
}

// Client is a subscriber that keeps itself attached to a control VM.
type Client struct {
	cfg      ClientConfig
	apply    func(*table.Table) error
	random   *rand.Rand
	selector *controlSelector
	view     view
	counters clientCounters

	// reannounce wakes the stream's sender.
	reannounce chan struct{}

	mu           sync.Mutex
	held         *table.Table
	inForce      table.Revision
	announcement Announcement
	number       table.AgentNumber
	control      string
	// active is set while the table gives this process new flows.
	active              bool
	confirmedAt         time.Time
	withoutControlSince time.Time
}

// NewClient returns a subscriber that calls apply with each newer table, never with a
// lower revision and never concurrently. A table for which apply returns an error isn't in
// force, and is reported to control as such.
func NewClient(cfg ClientConfig, apply func(*table.Table) error) *Client {
	if cfg.MaxContactAge == 0 {
		cfg.MaxContactAge = DefaultMaxContactAge
	}
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.New()
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	now := time.Now()
	c := &Client{
		cfg:                 cfg,
		apply:               apply,
		random:              rand.New(rand.NewPCG(cfg.Seed, cfg.Announcement.Incarnation)),
		view:                viewOf(cfg.Role, cfg.Announcement),
		reannounce:          make(chan struct{}, 1),
		announcement:        cfg.Announcement,
		held:                &table.Table{},
		confirmedAt:         now,
		withoutControlSince: now,
	}
	c.selector = newControlSelector(cfg.Controls, cfg.Announcement.Name, c.random)
	c.counters = newClientCounters(cfg.Metrics)
	c.registerMetrics()
	return c
}

// registerMetrics exports the status as metrics.
func (c *Client) registerMetrics() {
	m := c.cfg.Metrics
	m.Gauge("control_revision", func() int64 { return int64(c.Status().Revision) })
	m.Gauge("control_word_age_ms", func() int64 { return c.Status().ConfirmedAge.Milliseconds() })
	m.Gauge("control_without_since_unix_ms", func() int64 {
		since := c.Status().WithoutControlSince
		if since.IsZero() {
			return 0
		}
		return since.UnixMilli()
	})
	m.Text("control_attached_to", func() string { return c.Status().Control })
}

// Run keeps the subscriber attached until ctx is done. An unreachable control is no error:
// the table stays in use, and Status tells since when it is unconfirmed.
func (c *Client) Run(ctx context.Context) error {
	if len(c.cfg.Controls) == 0 {
		return ErrNoControls
	}
	c.restore()
	for ctx.Err() == nil {
		address, pause := c.selector.next(time.Now())
		if !wait.For(ctx, pause) {
			return nil
		}
		c.counters.attempts.Add(1)
		err := c.attach(ctx, address)
		c.recordDetached(ctx, address, err)
	}
	return nil
}

// recordDetached records the end of a stream.
func (c *Client) recordDetached(ctx context.Context, address string, err error) {
	c.mu.Lock()
	was := c.control != ""
	c.control = ""
	c.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	c.counters.countEnd(err)
	c.checkContact(time.Now())
	if was {
		events.Log(c.cfg.Log, events.ControlStreamEnded, logrus.Fields{"control": address, "error": err})
	}
}

// Status returns the current state of the subscriber.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{
		Control:             c.control,
		Revision:            c.inForce,
		ConfirmedAge:        time.Since(c.confirmedAt),
		WithoutControlSince: c.withoutControlSince,
	}
}

// AgentNumber returns the number that control assigned to this incarnation, or 0 before
// that.
func (c *Client) AgentNumber() table.AgentNumber {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.number
}

// SetDraining tells control whether this agent is about to stop.
func (c *Client) SetDraining(draining bool) {
	c.mu.Lock()
	c.announcement.Draining = draining
	c.mu.Unlock()
	c.wakeSender()
}

// nextAnnouncement returns the announcement with a new attachment number.
func (c *Client) nextAnnouncement() Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announcement.Attachment++
	return c.announcement
}

func (c *Client) heldRevision() table.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held.Revision
}

// useTable puts a newer table in use. It writes the state file first, as a restart right
// after apply must not return to the previous revision.
func (c *Client) useTable(next *table.Table) {
	c.save(next)
	c.mu.Lock()
	c.held = next
	c.mu.Unlock()
	c.applyTable(next)
	c.checkActive(next)
}

// applyTable passes a table to the data path.
func (c *Client) applyTable(t *table.Table) {
	if err := c.apply(t); err != nil {
		c.counters.tableRefused.Add(1)
		return
	}
	c.mu.Lock()
	c.inForce = t.Revision
	c.mu.Unlock()
}

// currentHeartbeat returns the content of a heartbeat to control.
func (c *Client) currentHeartbeat() heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return heartbeat{Revision: c.held.Revision, InForce: c.inForce}
}

// checkActive announces this process again if the table stops giving it new flows although
// it is alive. The control VM to which it was attached may have been cut off together with
// it and taken for dead. An operator's drain looks the same to the process, but isn't
// undone by an announcement.
func (c *Client) checkActive(t *table.Table) {
	c.mu.Lock()
	was := c.active
	c.active = c.isActive(t)
	lost := was && !c.active && !c.announcement.Draining
	c.mu.Unlock()
	if lost {
		c.counters.takenOut.Add(1)
		c.wakeSender()
	}
}

// isActive reports whether the table gives this process new flows.
func (c *Client) isActive(t *table.Table) bool {
	if c.cfg.Role == RoleAgent {
		own, ok := t.Target(c.number)
		return ok && own.State == table.Active
	}
	return slices.ContainsFunc(t.Balancers, func(b table.Balancer) bool { return b.Name == c.announcement.Name })
}

// wakeSender makes the stream's sender announce this process again. Without a stream, the
// hello of the next one announces it.
func (c *Client) wakeSender() {
	select {
	case c.reannounce <- struct{}{}:
	default:
	}
}

// recordContact records when a quorum last confirmed the table.
func (c *Client) recordContact(contactAge time.Duration, now time.Time) {
	c.mu.Lock()
	if at := now.Add(-contactAge); at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
	c.mu.Unlock()
	c.checkContact(now)
}

// checkContact logs when the last confirmation becomes too old, and when a recent one
// arrives again.
func (c *Client) checkContact(now time.Time) {
	c.mu.Lock()
	fresh := c.control != "" && now.Sub(c.confirmedAt) <= c.cfg.MaxContactAge
	was := c.withoutControlSince.IsZero()
	if fresh {
		c.withoutControlSince = time.Time{}
	}
	lost := !fresh && was && now.Sub(c.confirmedAt) > c.cfg.MaxContactAge
	if lost {
		c.withoutControlSince = c.confirmedAt
	}
	c.mu.Unlock()
	if fresh && !was {
		events.Log(c.cfg.Log, events.ControlCurrent, nil)
	}
	if lost {
		events.Log(c.cfg.Log, events.ControlWithoutQuorum, logrus.Fields{"revision": c.heldRevision()})
	}
}
