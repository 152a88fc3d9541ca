package roster

import (
	"context"
	"hash/maphash"
	mathrand "math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/pass/flowlog"
	"bergamotstall/internal/pass/route"
	"bergamotstall/internal/wire"
)

const (
	// dialTimeout is short because a VM without power doesn't answer at all, and
	// a lost first packet is sent again by the kernel only after a second. With a
	// second, nodes came back half a second later after all had lost power.
	dialTimeout = 250 * time.Millisecond
	// dialPause is the mean wait before the next try; control VMs restart
	// within a second.
	dialPause = 100 * time.Millisecond
	// aheadPatience is how long a version that only an unwanted stream tells of
	// may be missing before the table is asked for there.
	aheadPatience = 300 * time.Millisecond
	// contactBound is the contact age from which on a VM's stream isn't the one
	// that tables are taken from.
	contactBound = 1500 * time.Millisecond
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
	// Table is called with each newer table; Nodes, at agents, with the union of
	// the VMs' lists of balancers; Agents, at balancers, with the number of agents
	// that the VM which lists most of them tells of. All are called from streams'
	// goroutines, one at a time.
	Table  func(t *route.Table)
	Nodes  func(nodes []Node)
	Agents func(n int)
	// Recalled, at agents, is called with the flows that a control VM remembers of
	// the agent's address.
	Recalled func(u flowlog.Update)
	Log      logrus.FieldLogger
	Metrics  *metrics.Set
}

// Client keeps a node's streams.
type Client struct {
	cfg ClientConfig

	mu      sync.Mutex
	streams map[string]*clientStream
	known   []string
	version route.Version
	wanted  string
}

// clientStream is what the node knows of one control VM.
type clientStream struct {
	ip string
	// heardAt is the last update's time, contactAge what it said.
	heardAt    time.Time
	contactAge time.Duration
	version    route.Version
	// aheadAt is since when the VM has a newer version than the node.
	aheadAt time.Time
	nodes   []Node
	digest  uint64
	agents  int
	// conn is the open connection; told says that the VM knows all flows as of
	// some moment since the connection was made.
	conn *wire.Conn
	told bool
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

// Run keeps a stream to every control VM known until ctx is done.
func (c *Client) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	started := map[string]context.CancelFunc{}
	ticker := time.NewTicker(BeatInterval / 4)
	defer ticker.Stop()
	for {
		wanted := c.addresses()
		for _, ip := range wanted {
			if started[ip] != nil {
				continue
			}
			one, cancel := context.WithCancel(ctx)
			started[ip] = cancel
			running.Add(1)
			go func() {
				defer running.Done()
				c.keep(one, ip)
			}()
		}
		for ip, cancel := range started {
			if !slices.Contains(wanted, ip) {
				cancel()
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

// dropStaleLists lets the lists of VMs that aren't heard any more lapse. A
// balancer that left meanwhile would otherwise stay on them until the next change
// of any list.
func (c *Client) dropStaleLists() {
	c.mu.Lock()
	defer c.mu.Unlock()
	dropped := false
	for _, s := range c.streams {
		if s.nodes != nil && time.Since(s.heardAt) > listKept {
			s.nodes = nil
			s.digest = 0
			dropped = true
		}
	}
	if dropped {
		c.cfg.Nodes(c.union())
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

// keep makes one stream anew whenever it ends.
func (c *Client) keep(ctx context.Context, ip string) {
	s := &clientStream{ip: ip}
	told := false
	for ctx.Err() == nil {
		err := c.follow(ctx, s)
		if !s.heardAt.IsZero() && !told {
			told = true
			events.Log(c.cfg.Log, events.ControlLeft, logrus.Fields{"control": ip, "error": events.ErrorText(err)})
		}
		if time.Since(s.heardAt) < BeatInterval {
			told = false
		}
		select {
		case <-ctx.Done():
		case <-time.After(dialPause/2 + mathrand.N(dialPause)):
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, ip)
}

// follow runs one stream until it fails.
func (c *Client) follow(ctx context.Context, s *clientStream) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", net.JoinHostPort(s.ip, strconv.Itoa(int(c.cfg.Port))))
	if err != nil {
		return errors.Wrap(err, "roster: dial")
	}
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn := wire.NewConn(raw, frameLimit, writeTimeout)
	c.mu.Lock()
	s.digest = 0
	c.mu.Unlock()
	hello := Hello{Node: c.cfg.Node, Beat: c.beat(s)}
	if _, err := conn.Write(kindHello, &hello); err != nil {
		return err
	}
	c.attach(s, conn)
	defer c.attach(s, nil)
	first := true
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.beatOn(ctx, conn, s)
	for {
		u, err := c.nextUpdate(conn)
		if err != nil {
			return err
		}
		if first {
			first = false
			events.Log(c.cfg.Log, events.ControlAttached, logrus.Fields{"control": s.ip, "version": u.Version, "contact_age_ms": u.ContactAgeMS})
		}
		c.take(s, u)
	}
}

func (c *Client) attach(s *clientStream, conn *wire.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[s.ip] = s
	s.conn = conn
	s.told = false
}

// nextUpdate waits for an update; what a control VM recalls before it is handed
// on.
func (c *Client) nextUpdate(conn *wire.Conn) (Update, error) {
	for {
		f, err := read(conn)
		if err != nil {
			return Update{}, err
		}
		switch f.Kind {
		case kindUpdate:
			var u Update
			return u, f.Decode(&u)
		case kindFlows:
			var u flowlog.Update
			if err := f.Decode(&u); err != nil {
				return Update{}, err
			}
			c.cfg.Recalled(u)
		default:
			return Update{}, errors.Errorf("roster: frame kind %d", f.Kind)
		}
	}
}

// TellFlows tells the control VMs of changes among the flows held; those that
// were reached since the last call are told of all. whole returns all.
func (c *Client) TellFlows(changes flowlog.Update, changed bool, whole func() flowlog.Update) {
	c.mu.Lock()
	var knowing, fresh []*wire.Conn
	for _, s := range c.streams {
		switch {
		case s.conn == nil:
		case s.told:
			knowing = append(knowing, s.conn)
		default:
			s.told = true
			fresh = append(fresh, s.conn)
		}
	}
	c.mu.Unlock()
	if changed {
		c.writeFlows(knowing, changes)
	}
	if len(fresh) > 0 {
		c.writeFlows(fresh, whole())
	}
}

// writeFlows sends an update; a stream that fails is made anew, and then told of
// all.
func (c *Client) writeFlows(to []*wire.Conn, u flowlog.Update) {
	for _, conn := range to {
		if _, err := conn.Write(kindFlows, &u); err != nil {
			_ = conn.Close()
		}
	}
}

// beatOn sends beats until ctx is done or the stream fails.
func (c *Client) beatOn(ctx context.Context, conn *wire.Conn, s *clientStream) {
	ticker := time.NewTicker(BeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b := c.beat(s)
		if _, err := conn.Write(kindBeat, &b); err != nil {
			_ = conn.Close() // the reader ends the stream
			return
		}
	}
}

// beat says where the node stands, and whether it takes tables from this VM.
func (c *Client) beat(s *clientStream) Beat {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := Beat{Version: uint64(c.version), Nodes: s.digest}
	c.chooseWanted()
	ahead := s.version > c.version && time.Since(s.aheadAt) > aheadPatience
	b.Want = c.version == 0 || c.wanted == s.ip || ahead
	return b
}

// chooseWanted keeps taking tables from one VM while it is in touch, so that
// they travel once; the lock is held. Nodes start at different ones by a hash.
func (c *Client) chooseWanted() {
	if s := c.streams[c.wanted]; s != nil && s.current() {
		return
	}
	best := uint64(0)
	for ip, s := range c.streams {
		if !s.current() {
			continue
		}
		if h := maphash.String(wantSeed, ip); h >= best {
			best = h
			c.wanted = ip
		}
	}
}

var wantSeed = maphash.MakeSeed()

func (s *clientStream) current() bool {
	return time.Since(s.heardAt) < beatPatience && s.contactAge < contactBound
}

// take puts an update in force.
func (c *Client) take(s *clientStream, u Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[s.ip] = s
	s.heardAt = time.Now()
	s.contactAge = time.Duration(u.ContactAgeMS) * time.Millisecond
	if len(u.Controls) > 0 {
		c.known = u.Controls
	}
	if version := route.Version(u.Version); version > s.version {
		s.version = version
		s.aheadAt = s.heardAt
	}
	s.agents = int(u.Agents)
	if c.cfg.Node.Role == Balancer {
		c.cfg.Agents(c.agents())
	}
	if u.Lean != nil {
		c.takeTable(u)
	}
	if c.cfg.Node.Role == Agent && (u.Nodes != nil || u.Digest != s.digest) {
		s.nodes = u.Nodes
		s.digest = u.Digest
		c.cfg.Nodes(c.union())
	}
}

// agents is the largest number of agents that a VM heard lately tells of; the lock
// is held. One that has just started hasn't heard of all.
func (c *Client) agents() int {
	most := 0
	for _, s := range c.streams {
		if time.Since(s.heardAt) < beatPatience {
			most = max(most, s.agents)
		}
	}
	return most
}

// takeTable puts a table in force if it is newer; the lock is held.
func (c *Client) takeTable(u Update) {
	if route.Version(u.Version) <= c.version {
		return
	}
	d := new(route.Definition)
	if _, err := d.UnmarshalMsg(u.Lean); err != nil {
		c.cfg.Log.WithError(err).Error("roster: table can't be read")
		return
	}
	c.version = d.Version
	c.cfg.Table(route.NewTable(d))
	events.Log(c.cfg.Log, events.PassTableInForce, logrus.Fields{"version": u.Version, "routes": len(d.Routes)})
}

// union merges the lists of all VMs that were heard lately; the lock is held.
func (c *Client) union() []Node {
	byAddress := map[string]Node{}
	for _, s := range c.streams {
		for _, n := range s.nodes {
			byAddress[n.Address] = n
		}
	}
	out := make([]Node, 0, len(byAddress))
	for _, n := range byAddress {
		out = append(out, n)
	}
	return out
}
