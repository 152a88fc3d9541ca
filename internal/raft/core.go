// Package raft is the deterministic core of the replicated log, a member of
// the Raft family (Ongaro and Ousterhout, 2014; pre-vote, check-quorum, learners
// and read-index from Ongaro's thesis). Time, randomness and messages come in
// as arguments; what must be written, sent and applied comes out as a Ready.
// Nothing here touches a network, a disk or a clock.
//
// The load it answers: few commands (some thousand a day), read by every
// balancer, under restarts, partitions and lost disks. Without agreement two
// operators on two sides of a partition would each put a preset in force, and
// one would revert when the sides meet.
package raft

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
)

const (
	// entryOverhead is what an entry costs on the wire beside its data.
	entryOverhead = 32
	// maxUncommitted bounds what a leader appends without an answer from a
	// quorum. A leader cut off would otherwise gather commands without bound
	// until its check-quorum ends its term.
	maxUncommitted = 4096
	// maxReads bounds the reads that wait for a heartbeat round.
	maxReads = 4096
)

// Errors of a refused proposal or read; nothing was appended.
var (
	ErrNotLeader = errors.New("raft: not the leader")
	ErrNoLeader  = errors.New("raft: no leader known")
	ErrBusy      = errors.New("raft: too much is uncommitted")
)

// State is what a replica does in its term.
type State uint8

const (
	Follower State = iota + 1
	PreCandidate
	Candidate
	Leader
)

func (s State) String() string {
	switch s {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "none"
}

// Config sets one core up.
type Config struct {
	ID ID
	// ElectionTimeout is the shortest silence after which a replica asks for an
	// election; the longest is half as long again, drawn from Rand each time, so
	// that split votes end. It must be several heartbeats, or one lost message
	// unseats a leader.
	ElectionTimeout time.Duration
	// Heartbeat is the time between a leader's heartbeats.
	Heartbeat time.Duration
	Rand      *rand.Rand
	// AppendBytes bounds one append message.
	AppendBytes int
	// ChunkBytes bounds one chunk of a snapshot.
	ChunkBytes int
	// KeepEntries is how many entries before a snapshot stay in memory for
	// replicas that lag a little.
	KeepEntries int
}

// Defaults fills what is unset with values for control VMs a few milliseconds
// apart.
func (c Config) Defaults() Config {
	if c.Heartbeat <= 0 {
		c.Heartbeat = 100 * time.Millisecond
	}
	if c.ElectionTimeout <= 0 {
		c.ElectionTimeout = 10 * c.Heartbeat
	}
	if c.AppendBytes <= 0 {
		c.AppendBytes = 1 << 20
	}
	if c.ChunkBytes <= 0 {
		c.ChunkBytes = 256 << 10
	}
	return c
}

// Stored is what a replica's disk gave back.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
	// Commit is an entry that was known to be committed; 0 if unknown. A replica
	// that starts can apply up to it before it hears from a leader.
	Commit Index
}

// Empty says that the replica never took part in anything.
func (s Stored) Empty() bool {
	return s.Hard == HardState{} && s.Snapshot.Index == 0 && len(s.Entries) == 0
}

// Bootstrap returns the first state of a new cluster with one voter.
func Bootstrap(first Member) (Stored, error) {
	first.Role = Voter
	data, err := (&Membership{Members: []Member{first}}).MarshalMsg(nil)
	if err != nil {
		return Stored{}, errors.Wrap(err, "raft: encode membership")
	}
	return Stored{
		Hard:    HardState{Term: 1},
		Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: data}},
	}, nil
}

// Place is where a proposal was appended. The entry at Index is the proposal
// only if it has this Term once committed.
type Place struct {
	Index Index
	Term  Term
}

// ReadResult releases a read: once the entry at Index is applied, the state
// machine is at least as new as everything answered before the read began.
type ReadResult struct {
	Context uint64
	Index   Index
}

// Core is one replica's part in the agreement. It isn't safe for concurrent
// use; one goroutine owns it.
type Core struct {
	cfg    Config
	faults faults

	now   time.Duration
	state State
	term  Term
	vote  ID
	lead  ID

	log          entryLog
	members      Membership
	membersIndex Index

	// votes are the answers to the election under way.
	votes    map[ID]bool
	handOver bool
	// needed is set on a learner that had to refuse a vote because its own log
	// is newer.
	needed     bool
	electionAt time.Duration
	heardLead  time.Duration

	// contactAt is when this replica was last known in touch with a quorum.
	contactAt time.Duration
	contact   bool

	progress    map[ID]*progress
	round       uint64
	rounds      []sentRound
	heartbeatAt time.Duration
	checkAt     time.Duration

	reads     []pendingRead
	readsDone []ReadResult

	incoming *incomingSnapshot
	install  *Snapshot

	// probation is set from a restart until enough others have said what they
	// know of this replica.
	probation bool
	// leaderless is set from a restart in which nobody was found to hear a leader
	// until this replica hears one, or leads.
	leaderless bool
	boot       Message
	helloAt    time.Duration
	// helloFrom holds who answered, and the leader that each heard.
	helloFrom  map[ID]ID
	newest     Membership
	newestAt   Index
	regression *RegressionError
	removed    bool
	known      map[ID]Known

	saved HardState
	out   []Message
}

// New returns a core that goes on from what was stored.
func New(cfg Config, stored Stored, now time.Duration) *Core {
	return newCore(cfg, stored, now, faults{})
}

func newCore(cfg Config, stored Stored, now time.Duration, f faults) *Core {
	c := &Core{
		cfg:       cfg.Defaults(),
		faults:    f,
		now:       now,
		state:     Follower,
		term:      stored.Hard.Term,
		vote:      stored.Hard.Vote,
		saved:     stored.Hard,
		log:       newLog(stored),
		known:     map[ID]Known{},
		helloFrom: map[ID]ID{},
	}
	c.adoptMembers()
	c.heardLead = now - c.cfg.ElectionTimeout
	c.resetElection()
	c.startProbation(stored.Empty())
	return c
}

// Tick lets time pass. The caller handles waiting messages first: after a stall
// they often hold the leader's heartbeats.
func (c *Core) Tick(now time.Duration) {
	c.setNow(now)
	if c.halted() {
		return
	}
	if c.probation {
		c.tickProbation()
		return
	}
	if c.state == Leader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionAt {
		c.campaign(true, false)
	}
}

func (c *Core) setNow(now time.Duration) { c.now = max(c.now, now) }

// Propose appends a command to the leader's log.
func (c *Core) Propose(command []byte) (Place, error) {
	if c.state != Leader {
		return Place{}, ErrNotLeader
	}
	if c.log.last()-c.log.commit >= maxUncommitted {
		return Place{}, ErrBusy
	}
	return c.appendOwn(EntryCommand, command), nil
}

func (c *Core) appendOwn(kind EntryKind, data []byte) Place {
	e := Entry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.append(e)
	if kind == EntryMembers {
		c.adoptMembers()
	}
	c.broadcastAppend()
	return Place{Index: e.Index, Term: e.Term}
}

// Ready is what the driver must do, in this order: send Early; sync Snapshot,
// Hard and Entries; send Messages; apply Snapshot and Committed; release Reads;
// call Advance.
type Ready struct {
	// Hard is to be stored if HardChanged.
	Hard        HardState
	HardChanged bool
	// Snapshot replaces the stored state and the state machine, if not nil.
	Snapshot *Snapshot
	// Entries are to be stored; stored entries from Entries[0].Index on go.
	Entries []Entry
	// Commit is to be stored along, whenever something else is.
	Commit Index
	// Early may leave before the sync: a leader's messages, which promise
	// nothing about its own disk.
	Early []Message
	// Messages promise what the sync makes durable.
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
}

// Sync says whether the Ready holds anything to be stored.
func (r *Ready) Sync() bool { return r.HardChanged || r.Snapshot != nil || len(r.Entries) > 0 }

// Ready returns the work that has gathered; false if there is none. After it no
// other method may be called until Advance.
func (c *Core) Ready() (Ready, bool) {
	c.startReadRound()
	r := Ready{
		Hard:      HardState{Term: c.term, Vote: c.vote},
		Snapshot:  c.install,
		Entries:   c.log.between(max(c.log.stable, c.log.snapshot.Index), c.log.last()),
		Committed: c.log.between(c.log.handed, c.log.commit),
		Reads:     c.readsDone,
		Commit:    c.log.commit,
	}
	r.HardChanged = r.Hard != c.saved
	for _, m := range c.out {
		if c.isEarly(m, r.HardChanged) {
			r.Early = append(r.Early, m)
		} else {
			r.Messages = append(r.Messages, m)
		}
	}
	c.out, c.readsDone, c.install = nil, nil, nil
	some := r.Sync() || len(r.Early)+len(r.Messages)+len(r.Committed)+len(r.Reads) > 0
	return r, some
}

// isEarly holds for messages whose sender makes no promise about its disk. A
// leader counts its own entries only after its sync, so entries may travel
// while it writes them; its term was stored before it asked for votes.
func (c *Core) isEarly(m Message, hardChanged bool) bool {
	if c.faults.ackBeforeSync {
		return true
	}
	if hardChanged {
		return false
	}
	return m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot
}

// Advance tells the core that a Ready was carried out.
func (c *Core) Advance(r Ready) {
	c.saved = r.Hard
	if r.Snapshot != nil {
		c.log.stable = max(c.log.stable, r.Snapshot.Index)
	}
	if n := len(r.Entries); n > 0 {
		c.log.stable = max(c.log.stable, r.Entries[n-1].Index)
	}
	if n := len(r.Committed); n > 0 {
		c.log.handed = max(c.log.handed, r.Committed[n-1].Index)
	}
	if c.state == Leader {
		c.advanceLeader()
	}
}

// Compact takes over a snapshot that the state machine made at an applied
// index; data is the state machine's.
func (c *Core) Compact(at Index, data []byte) (Snapshot, error) {
	t, ok := c.log.term(at)
	if !ok || at > c.log.handed || at <= c.log.snapshot.Index {
		return Snapshot{}, errors.Errorf("raft: no snapshot at %d", at)
	}
	s := Snapshot{Index: at, Term: t, Members: c.log.membershipAt(at), Data: data}
	c.log.compact(s, c.cfg.KeepEntries)
	return s, nil
}

// Tail returns the synced entries after the snapshot: what a journal must hold
// beside it.
func (c *Core) Tail() []Entry {
	return c.log.between(c.log.snapshot.Index, c.log.stable)
}

func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	c.out = append(c.out, m)
}

func (c *Core) quorum() int { return len(c.members.Voters())/2 + 1 }
