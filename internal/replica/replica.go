// Package replica runs one member of the replicated log. It connects the deterministic
// core of package raft to the durable log of package journal and to the other control
// VMs. The caller supplies the state machine.
//
// One goroutine, the loop, owns the core, the journal and the state machine. Other
// goroutines pass messages and requests to it over bounded channels. Requests over the
// limit are refused as not run, and counted.
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

// StateMachine is the state that committed commands change. Apply must be deterministic:
// it must not depend on a clock, randomness or map iteration order. All methods are
// called from one goroutine.
type StateMachine interface {
	// Apply runs one committed command and returns its outcome, which is sent to the
	// caller that proposed it.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the encoded state. It is sent to replicas that are far behind, and
	// allows the log to be truncated.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// TLS configures TLS between replicas. Nil configs mean plain TCP, for tests.
type TLS struct {
	Server *tls.Config
	// Client is used for outgoing connections, through keys.Client. A VM's certificate
	// must be issued for its Config.Name.
	Client *tls.Config
}

// Config configures a replica. Folder, Name, Listen (or Listener) and Log are required.
type Config struct {
	// Zone is the VM's data centre; empty if unknown.
	Zone string
	// Folder is the data folder. A new folder makes a new replica.
	Folder string
	// Name is the VM's name, unique within the cluster.
	Name string
	// Listen is the TCP address on which to accept peers' connections.
	Listen string
	// Listener, if set, is used instead of Listen. The replica closes it.
	Listener net.Listener
	// Advertise is the address that peers dial; the listener's address if empty.
	Advertise string
	// Peers are addresses of other replicas, which a new one asks to join the cluster.
	Peers []string
	// Bootstrap creates a new cluster if the folder is new and no peer belongs to a
	// cluster. Without it, a replica with a new folder waits until it is added as a
	// learner.
	Bootstrap bool
	TLS       TLS
	// MembershipPolicy lets the leader replace and remove members without an operator.
	MembershipPolicy MembershipPolicy
	// Heartbeat is the interval between a leader's heartbeats; 100 ms if 0.
	Heartbeat time.Duration
	// ElectionTimeout is the shortest time without a leader before an election; ten
	// heartbeats if 0.
	ElectionTimeout time.Duration
	// SnapshotEvery is the number of entries applied between snapshots; 10,000 if 0.
	SnapshotEvery int
	// KeepEntries is how many entries before a snapshot stay in memory; 1,000 if 0. A
	// replica that is further behind is sent the snapshot.
	KeepEntries int
	// QueueLimit bounds the pending requests, and separately the pending reads; 1,024 if
	// 0.
	QueueLimit int
	// CommandLimit bounds the size of a command in bytes; 1 MiB if 0.
	CommandLimit int
	// Seed makes election timeouts reproducible; random if 0.
	Seed uint64
	// Dial, if set, is used for outgoing connections.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// FS is the journal's file system; the machine's if nil.
	FS      journal.FS
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

const (
	defaultHeartbeat         = 100 * time.Millisecond
	electionHeartbeats       = 10
	defaultSnapshotEvery     = 10_000
	defaultKeepEntries       = 1_000
	defaultQueueLimit        = 1_024
	defaultCommandLimitBytes = 1 << 20
	// clockStart keeps the loop's clock above zero, which means "no timestamp".
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
		c.CommandLimit = defaultCommandLimitBytes
	}
	if c.FS == nil {
		c.FS = journal.Disk{}
	}
	if c.Metrics == nil {
		c.Metrics = metrics.New()
	}
	return c
}

// Replica is a running member. Its methods are safe for concurrent use.
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

	inbox     chan inbound
	requests  chan *request
	barriers  chan *barrier
	connected chan raft.ID
	stopping  chan struct{}
	stopOnce  sync.Once
	// ended is closed once the loop has ended.
	ended chan struct{}

	status         atomic.Pointer[Status]
	peers          atomic.Pointer[[]string]
	contactAt      atomic.Int64
	failure        atomic.Pointer[error]
	changeSignalMu sync.Mutex
	changeSignal   chan struct{}

	// The fields below belong to the loop.

	applied  raft.Index
	waiters  map[raft.Index]waiter
	forwards map[uint64]forwarded
	// lastNumber is the number of the last forwarded request or read.
	lastNumber         uint64
	reads              map[uint64][]*barrier
	newBarriers        []*barrier
	indexedReads       []indexedRead
	replacements       map[string]replacement
	leader             raft.ID
	membersIndex       raft.Index
	wasLeader          bool
	joinAt             time.Duration
	membershipPolicyAt time.Duration
}

// Open opens the data folder and starts the replica. The state machine must be empty; it
// is restored from the newest snapshot before Open returns.
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
		return nil, errors.Wrap(err, "replica: open data folder")
	}
	r := &Replica{
		cfg: cfg, id: j.Identity().Replica, sm: sm, journal: j, count: newCounters(cfg.Metrics),
		started:      time.Now(),
		inbox:        make(chan inbound, inboxSize),
		requests:     make(chan *request, cfg.QueueLimit),
		barriers:     make(chan *barrier, cfg.QueueLimit),
		connected:    make(chan raft.ID, inboxSize),
		stopping:     make(chan struct{}),
		ended:        make(chan struct{}),
		changeSignal: make(chan struct{}),
		waiters:      map[raft.Index]waiter{},
		forwards:     map[uint64]forwarded{},
		reads:        map[uint64][]*barrier{},
		replacements: map[string]replacement{},
		// Numbers begin at random, so that a reply to an earlier process of the replica
		// doesn't answer a request or a read of this one.
		lastNumber: uint64(newID()),
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

// restore sets up the state machine and the core from the stored state.
func (r *Replica) restore(stored *raft.StoredState) error {
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
		Voters:          r.cfg.MembershipPolicy.voterLimit(),
	}, *stored, r.now())
	return nil
}

// bootstrap creates a new cluster, unless a peer already belongs to one. A VM that lost
// its disk and still has Bootstrap set must not create a second cluster.
func (r *Replica) bootstrap(stored *raft.StoredState) error {
	if address, ok := r.findCluster(); ok {
		events.Log(r.cfg.Log, events.BootstrapSkipped, logrus.Fields{"peer": address})
		return nil
	}
	made, err := raft.Bootstrap(r.member())
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
	r.registerGauges()
	r.server = newServer(r, listener)
	go r.server.run()
	go r.loop()
}

// member describes this replica as a member.
func (r *Replica) member() raft.Member {
	return raft.Member{ID: r.ID(), Name: r.cfg.Name, Address: r.cfg.Advertise, Zone: r.cfg.Zone}
}

// newID returns a random number that isn't zero.
func newID() raft.ID {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return raft.ID(binary.BigEndian.Uint64(b[:]) | 1)
}

// now returns the loop's clock: monotonic time since the process started, plus
// clockStart.
func (r *Replica) now() time.Duration { return clockStart + time.Since(r.started) }

// ID returns the replica's ID.
func (r *Replica) ID() raft.ID { return r.id }

// Applied returns the index of the last entry applied to the state machine.
func (r *Replica) Applied() uint64 { return uint64(r.status.Load().Applied) }

// Changed returns a channel that is closed when, after the call, entries have been
// applied or a snapshot restored.
func (r *Replica) Changed() <-chan struct{} {
	r.changeSignalMu.Lock()
	defer r.changeSignalMu.Unlock()
	return r.changeSignal
}

func (r *Replica) notifyChanged() {
	r.changeSignalMu.Lock()
	defer r.changeSignalMu.Unlock()
	close(r.changeSignal)
	r.changeSignal = make(chan struct{})
}

// ContactAge returns how long ago this replica last had contact with a quorum. It may be
// too high by a round trip, but never too low. It keeps rising while the replica is cut
// off, its disk hangs, or it has failed.
func (r *Replica) ContactAge() time.Duration {
	at := time.Duration(r.contactAt.Load())
	if at == 0 {
		return neverInContact
	}
	return r.now() - at
}

// neverInContact is the contact age before the first contact with a quorum.
const neverInContact = 365 * 24 * time.Hour

// Err returns the failure that stopped the replica; nil if there was none.
func (r *Replica) Err() error {
	if err := r.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// Done returns a channel that is closed once the replica has stopped, after Close or a
// failure that Err returns.
func (r *Replica) Done() <-chan struct{} { return r.ended }

// Close stops the replica. A leader transfers leadership first, so that commands wait for
// an election but not for an election timeout. Requests that are still pending end with
// ErrOutcomeUnknown.
func (r *Replica) Close() error {
	r.stopOnce.Do(func() { close(r.stopping) })
	<-r.ended
	return nil
}
