// Package control runs a control VM for pass-through traffic: a replica of the
// log that holds the definition with the highest version, what operators ask of
// it, and the nodes' streams.
//
// A replica that has failed, as when its disk was full, is opened anew without
// ending the process: streams stay open meanwhile, and operators are told to try
// another VM.
package control

import (
	"context"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/membership"
	"bergamotstall/internal/passthrough/route"
	"bergamotstall/internal/raft"
	"bergamotstall/internal/replica"
	"bergamotstall/internal/wait"
)

const (
	// reopenPause is the wait before a failed replica is opened anew. A full
	// disk stays full for seconds, and each try costs a few writes.
	reopenPause = 300 * time.Millisecond
	// commandLimit bounds a definition with its document. 2,100 routes take
	// about 1 MB.
	commandLimit = 8 << 20
	// snapshotEvery and keepEntries bound the log. An entry holds a whole
	// definition, 200 kB at 600 routes, and all are read and written anew at a
	// start, while nodes wait for their table.
	snapshotEvery = 8
	keepEntries   = 4
	// replaceAfter is the silence after which a control VM that comes back with
	// an empty disk takes its old place. Ten heartbeats; see replica.Upkeep.
	replaceAfter = time.Second
	// contactWait bounds how long a starting VM lets nodes wait until it is in touch
	// with a quorum; contactPoll is how often it looks. Past it nodes are served all
	// the same: a VM that is cut off still lists the agents that it hears.
	contactWait = time.Second
	contactPoll = 5 * time.Millisecond
	// evictAfter is the silence after which a VM stops counting where more than
	// three others vote: a VM whose successor came first and that then went for
	// good. The platform lets the next loss come four seconds after.
	evictAfter = 3500 * time.Millisecond
)

// Errors for operators.
var (
	// ErrUnavailable means that this VM can't tell or do it now; another may.
	ErrUnavailable = errors.New("control: no contact with a quorum")
	// ErrNone means that no definition has been accepted yet.
	ErrNone = errors.New("control: no definition yet")
)

// Config sets a control VM up.
type Config struct {
	Name string
	// IP is the VM's own.
	IP netip.Addr
	// Folder holds the VM's durable state.
	Folder string
	// ReplicaPort and StreamPort are where replicas and nodes connect, the same
	// at every control VM.
	ReplicaPort, StreamPort uint16
	// Seeds returns the IP numbers of control VMs that settings tell of now.
	Seeds func() []string
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// ResendWindow is how long operators send an evacuation order again whose answer
	// they lack.
	ResendWindow time.Duration
	Log          logrus.FieldLogger
	Metrics      *metrics.Set
}

// Control is one control VM.
type Control struct {
	cfg     Config
	store   *route.Store
	replica atomic.Pointer[replica.Replica]
	opened  int
}

// New returns a control VM; Run starts it.
func New(cfg Config) *Control {
	return &Control{cfg: cfg, store: route.NewStore()}
}

// Run serves until ctx is done.
func (c *Control) Run(ctx context.Context) error {
	streams, err := net.Listen("tcp", netip.AddrPortFrom(c.cfg.IP, c.cfg.StreamPort).String())
	if err != nil {
		return errors.Wrap(err, "control: listen for nodes")
	}
	flows, err := flowlog.Open(c.cfg.Folder, c.cfg.Log, c.cfg.Metrics)
	if err != nil {
		_ = streams.Close()
		return err
	}
	server := membership.NewServer(membership.ServerConfig{Store: c.store, Source: c, Flows: flows, Log: c.cfg.Log, Metrics: c.cfg.Metrics})
	c.cfg.Metrics.Gauge("definition_version", func() int64 { return int64(c.store.Version()) })
	c.cfg.Metrics.Gauge("evacuated_zones", func() int64 { return int64(len(c.Evacuated())) })
	group, ctx := errgroup.WithContext(ctx)
	tried := make(chan struct{})
	group.Go(func() error { return c.keepReplica(ctx, tried) })
	group.Go(func() error {
		<-tried
		c.awaitContact(ctx)
		return server.Serve(ctx, streams)
	})
	group.Go(func() error {
		flows.Run(ctx)
		return nil
	})
	return group.Wait()
}

// awaitContact waits until this VM is in touch with a quorum, but not for long. After
// all lost power every node attaches to every control VM at once; served first, they
// take the processor time that the election needs, and can be told of no table before
// it. Their connections wait in the listener's queue.
func (c *Control) awaitContact(ctx context.Context) {
	for end := time.Now().Add(contactWait); time.Now().Before(end) && ctx.Err() == nil; {
		if c.ContactAge() < contactWait {
			return
		}
		wait.For(ctx, contactPoll)
	}
}

// keepReplica keeps a replica open until ctx is done; tried is closed once it was
// opened, or couldn't be.
func (c *Control) keepReplica(ctx context.Context, tried chan<- struct{}) error {
	first := sync.OnceFunc(func() { close(tried) })
	defer first()
	for ctx.Err() == nil {
		r, err := c.open()
		first()
		if err != nil {
			c.cfg.Log.WithError(err).Error("control: open replica")
			wait.For(ctx, reopenPause)
			continue
		}
		c.replica.Store(r)
		c.watch(ctx, r)
		c.replica.Store(nil)
		if err := r.Close(); err != nil {
			c.cfg.Log.WithError(err).Error("control: close replica")
		}
		if ctx.Err() == nil {
			c.afterFailure(r.Err())
			wait.For(ctx, reopenPause)
		}
	}
	return nil
}

// watch waits for the replica's end and keeps its seeds up to date.
func (c *Control) watch(ctx context.Context, r *replica.Replica) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Done():
			return
		case <-ticker.C:
			r.SetPeers(c.peers())
		}
	}
}

func (c *Control) open() (*replica.Replica, error) {
	address := netip.AddrPortFrom(c.cfg.IP, c.cfg.ReplicaPort).String()
	c.opened++
	return replica.Open(replica.Config{
		Folder: c.folder(), Name: c.cfg.Name, Listen: address, Advertise: address, Peers: c.peers(),
		Bootstrap: c.bootstraps() && c.opened == 1,
		Upkeep:    replica.Upkeep{ReplaceAfter: replaceAfter, EvictAfter: evictAfter},
		// A log of whole definitions is short.
		SnapshotEvery: snapshotEvery, KeepEntries: keepEntries, CommandLimit: commandLimit,
		Log: c.cfg.Log, Metrics: c.cfg.Metrics,
	}, c.store)
}

func (c *Control) folder() string { return filepath.Join(c.cfg.Folder, "replica") }

// bootstraps tells whether this VM makes the cluster: at the very first start,
// the seed with the lowest address, which all seeds agree on without a word.
// The others join it.
func (c *Control) bootstraps() bool {
	if !c.cfg.FirstStart {
		return false
	}
	lowest := netip.Addr{}
	for _, s := range c.cfg.Seeds() {
		ip, err := netip.ParseAddr(s)
		if err == nil && (!lowest.IsValid() || ip.Less(lowest)) {
			lowest = ip
		}
	}
	return lowest == c.cfg.IP
}

func (c *Control) peers() []string {
	var out []string
	for _, ip := range c.cfg.Seeds() {
		out = append(out, net.JoinHostPort(ip, portText(c.cfg.ReplicaPort)))
	}
	return out
}

// afterFailure sets the folder of a replica aside that the others have removed,
// or that lacks what it once acknowledged. Its word counts for nothing any more,
// as if the disk were lost, and the VM comes back as a fresh replica.
func (c *Control) afterFailure(cause error) {
	events.Log(c.cfg.Log, events.ReplicaReopened, logrus.Fields{"cause": events.ErrorText(cause)})
	if !errors.Is(cause, raft.ErrRemoved) && !errors.Is(cause, raft.ErrRegressed) {
		return
	}
	aside := c.folder() + ".aside"
	if err := os.RemoveAll(aside); err != nil {
		c.cfg.Log.WithError(err).Error("control: remove the folder set aside before")
		return
	}
	if err := os.Rename(c.folder(), aside); err != nil {
		c.cfg.Log.WithError(err).Error("control: set the folder aside")
		return
	}
	events.Log(c.cfg.Log, events.FolderAbandoned, logrus.Fields{"folder": aside})
}

// Barrier implements membership.Source.
func (c *Control) Barrier(ctx context.Context) error {
	r := c.replica.Load()
	if r == nil {
		return ErrUnavailable
	}
	return r.Barrier(ctx)
}

// notOpen is the contact age told while no replica is open.
const notOpen = time.Hour

// ContactAge implements membership.Source.
func (c *Control) ContactAge() time.Duration {
	r := c.replica.Load()
	if r == nil {
		return notOpen
	}
	return r.ContactAge()
}

// Controls implements membership.Source.
func (c *Control) Controls() []string {
	r := c.replica.Load()
	if r == nil {
		return nil
	}
	var out []string
	for _, m := range r.Status().Members {
		if ip, _, ok := strings.Cut(m.Address, ":"); ok {
			out = append(out, ip)
		}
	}
	return out
}
