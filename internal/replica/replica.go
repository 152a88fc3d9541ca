// Package replica runs one member of the replicated log: the deterministic core
// of package raft, the durable files of package journal, and the connections
// between control VMs. The state machine on top is its user's.
//
// One goroutine, the loop, owns core, journal and state machine. Everything
// else hands it messages and requests through bounded channels; requests over
// the bound are refused as not run, and counted.
package replica

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/journal"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/raft"
)

// StateMachine is the state that committed commands build. Apply must be
// deterministic: no clock, no randomness, no order of map iteration. All its
// methods are called from one goroutine.
type StateMachine interface {
	// Apply runs one committed command and returns its outcome, which goes to
	// whoever proposed it.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state, for a replica that is far behind and to
	// bound the log.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// TLS holds what connections between replicas are secured with; nil for tests.
type TLS struct {
	Server *tls.Config
	// Client is used for outgoing connections, through keys.Client. The name in
	// a VM's certificate must be its Config.Name.
	Client *tls.Config
}

// Config sets one replica up. Folder, Name, Listen (or Listener) and Log are
// required.
type Config struct {
	// Folder is the data folder; a new one is a new replica.
	Folder string
	// Name is the VM's name, unique within the cluster.
	Name string
	// Listen is the TCP address to take peers' connections on.
	Listen string
	// Listener is used instead of Listen if set; the replica closes it.
	Listener net.Listener
	// Advertise is the address that peers dial; the listener's own if empty.
	Advertise string
	// Peers are addresses of other replicas, through which a new one joins.
	Peers []string
	// Bootstrap makes a new cluster if the folder is new and no peer has one.
	// Without it a new folder waits to be taken in as a learner.
	Bootstrap bool
	TLS       TLS
	// Upkeep lets the leader replace and remove members by itself.
	Upkeep Upkeep
	// Heartbeat is the leader's interval; 100 ms if 0.
	Heartbeat time.Duration
	// ElectionTimeout is the shortest silence before an election; ten
	// heartbeats if 0.
	ElectionTimeout time.Duration
	// SnapshotEvery is how many entries are applied between snapshots; 10,000
	// if 0.
	SnapshotEvery int
	// KeepEntries is how many entries stay in memory behind a snapshot; 1,000
	// if 0. A replica that lags more gets the snapshot.
	KeepEntries int
	// QueueLimit bounds the requests that wait; 1,024 if 0.
	QueueLimit int
	// CommandLimit bounds one command, in bytes; 1 MiB if 0.
	CommandLimit int
	// Seed makes election timeouts repeatable; drawn if 0.
	Seed uint64
	// Dial is used for outgoing connections if set.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// FS is the file system of the journal; the machine's if nil.
	FS      journal.FS
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

const (
	defaultHeartbeat     = 100 * time.Millisecond
	electionHeartbeats   = 10
	defaultSnapshotEvery = 10_000
	defaultKeepEntries   = 1_000
	defaultQueueLimit    = 1_024
	defaultCommandLimit  = 1 << 20
	// clockStart keeps the loop's clock off zero, which means "no stamp".
	clockStart = time.Hour
	inboxSize  = 1_024
)

func (c Config) withDefaults() Config {
	if c.Heartbeat <= 0 {
		c.Heartbeat = defaultHeartbeat
	}
	if c.ElectionTimeout <= 0 {
		c.ElectionTimeout = electionHeartbeats * c.Heartbeat
	}
	if c.SnapshotEvery <= 0 {
		c.SnapshotEvery = defaultSnapshotEvery
	}
	if c.KeepEntries <= 0 {
		c.KeepEntries = defaultKeepEntries
	}
	if c.QueueLimit <= 0 {
		c.QueueLimit = defaultQueueLimit
	}
	if c.CommandLimit <= 0 {
		c.CommandLimit = defaultCommandLimit
	}
	if c.FS == nil {
		c.FS = journal.Disk{}
	}
	if c.Metrics == nil {
		c.Metrics = metrics.New()
	}
	return c
}

// Replica is one running member. Its methods are safe for concurrent use.
type Replica struct {
	cfg     Config
	id      raft.ID
	cluster atomic.Uint64
	sm      StateMachine
	core    *raft.Core
	journal *journal.Journal
	count   counters
	started time.Time
	links   *links
	server  *server

	inbox    chan inbound
	requests chan *request
	barriers chan *barrier
	met      chan raft.ID
	stopping chan struct{}
	stopOnce sync.Once
	// ended is closed once the loop has ended.
	ended chan struct{}

	status    atomic.Pointer[Status]
	peers     atomic.Pointer[[]string]
	contactAt atomic.Int64
	failure   atomic.Pointer[error]
	changedMu sync.Mutex
	changed   chan struct{}

	// The rest is the loop's alone.

	applied    raft.Index
	waiters    map[raft.Index]waiter
	forwards   map[uint64]forwarded
	lastNumber uint64
	reads      map[uint64][]*barrier
	fresh      []*barrier
	released   []releasedRead
	waiting    map[string]waitingReplica
	leader     raft.ID
	members    raft.Index
	leading    bool
	joinAt     time.Duration
	upkeepAt   time.Duration
}

// Open opens the data folder and starts to take part. The state machine must be
// empty; it is restored from the newest snapshot before Open returns.
func Open(cfg Config, sm StateMachine) (*Replica, error) {
	cfg = cfg.withDefaults()
	if cfg.Name == "" || cfg.Folder == "" || cfg.Log == nil {
		return nil, errors.New("replica: name, folder and log are required")
	}
	listener := cfg.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", cfg.Listen); err != nil {
			return nil, errors.Wrap(err, "replica: listen")
		}
	}
	if cfg.Advertise == "" {
		cfg.Advertise = listener.Addr().String()
	}
	r, err := open(cfg, sm)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	r.start(listener)
	return r, nil
}

func open(cfg Config, sm StateMachine) (*Replica, error) {
	j, stored, err := journal.Open(journal.Options{FS: cfg.FS, Folder: cfg.Folder, NewID: newID})
	if err != nil {
		return nil, errors.Wrap(err, "replica: open folder")
	}
	r := &Replica{
		cfg: cfg, id: j.Identity().Replica, sm: sm, journal: j, count: newCounters(cfg.Metrics),
		started:  time.Now(),
		inbox:    make(chan inbound, inboxSize),
		requests: make(chan *request, cfg.QueueLimit),
		barriers: make(chan *barrier, cfg.QueueLimit),
		met:      make(chan raft.ID, inboxSize),
		stopping: make(chan struct{}),
		ended:    make(chan struct{}),
		changed:  make(chan struct{}),
		waiters:  map[raft.Index]waiter{},
		forwards: map[uint64]forwarded{},
		reads:    map[uint64][]*barrier{},
		waiting:  map[string]waitingReplica{},
	}
	r.cluster.Store(j.Identity().Cluster)
	r.SetPeers(cfg.Peers)
	r.links = newLinks(r)
	if err := r.restore(&stored); err != nil {
		_ = j.Close()
		return nil, err
	}
	return r, nil
}

// restore brings state machine and core to what the folder holds.
func (r *Replica) restore(stored *raft.Stored) error {
	if stored.Empty() && r.cfg.Bootstrap {
		if err := r.bootstrap(stored); err != nil {
			return err
		}
	}
	if stored.Snapshot.Index > 0 {
		if err := r.sm.Restore(stored.Snapshot.Data); err != nil {
			return errors.Wrap(err, "replica: restore snapshot")
		}
		r.applied = stored.Snapshot.Index
	}
	seed := r.cfg.Seed
	if seed == 0 {
		seed = uint64(newID())
	}
	r.core = raft.New(raft.Config{
		ID:              r.ID(),
		ElectionTimeout: r.cfg.ElectionTimeout,
		Heartbeat:       r.cfg.Heartbeat,
		Rand:            mathrand.New(mathrand.NewPCG(seed, seed)),
		KeepEntries:     r.cfg.KeepEntries,
	}, *stored, r.now())
	return nil
}

// bootstrap makes a new cluster, unless a peer has one already: then a VM whose
// disk was lost, and whose settings still say bootstrap, must not make a second.
func (r *Replica) bootstrap(stored *raft.Stored) error {
	if address, ok := r.findCluster(); ok {
		events.Log(r.cfg.Log, events.BootstrapSkipped, logrus.Fields{"peer": address})
		return nil
	}
	first := raft.Member{ID: r.ID(), Name: r.cfg.Name, Address: r.cfg.Advertise}
	made, err := raft.Bootstrap(first)
	if err != nil {
		return err
	}
	if err := r.setCluster(uint64(newID())); err != nil {
		return errors.Wrap(err, "replica: bootstrap")
	}
	if err := r.journal.Save(journal.Batch{Hard: made.Hard, Entries: made.Entries}); err != nil {
		return errors.Wrap(err, "replica: bootstrap")
	}
	*stored = made
	events.Log(r.cfg.Log, events.ClusterBootstrapped, logrus.Fields{"replica": r.ID().String()})
	return nil
}

func (r *Replica) setCluster(id uint64) error {
	if err := r.journal.SetCluster(id); err != nil {
		return err
	}
	r.cluster.Store(id)
	return nil
}

func (r *Replica) start(listener net.Listener) {
	r.publish()
	events.Log(r.cfg.Log, events.ReplicaStarted, logrus.Fields{
		"replica": r.ID().String(), "name": r.cfg.Name, "address": r.cfg.Advertise, "applied": uint64(r.applied),
	})
	r.gauges()
	r.server = newServer(r, listener)
	go r.server.run()
	go r.loop()
}

// newID draws a random number that isn't zero.
func newID() raft.ID {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return raft.ID(binary.BigEndian.Uint64(b[:]) | 1)
}

// now is the loop's clock: monotonic, from the start of the process.
func (r *Replica) now() time.Duration { return clockStart + time.Since(r.started) }

// ID returns the replica's identity.
func (r *Replica) ID() raft.ID { return r.id }

// Applied returns the last entry that the state machine has applied.
func (r *Replica) Applied() uint64 { return uint64(r.status.Load().Applied) }

// Changed returns a channel that is closed when entries have been applied, or
// a snapshot restored, after the call.
func (r *Replica) Changed() <-chan struct{} {
	r.changedMu.Lock()
	defer r.changedMu.Unlock()
	return r.changed
}

func (r *Replica) noteChange() {
	r.changedMu.Lock()
	defer r.changedMu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

// ContactAge tells how long ago this replica was last surely in touch with a
// quorum. It may be too high by a round trip, never too low; it keeps rising
// while the replica is cut off, its disk hangs, or it has failed.
func (r *Replica) ContactAge() time.Duration {
	at := time.Duration(r.contactAt.Load())
	if at == 0 {
		return neverInContact
	}
	return r.now() - at
}

// neverInContact is the age reported before any contact with a quorum.
const neverInContact = 365 * 24 * time.Hour

// Err returns why the replica takes no further part; nil while it does.
func (r *Replica) Err() error {
	if err := r.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// Done returns a channel that is closed once the replica has ended, by Close or
// by a failure that Err tells.
func (r *Replica) Done() <-chan struct{} { return r.ended }

// Close ends the replica. A leader hands over first, so that commands wait for
// one election without a timeout. What was accepted and not yet answered ends
// as unknown.
func (r *Replica) Close() error {
	r.stopOnce.Do(func() { close(r.stopping) })
	<-r.ended
	return nil
}
