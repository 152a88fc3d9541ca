package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/framing"
	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/route"
	"bergamotstall/internal/passthrough/traffic"
)

const (
	// dialTimeout is short because a VM without power doesn't answer at all, and
	// a lost first packet is sent again by the kernel only after a second: nodes
	// would come back that much later after all had lost power.
	dialTimeout = 250 * time.Millisecond
	// dialPause is the mean wait before the next try; control VMs restart
	// within a second.
	dialPause = 100 * time.Millisecond
	// aheadPatience is how long a version that another VM tells of may be missing
	// before the table is asked for there. It is more than a table takes on a thin
	// link.
	aheadPatience = 300 * time.Millisecond
	// contactBound is the contact age from which on a VM's stream isn't the one
	// that tables are taken from.
	contactBound = 1500 * time.Millisecond
	// silentBound is how long no control VM may have been heard, and behindBound how
	// long a newer version may have been known of, before the node is out of touch.
	// The platform wants an accepted version in force within three seconds.
	silentBound = 2500 * time.Millisecond
	behindBound = 1500 * time.Millisecond
	// listKept is how long the list of a control VM that can't be reached still
	// counts.
	listKept = 10 * time.Second
)

// ClientConfig sets a node's streams up.
type ClientConfig struct {
	Node Node
	// Seeds returns the IP numbers of control VMs that settings tell of now.
	Seeds func() []string
	// Port is where control VMs take streams, the same at all of them.
	Port uint16
	// Table is called with each newer table; Evacuated with the data centres that take
	// no new flows, whenever that changes; Agents, at balancers, with what changed in
	// the union of the VMs' lists of agents. All are called from streams' goroutines,
	// one at a time.
	Table     func(t *route.Table)
	Evacuated func(zones []string)
	Agents    func(c Changes)
	// Recalled, at agents, is called with the flows that a control VM remembers of
	// the agent's address.
	Recalled func(u flowlog.Update)
	// Meter counts the streams' messages.
	Meter *traffic.Meter
	Log   logrus.FieldLogger
}

// Client keeps a node's streams.
type Client struct {
	cfg ClientConfig
	// startedAt is when Run began.
	startedAt time.Time

	mu      sync.Mutex
	streams map[string]*clientStream
	known   []string
	version route.Version
	table   *route.Table
	// evacuations is the revision of those in force here.
	evacuations uint64
	// wanted is the VM that tables are taken from, since wantedAt or its last table.
	wanted   string
	wantedAt time.Time
}

// clientStream is what the node knows of one control VM.
type clientStream struct {
	ip string
	// heardAt is the last update's time, contactAge what it said.
	heardAt    time.Time
	contactAge time.Duration
	version    route.Version
	// aheadAt is when the VM told of its version.
	aheadAt time.Time
	// view is the VM's list of agents, at balancers.
	view view
	// conn is the open connection; told says that the VM knows all flows as of
	// some moment since the connection was made.
	conn *framing.Conn
	told bool
	// kick has a beat sent at once.
	kick chan struct{}
}

func newClientStream(ip string) *clientStream {
	return &clientStream{ip: ip, kick: make(chan struct{}, 1)}
}

// beatNow has a beat sent at once.
func (s *clientStream) beatNow() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// NewClient returns a client; Run keeps its streams.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, streams: map[string]*clientStream{}}
}

// Version returns that of the table held, 0 for none.
func (c *Client) Version() route.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Heard counts the control VMs heard within the last seconds.
func (c *Client) Heard() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.streams {
		if time.Since(s.heardAt) < beatPatience {
			n++
		}
	}
	return n
}

// InTouch tells whether the node's table is in all likelihood the newest: it hears control
// VMs, and none has had a newer version for long. A VM that has lost its quorum counts as
// heard, since there is no newer version then.
func (c *Client) InTouch(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	heard := false
	for _, s := range c.streams {
		heard = heard || now.Sub(s.heardAt) < silentBound
		if s.version > c.version && now.Sub(s.aheadAt) > behindBound {
			return false
		}
	}
	return heard
}

// keptStream is a stream that is kept up since a moment.
type keptStream struct {
	at   time.Time
	stop context.CancelCauseFunc
}

// errMoved ends a stream to a control VM that isn't chosen any more.
var errMoved = errors.New("membership: moved to other control VMs")

// Run keeps streams to control VMs until ctx is done: a balancer to each one known, an
// agent to a few.
func (c *Client) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	c.startedAt = time.Now()
	started := map[string]keptStream{}
	ticker := time.NewTicker(BeatInterval / 4)
	defer ticker.Stop()
	for {
		now := time.Now()
		wanted := c.choose(now, c.addresses(), started)
		for _, ip := range wanted {
			if _, ok := started[ip]; ok {
				continue
			}
			one, cancel := context.WithCancelCause(ctx)
			started[ip] = keptStream{at: now, stop: cancel}
			running.Add(1)
			go func() {
				defer running.Done()
				c.keep(one, ip)
			}()
		}
		for ip, kept := range started {
			if !slices.Contains(wanted, ip) {
				kept.stop(errMoved)
				delete(started, ip)
			}
		}
		c.dropStaleLists()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// addresses are the seeds and the control VMs that streams told of.
func (c *Client) addresses() []string {
	seeds := c.cfg.Seeds()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.known)
	for _, ip := range seeds {
		if !slices.Contains(out, ip) {
			out = append(out, ip)
		}
	}
	return out
}
