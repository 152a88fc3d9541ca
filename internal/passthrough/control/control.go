// Package control runs a control VM for pass-through traffic: a replica of the log that
// holds the definition with the highest version, the operators' requests, and the nodes'
// streams.
//
// A replica that fails, for example because its disk is full, is reopened without ending
// the process. Meanwhile streams stay open, and operators are told to try another VM.
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
	// reopenDelay is the delay before a failed replica is reopened. A full disk stays
	// full for seconds, and each attempt costs a few writes.
	reopenDelay = 300 * time.Millisecond
	// maxCommandBytes bounds a definition with its document, which is about 1 MB for 2,100
	// routes.
	maxCommandBytes = 8 << 20
	// snapshotEvery and keepEntries bound the log, in entries. An entry holds a whole
	// definition, 200 kB at 600 routes, and at a start all entries are read and rewritten
	// while nodes wait for their table.
	snapshotEvery = 8
	keepEntries   = 4
	// replaceAfter is the silence after which a control VM that returns with an empty
	// disk may replace its former member. It is ten heartbeats; see replica.MembershipPolicy.
	replaceAfter = time.Second
	// maxContactWait bounds how long nodes wait until a starting VM has contact with a
	// quorum, and contactPollInterval is how often that is checked. Afterwards nodes are
	// served in any case: a VM that is cut off still lists the agents that reach it.
	maxContactWait      = time.Second
	contactPollInterval = 5 * time.Millisecond
	// evictAfter is the silence after which a VM is removed from the members if more vote
	// than Config.FaultTolerance needs, or if it is a standby.
	evictAfter = 3500 * time.Millisecond
	// handOverTimeout bounds how long a stopping VM waits for a standby to take over its vote.
	// It takes a few round trips and heartbeats.
	handOverTimeout = time.Second
)

// Errors returned to operators.
var (
	// ErrUnavailable means that this VM can't answer or act now; another one may.
	ErrUnavailable = errors.New("control: no contact with a quorum")
	// ErrNoDefinition means that no definition has been accepted yet.
	ErrNoDefinition = errors.New("control: no definition yet")
)

// Config configures a Control.
type Config struct {
	Name string
	// Zone is the VM's data centre.
	Zone string
	// IP is the VM's own address.
	IP netip.Addr
	// Folder is the directory of the VM's durable state.
	Folder string
	// ReplicaPort and StreamPort are the TCP ports for replicas and nodes, the same at
	// every control VM.
	ReplicaPort, StreamPort uint16
	// Seeds returns the IP addresses of the control VMs in the current settings.
	Seeds func() []string
	// Bootstrap is set if the whole system starts for the first time.
	Bootstrap bool
	// FaultTolerance is how many control VMs may be lost at once, with their disks.
	FaultTolerance int
	// ResendWindow is how long operators resend an evacuation order that got no answer.
	ResendWindow time.Duration
	// Now returns the time at which orders arrive; nil means time.Now.
	Now     func() time.Time
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Control is one control VM.
type Control struct {
	cfg     Config
	store   *route.ReplicatedStore
	replica atomic.Pointer[replica.Replica]
	// orderTimes dates the evacuation orders that this VM has learned of.
	orderTimes orderTimes
	// openCount counts the attempts to open a replica.
	openCount int
}

// New returns a control VM; Run starts it.
func New(cfg Config) *Control {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Control{cfg: cfg, store: route.NewReplicatedStore()}
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
	attempted := make(chan struct{})
	group.Go(func() error { return c.keepReplica(ctx, attempted) })
	group.Go(func() error {
		<-attempted
		c.awaitContact(ctx)
		return server.Serve(ctx, streams)
	})
	group.Go(func() error {
		flows.Run(ctx)
		return nil
	})
	group.Go(func() error {
		c.observeOrders(ctx)
		return nil
	})
	return group.Wait()
}

// awaitContact waits until this VM has contact with a quorum, for at most maxContactWait.
// After a full power failure every node attaches to every control VM at once. Serving
// them first takes processor time from the election, and no table can be sent before it
// ends. Their connections wait in the listener's queue.
func (c *Control) awaitContact(ctx context.Context) {
	for end := time.Now().Add(maxContactWait); time.Now().Before(end) && ctx.Err() == nil; {
		if c.ContactAge() < maxContactWait {
			return
		}
		wait.For(ctx, contactPollInterval)
	}
}

// keepReplica keeps a replica open until ctx is done. attempted is closed after the first
// attempt to open one.
func (c *Control) keepReplica(ctx context.Context, attempted chan<- struct{}) error {
	reportAttempt := sync.OnceFunc(func() { close(attempted) })
	defer reportAttempt()
	for ctx.Err() == nil {
		r, err := c.open()
		reportAttempt()
		if err != nil {
			c.cfg.Log.WithError(err).Error("control: opening the replica failed; retrying")
			wait.For(ctx, reopenDelay)
			continue
		}
		c.replica.Store(r)
		c.watch(ctx, r)
		if ctx.Err() != nil {
			c.handOver(r)
		}
		c.replica.Store(nil)
		if err := r.Close(); err != nil {
			c.cfg.Log.WithError(err).Error("control: closing the replica failed")
		}
		if ctx.Err() == nil {
			c.handleFailure(r.Err())
			wait.For(ctx, reopenDelay)
		}
	}
	return nil
}

// handOver has a standby take over this VM's vote, since the VM may be gone for good.
func (c *Control) handOver(r *replica.Replica) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := r.HandOver(ctx); err != nil && !errors.Is(err, raft.ErrNoStandby) {
		c.cfg.Log.WithError(err).Warn("control: handing over the vote failed; a standby takes it once this VM is silent")
	}
}

// watch updates the replica's peers from the seeds until the replica ends or ctx is done.
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
	c.openCount++
	return replica.Open(replica.Config{
		Folder: c.folder(), Name: c.cfg.Name, Zone: c.cfg.Zone, Listen: address, Advertise: address, Peers: c.peers(),
		Bootstrap: c.bootstraps() && c.openCount == 1,
		MembershipPolicy: replica.MembershipPolicy{
			ReplaceAfter: replaceAfter, EvictAfter: evictAfter, FaultTolerance: c.cfg.FaultTolerance,
		},
		// The log is kept short because its entries are whole definitions.
		SnapshotEvery: snapshotEvery, KeepEntries: keepEntries, CommandLimit: maxCommandBytes,
		Log: c.cfg.Log, Metrics: c.cfg.Metrics,
	}, c.store)
}

func (c *Control) folder() string { return filepath.Join(c.cfg.Folder, "replica") }

// bootstraps reports whether this VM creates the cluster: at the very first start, the
// seed with the lowest address does. All seeds agree on it without communication, and the
// others join.
func (c *Control) bootstraps() bool {
	if !c.cfg.Bootstrap {
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

// handleFailure logs why a replica ended. If the others removed the replica, or it lacks
// entries that it once acknowledged, its folder is moved aside. Its state isn't valid any
// more, as after the loss of the disk, and the VM returns as a new replica.
func (c *Control) handleFailure(cause error) {
	events.Log(c.cfg.Log, events.ReplicaReopened, logrus.Fields{"cause": events.ErrorText(cause)})
	if !errors.Is(cause, raft.ErrRemoved) && !errors.Is(cause, raft.ErrRegressed) {
		return
	}
	aside := c.folder() + ".aside"
	if err := os.RemoveAll(aside); err != nil {
		c.cfg.Log.WithError(err).Error("control: removing the previous .aside folder failed; replica folder kept")
		return
	}
	if err := os.Rename(c.folder(), aside); err != nil {
		c.cfg.Log.WithError(err).Error("control: renaming the replica folder to .aside failed")
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

// noReplicaContactAge is the contact age reported while no replica is open.
const noReplicaContactAge = time.Hour

// ContactAge implements membership.Source.
func (c *Control) ContactAge() time.Duration {
	r := c.replica.Load()
	if r == nil {
		return noReplicaContactAge
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
