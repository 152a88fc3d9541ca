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
	// DefaultBeat is the pause between heartbeats, both ways. Three missed ones
	// end a stream, which leaves six of the nine seconds in which a change must be
	// in force for moving to another VM and catching up.
	DefaultBeat = time.Second
	missedBeats = 3
	// DefaultStaleBound is the quorum contact age over which a subscriber leaves a
	// VM. A VM in touch has well under half a second and a change of leader takes
	// about one and a half, which isn't worth a move; a VM that is cut off must
	// be left early enough for a change to arrive elsewhere within nine seconds.
	DefaultStaleBound = 2 * time.Second
	// behindBound is how long a VM may be behind its subscriber's revision.
	behindBound = 3 * time.Second
	// dialTimeout bounds connecting and the TLS handshake.
	dialTimeout = 3 * time.Second
	// writeTimeout bounds one write to a peer that reads nothing.
	writeTimeout = 10 * time.Second
	// frameLimit bounds a frame: the largest holds a part of an update.
	frameLimit = 64 << 10
)

// Errors that end a subscriber's stream.
var (
	// ErrNoControls is returned for a client without control VMs.
	ErrNoControls = errors.New("distribution: no control VMs given")

	errTLS      = errors.New("distribution: TLS with a control VM failed")
	errStale    = errors.New("distribution: control VM is out of touch with a quorum")
	errBehind   = errors.New("distribution: control VM is behind the revision held")
	errRefused  = errors.New("distribution: control VM refused the stream")
	errProtocol = errors.New("distribution: unexpected frame")
	errMismatch = errors.New("distribution: table differs from control's again and again")
)

// ClientConfig is what a subscriber needs.
type ClientConfig struct {
	// Controls are the addresses of the control VMs, "ip:port".
	Controls []string
	// TLS is nil only in tests and the demo.
	TLS          *tls.Config
	Role         Role
	Announcement Announcement
	// StaleBound is the quorum contact age over which a VM is left; 0 means
	// DefaultStaleBound.
	StaleBound time.Duration
	// Beat is the pause between heartbeats; 0 means DefaultBeat.
	Beat time.Duration
	// Numbered is called with each number that control assigns to this agent;
	// nil for nobody. AgentNumber tells the last one.
	Numbered func(table.AgentNumber)
	// StateFile keeps the last table across restarts; empty keeps none.
	StateFile string
	// Seed makes the order of waits repeatable; 0 takes a random one.
	Seed    uint64
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Status is where a subscriber stands.
type Status struct {
	// Control is the address of the VM attached to, empty where there is none.
	Control string
	// Revision is that of the table in force, 0 before the first.
	Revision table.Revision
	// WordAge is how long ago a quorum was last known to stand behind the table.
	WordAge time.Duration
	// WithoutControlSince is when control's word ceased to be fresh; zero while
	// it is.
	WithoutControlSince time.Time
}

// Client keeps a subscriber attached to a control VM.
type Client struct {
	cfg    ClientConfig
	apply  func(*table.Table) error
	random *rand.Rand
	choose *chooser
	view   view
	count  clientCounters

	// reannounce wakes the stream's sender.
	reannounce chan struct{}

	mu           sync.Mutex
	held         *table.Table
	inForce      table.Revision
	announcement Announcement
	number       table.AgentNumber
	control      string
	// offered is set while the table offers this process new work.
	offered      bool
	wordAt       time.Time
	withoutSince time.Time
}

// NewClient returns a subscriber that calls apply with each newer table, never
// with a lower revision, and never twice at once. A table for which apply
// returns an error isn't in force, and control is told so.
func NewClient(cfg ClientConfig, apply func(*table.Table) error) *Client {
	if cfg.StaleBound == 0 {
		cfg.StaleBound = DefaultStaleBound
	}
	if cfg.Beat == 0 {
		cfg.Beat = DefaultBeat
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
		cfg:          cfg,
		apply:        apply,
		random:       rand.New(rand.NewPCG(cfg.Seed, cfg.Announcement.Incarnation)),
		view:         viewOf(cfg.Role, cfg.Announcement),
		reannounce:   make(chan struct{}, 1),
		announcement: cfg.Announcement,
		held:         &table.Table{},
		wordAt:       now,
		withoutSince: now,
	}
	c.choose = newChooser(cfg.Controls, cfg.Announcement.Name, c.random)
	c.count = newClientCounters(cfg.Metrics)
	c.publish()
	return c
}

// publish makes the status visible in the metrics.
func (c *Client) publish() {
	m := c.cfg.Metrics
	m.Gauge("control_revision", func() int64 { return int64(c.Status().Revision) })
	m.Gauge("control_word_age_ms", func() int64 { return c.Status().WordAge.Milliseconds() })
	m.Gauge("control_without_since_unix_ms", func() int64 {
		since := c.Status().WithoutControlSince
		if since.IsZero() {
			return 0
		}
		return since.UnixMilli()
	})
	m.Text("control_attached_to", func() string { return c.Status().Control })
}

// Run keeps attached until ctx is done. Control's absence is no error: the
// table stays in use and Status says since when it is unconfirmed.
func (c *Client) Run(ctx context.Context) error {
	if len(c.cfg.Controls) == 0 {
		return ErrNoControls
	}
	c.restore()
	for ctx.Err() == nil {
		address, pause := c.choose.next(time.Now())
		if !wait.For(ctx, pause) {
			return nil
		}
		c.count.attempts.Add(1)
		err := c.attach(ctx, address)
		c.detached(ctx, address, err)
	}
	return nil
}

// detached books the end of a stream.
func (c *Client) detached(ctx context.Context, address string, err error) {
	c.mu.Lock()
	was := c.control != ""
	c.control = ""
	c.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	c.count.ended(err)
	c.checkWord(time.Now())
	if was {
		events.Log(c.cfg.Log, events.ControlLeft, logrus.Fields{"control": address, "error": err})
	}
}

// Status tells where the subscriber stands.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{
		Control:             c.control,
		Revision:            c.inForce,
		WordAge:             time.Since(c.wordAt),
		WithoutControlSince: c.withoutSince,
	}
}

// AgentNumber returns the number that control gave this incarnation, 0 until
// then.
func (c *Client) AgentNumber() table.AgentNumber {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.number
}

// SetDraining tells control that this agent is about to stop, or that it isn't
// any more.
func (c *Client) SetDraining(draining bool) {
	c.mu.Lock()
	c.announcement.Draining = draining
	c.mu.Unlock()
	c.announceAgain()
}

// nextAnnouncement returns what to announce, under a new attachment.
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

// take puts a newer table in use. The state file comes first: a restart right
// after apply must not fall back to the revision before.
func (c *Client) take(next *table.Table) {
	c.save(next)
	c.mu.Lock()
	c.held = next
	c.mu.Unlock()
	c.force(next)
	c.noticeOwn(next)
}

// force hands a table to the data path.
func (c *Client) force(t *table.Table) {
	if err := c.apply(t); err != nil {
		c.count.tableRefused.Add(1)
		return
	}
	c.mu.Lock()
	c.inForce = t.Revision
	c.mu.Unlock()
}

// standing is what a heartbeat tells control.
func (c *Client) standing() beat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return beat{Revision: c.held.Revision, InForce: c.inForce}
}

// noticeOwn announces again when the table ceases to offer this process, which
// is plainly alive: the control VM that it was attached to may have been cut off
// together with it, and been taken for dead. An operator's drain looks the same
// from here and isn't undone by an announcement.
func (c *Client) noticeOwn(t *table.Table) {
	c.mu.Lock()
	was := c.offered
	c.offered = c.offers(t)
	lost := was && !c.offered && !c.announcement.Draining
	c.mu.Unlock()
	if lost {
		c.count.takenOut.Add(1)
		c.announceAgain()
	}
}

func (c *Client) offers(t *table.Table) bool {
	if c.cfg.Role == RoleAgent {
		own, ok := t.Target(c.number)
		return ok && own.State == table.Active
	}
	return slices.ContainsFunc(t.Balancers, func(b table.Balancer) bool { return b.Name == c.announcement.Name })
}

// announceAgain wakes the stream's sender; without a stream the next hello does.
func (c *Client) announceAgain() {
	select {
	case c.reannounce <- struct{}{}:
	default:
	}
}

// heard notes how old control's word is.
func (c *Client) heard(contactAge time.Duration, now time.Time) {
	c.mu.Lock()
	if at := now.Add(-contactAge); at.After(c.wordAt) {
		c.wordAt = at
	}
	c.mu.Unlock()
	c.checkWord(now)
}

// checkWord logs when control's word ceases to be fresh, and when it is again.
func (c *Client) checkWord(now time.Time) {
	c.mu.Lock()
	fresh := c.control != "" && now.Sub(c.wordAt) <= c.cfg.StaleBound
	was := c.withoutSince.IsZero()
	if fresh {
		c.withoutSince = time.Time{}
	}
	lost := !fresh && was && now.Sub(c.wordAt) > c.cfg.StaleBound
	if lost {
		c.withoutSince = c.wordAt
	}
	c.mu.Unlock()
	if fresh && !was {
		events.Log(c.cfg.Log, events.ControlBack, nil)
	}
	if lost {
		events.Log(c.cfg.Log, events.ControlLost, logrus.Fields{"revision": c.heldRevision()})
	}
}
