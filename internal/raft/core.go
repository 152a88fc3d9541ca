// Package raft is the deterministic core of the replicated log, an implementation of Raft
// (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, learners and read-index from
// Ongaro's thesis. The caller passes in time, randomness and messages, and Ready returns
// what to write, send and apply. The package uses no network, disk or clock.
//
// It is built for few commands (some thousand a day) that every balancer reads, through
// restarts, partitions and lost disks. Without consensus, two operators on the two sides
// of a partition could each activate a preset, and one of them would be reverted when the
// partition heals.
package raft

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
)

const (
	// entryOverheadBytes is the size of an encoded entry without its data.
	entryOverheadBytes = 32
	// maxUncommittedEntries bounds the entries that a leader appends before a quorum
	// replies. Otherwise a leader that is cut off would append without limit until
	// check-quorum makes it step down.
	maxUncommittedEntries = 4096
	// maxPendingReads bounds the reads that wait for a heartbeat round.
	maxPendingReads = 4096
)

// Errors of a refused proposal or read. Nothing was appended.
var (
	ErrNotLeader = errors.New("raft: not the leader")
	ErrNoLeader  = errors.New("raft: no leader known")
	ErrBusy      = errors.New("raft: too many uncommitted entries")
)

// State is a replica's role in the current term.
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

// Config configures a Core.
type Config struct {
	ID ID
	// ElectionTimeout is the shortest time without a leader after which a replica starts
	// an election. The longest is half as long again and drawn from Rand each time, so
	// that repeated split votes are unlikely. It must span several heartbeats, or one
	// lost message replaces a leader.
	ElectionTimeout time.Duration
	// Heartbeat is the interval between a leader's heartbeats.
	Heartbeat time.Duration
	Rand      *rand.Rand
	// AppendBytes bounds the size of one append message.
	AppendBytes int
	// ChunkBytes bounds the size of one snapshot chunk.
	ChunkBytes int
	// Voters is the number of voters that the leader keeps, if there are as many members:
	// further members are standbys. 0 means that all members vote.
	Voters int
	// KeepEntries is how many entries before a snapshot stay in memory for replicas that
	// are slightly behind.
	KeepEntries int
}

// Defaults returns the config with unset fields filled in, for control VMs a few
// milliseconds apart.
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

// StoredState is the state that a replica read from its disk.
type StoredState struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
	// Commit is the index of an entry known to be committed; 0 if unknown. A restarted
	// replica can apply entries up to it before it hears from a leader.
	Commit Index
}

// Empty reports whether the replica has never stored anything.
func (s StoredState) Empty() bool {
	return s.Hard == HardState{} && s.Snapshot.Index == 0 && len(s.Entries) == 0
}

// Bootstrap returns the initial state of a new cluster with one voter.
func Bootstrap(first Member) (StoredState, error) {
	first.Role = Voter
	data, err := (&Membership{Members: []Member{first}}).MarshalMsg(nil)
	if err != nil {
		return StoredState{}, errors.Wrap(err, "raft: encode membership")
	}
	return StoredState{
		Hard:    HardState{Term: 1},
		Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: data}},
	}, nil
}

// Position is where a proposal was appended. The proposal is committed if the entry
// committed at Index has this Term.
type Position struct {
	Index Index
	Term  Term
}

// ReadResult completes a read. Once the entry at Index is applied, the state machine
// includes every write that was acknowledged before the read began.
type ReadResult struct {
	Context uint64
	Index   Index
}

// Core is the Raft state machine of one replica. It isn't safe for concurrent use.
type Core struct {
	cfg    Config
	faults faults

	now    time.Duration
	state  State
	term   Term
	vote   ID
	leader ID

	log          entryLog
	members      Membership
	membersIndex Index

	// votes holds the replies of the current election.
	votes    map[ID]bool
	transfer bool
	// transferTo is the voter that this leader asked to lead at transferAt; 0 if none.
	transferTo ID
	transferAt time.Duration
	// hasNewerLog is set when this replica refuses a vote because its own log is newer
	// than the candidate's. A learner may then have to lead itself.
	hasNewerLog   bool
	electionAt    time.Duration
	leaderHeardAt time.Duration

	// contactAt is the last time at which this replica is known to have had contact with
	// a quorum. hadContact tells whether it is set.
	contactAt  time.Duration
	hadContact bool

	progress      map[ID]*progress
	round         uint64
	rounds        []sentRound
	heartbeatAt   time.Duration
	quorumCheckAt time.Duration

	reads     []pendingRead
	readsDone []ReadResult

	incoming       *incomingSnapshot
	pendingInstall *Snapshot

	// recovering is set from a restart until enough peers have reported what they know of
	// this replica.
	recovering bool
	// leaderlessRestart is set after a restart in which no peer heard from a leader. It
	// is cleared once this replica hears from a leader or leads.
	leaderlessRestart bool
	hello             Message
	helloAt           time.Duration
	// helloReplies maps each peer that replied to the leader it hears from.
	helloReplies       map[ID]ID
	newestMembers      Membership
	newestMembersIndex Index
	regression         *RegressionError
	removed            bool
	peerRecords        map[ID]PeerRecord

	savedHard HardState
	outbox    []Message
}

// New returns a core that continues from the stored state.
func New(cfg Config, stored StoredState, now time.Duration) *Core {
	return newCore(cfg, stored, now, faults{})
}

func newCore(cfg Config, stored StoredState, now time.Duration, f faults) *Core {
	c := &Core{
		cfg:          cfg.Defaults(),
		faults:       f,
		now:          now,
		state:        Follower,
		term:         stored.Hard.Term,
		vote:         stored.Hard.Vote,
		savedHard:    stored.Hard,
		log:          newLog(stored),
		peerRecords:  map[ID]PeerRecord{},
		helloReplies: map[ID]ID{},
	}
	c.adoptMembers()
	c.leaderHeardAt = now - c.cfg.ElectionTimeout
	c.resetElection()
	c.startRecovery(stored.Empty())
	return c
}

// Tick advances the clock. The caller handles pending messages first, since after a stall
// they often include the leader's heartbeats.
func (c *Core) Tick(now time.Duration) {
	c.advanceClock(now)
	if c.halted() {
		return
	}
	if c.recovering {
		c.tickRecovery()
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

func (c *Core) advanceClock(now time.Duration) { c.now = max(c.now, now) }

// Propose appends a command to the log. Only the leader accepts it.
func (c *Core) Propose(command []byte) (Position, error) {
	if c.state != Leader {
		return Position{}, ErrNotLeader
	}
	if c.log.last()-c.log.commit >= maxUncommittedEntries {
		return Position{}, ErrBusy
	}
	return c.appendEntry(EntryCommand, command), nil
}

func (c *Core) appendEntry(kind EntryKind, data []byte) Position {
	e := Entry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.append(e)
	if kind == EntryMembers {
		c.adoptMembers()
	}
	c.broadcastAppend()
	return Position{Index: e.Index, Term: e.Term}
}

// Ready is the work that the caller must carry out, in this order: send Early; sync
// Snapshot, Hard and Entries; send Messages; apply Snapshot and Committed; complete
// Reads; call Advance.
type Ready struct {
	// Hard is stored if HardChanged.
	Hard        HardState
	HardChanged bool
	// Snapshot, if not nil, replaces the stored state and the state machine's state.
	Snapshot *Snapshot
	// Entries are stored. They replace all stored entries from Entries[0].Index on.
	Entries []Entry
	// Commit is stored along whenever something else is.
	Commit Index
	// Early may be sent before the sync: a leader's messages, which don't depend on its
	// own disk.
	Early []Message
	// Messages are sent after the sync, since they confirm what it made durable.
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
}

// Sync reports whether the Ready holds anything to store.
func (r *Ready) Sync() bool { return r.HardChanged || r.Snapshot != nil || len(r.Entries) > 0 }

// Ready returns the pending work; false if there is none. No other method may be called
// between Ready and Advance.
func (c *Core) Ready() (Ready, bool) {
	c.startReadRound()
	r := Ready{
		Hard:      HardState{Term: c.term, Vote: c.vote},
		Snapshot:  c.pendingInstall,
		Entries:   c.log.between(max(c.log.stable, c.log.snapshot.Index), c.log.last()),
		Committed: c.log.between(c.log.delivered, c.log.commit),
		Reads:     c.readsDone,
		Commit:    c.log.commit,
	}
	r.HardChanged = r.Hard != c.savedHard
	for _, m := range c.outbox {
		if c.isSentBeforeSync(m, r.HardChanged) {
			r.Early = append(r.Early, m)
		} else {
			r.Messages = append(r.Messages, m)
		}
	}
	c.outbox, c.readsDone, c.pendingInstall = nil, nil, nil
	some := r.Sync() || len(r.Early)+len(r.Messages)+len(r.Committed)+len(r.Reads) > 0
	return r, some
}

// isSentBeforeSync reports whether a message may be sent before the sync. A leader counts
// its own entries only after they are synced, so it can replicate them while it writes
// them. Its term was stored before it asked for votes.
func (c *Core) isSentBeforeSync(m Message, hardChanged bool) bool {
	if c.faults.ackBeforeSync {
		return true
	}
	if hardChanged {
		return false
	}
	return m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot
}

// Advance tells the core that a Ready has been carried out.
func (c *Core) Advance(r Ready) {
	c.savedHard = r.Hard
	if r.Snapshot != nil {
		c.log.stable = max(c.log.stable, r.Snapshot.Index)
	}
	if n := len(r.Entries); n > 0 {
		c.log.stable = max(c.log.stable, r.Entries[n-1].Index)
	}
	if n := len(r.Committed); n > 0 {
		c.log.delivered = max(c.log.delivered, r.Committed[n-1].Index)
	}
	if c.state == Leader {
		c.countOwnEntries()
	}
}

// Compact records a snapshot that the state machine took at an applied index, and
// truncates the log. data is the state machine's encoded state.
func (c *Core) Compact(at Index, data []byte) (Snapshot, error) {
	t, ok := c.log.term(at)
	if !ok || at > c.log.delivered || at <= c.log.snapshot.Index {
		return Snapshot{}, errors.Errorf("raft: can't take a snapshot at index %d", at)
	}
	s := Snapshot{Index: at, Term: t, Members: c.log.membershipAt(at), Data: data}
	c.log.compact(s, c.cfg.KeepEntries)
	return s, nil
}

// Tail returns the synced entries after the snapshot, which the journal must store along
// with it.
func (c *Core) Tail() []Entry {
	return c.log.between(c.log.snapshot.Index, c.log.stable)
}

func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	c.outbox = append(c.outbox, m)
}

func (c *Core) quorum() int { return len(c.members.Voters())/2 + 1 }
