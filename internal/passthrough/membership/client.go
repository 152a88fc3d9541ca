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
	// dialTimeout is short because a VM without power doesn't answer at all, and the
	// kernel resends a lost SYN only after one second, which would delay all nodes by
	// that much after a full power failure.
	dialTimeout = 250 * time.Millisecond
	// redialDelay is the mean delay before the next attempt. Control VMs restart within a
	// second.
	redialDelay = 100 * time.Millisecond
	// tableTimeout is how long a version that another VM has announced may be missing
	// before the table is requested from that VM, and how long a transfer of the table that
	// has begun may pause.
	tableTimeout = 300 * time.Millisecond
	// maxContactAge is the quorum contact age from which on no tables are requested from
	// a VM.
	maxContactAge = 1500 * time.Millisecond
	// maxSilence is how long no control VM may have been heard, and maxTableLag how long
	// a newer version may have been known, before the node counts as out of touch. The
	// platform requires an accepted version to be in force within three seconds.
	maxSilence  = 2500 * time.Millisecond
	maxTableLag = 1500 * time.Millisecond
	// listExpiry is how long the list of an unreachable control VM stays valid.
	listExpiry = 10 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Node Node
	// Seeds returns the IP addresses of the control VMs in the current settings.
	Seeds func() []string
	// Port is the TCP port of the streams, the same at all control VMs.
	Port uint16
	// OnTable is called with each newer table, OnEvacuations with the data centres
	// that take no new flows, whenever they change. OnAgents, at balancers, is called with
	// the changes in the union of the VMs' lists of agents. All are called from the
	// streams' goroutines, one call at a time.
	OnTable       func(t *route.Table)
	OnEvacuations func(zones []string)
	OnAgents      func(c Changes)
	// OnFlowRecords, at agents, is called with the flow records that a control VM holds for
	// the agent's address.
	OnFlowRecords func(u flowlog.Update)
	// Meter counts the streams' messages and bytes.
	Meter *traffic.Meter
	Log   logrus.FieldLogger
}

// Client maintains a node's streams to the control VMs.
type Client struct {
	cfg ClientConfig
	// startedAt is the time of the call of Run.
	startedAt time.Time
	// choiceDue tells Run that other streams may be needed: one has ended, or other control
	// VMs were named.
	choiceDue chan struct{}

	mu      sync.Mutex
	streams map[string]*clientStream
	// sources are the control VMs that streams are kept to, connected or not.
	sources       map[string]*listSource
	knownControls []string
	// streamsOpened counts the hellos.
	streamsOpened uint64
	version       route.Version
	table         *route.Table
	// evacuations is the revision of the evacuations in force at this node.
	evacuations uint64
	// tableSource is the VM that tables are requested from; tableSourceAt is when it was
	// chosen or when the last table came.
	tableSource   string
	tableSourceAt time.Time
}

// clientStream is the state of the stream to one control VM.
type clientStream struct {
	ip string
	// heardAt is when the last update arrived, contactAge the VM's quorum contact age in
	// it.
	heardAt    time.Time
	contactAge time.Duration
	version    route.Version
	// versionAt is when the VM announced its version.
	versionAt time.Time
	// view is the VM's list of agents, at balancers.
	view view
	// received is the highest Update.Number received on the stream.
	received uint64
	// open means that the hello has been sent or is being sent; answered means that an
	// update has arrived since.
	open, answered bool
	// conn is the open connection once the hello has been sent; flowsReported means that
	// all flows were reported over it.
	conn          *framing.Conn
	flowsReported bool
	// wake triggers an immediate heartbeat.
	wake chan struct{}
}

func newClientStream(ip string) *clientStream {
	return &clientStream{ip: ip, wake: make(chan struct{}, 1)}
}

// heartbeatNow triggers an immediate heartbeat.
func (s *clientStream) heartbeatNow() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// NewClient returns a client; Run starts its streams.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, streams: map[string]*clientStream{}, sources: map[string]*listSource{}, choiceDue: make(chan struct{}, 1)}
}

// Version returns the version of the node's table, 0 for none.
func (c *Client) Version() route.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// LiveControls returns the number of control VMs heard within streamTimeout.
func (c *Client) LiveControls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.streams {
		if time.Since(s.heardAt) < streamTimeout {
			n++
		}
	}
	return n
}

// TableCurrent reports whether the node's table is most likely the newest: the node hears
// control VMs, and none has had a newer version for more than maxTableLag. A VM that has
// lost its quorum counts as heard, since no newer version can be accepted without one.
func (c *Client) TableCurrent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	heard := false
	for _, s := range c.streams {
		heard = heard || now.Sub(s.heardAt) < maxSilence
		if s.version > c.version && now.Sub(s.versionAt) > maxTableLag {
			return false
		}
	}
	return heard
}

// runningStream is a stream that the client maintains since the time at.
type runningStream struct {
	at   time.Time
	stop context.CancelCauseFunc
}

// errMoved is the cause that ends a stream to a control VM that the node has left for
// others.
var errMoved = errors.New("membership: moved to other control VMs")

// Run maintains streams to control VMs until ctx is done: a balancer to every known VM,
// an agent to a few.
func (c *Client) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	c.startedAt = time.Now()
	started := map[string]runningStream{}
	ticker := time.NewTicker(HeartbeatInterval / 4)
	defer ticker.Stop()
	for {
		now := time.Now()
		start, keep := c.choose(now, c.addresses(), started)
		for _, ip := range start {
			if _, ok := started[ip]; ok {
				continue
			}
			one, cancel := context.WithCancelCause(ctx)
			started[ip] = runningStream{at: now, stop: cancel}
			running.Add(1)
			go func() {
				defer running.Done()
				c.keepStream(one, ip)
			}()
		}
		for ip, kept := range started {
			if !slices.Contains(keep, ip) {
				kept.stop(errMoved)
				delete(started, ip)
			}
		}
		c.dropStaleAgentLists()
		select {
		case <-ctx.Done():
			return
		case <-c.choiceDue:
		case <-ticker.C:
		}
	}
}

// chooseSoon has Run choose the streams again at once.
func (c *Client) chooseSoon() {
	select {
	case c.choiceDue <- struct{}{}:
	default:
	}
}

// addresses returns the seeds and the control VMs named in updates.
func (c *Client) addresses() []string {
	seeds := c.cfg.Seeds()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.knownControls)
	for _, ip := range seeds {
		if !slices.Contains(out, ip) {
			out = append(out, ip)
		}
	}
	return out
}
