package raft

import (
	"fmt"
	"time"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/raft/types.go -o ../internal/raft/types_gen.go -tests=false

// ID is a replica's identity: random, made with its data folder and never used
// again once removed. Zero is no replica.
type ID uint64

func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// Term numbers elections; each term has at most one leader.
type Term uint64

// Index is an entry's place in the log; the first is 1.
type Index uint64

// EntryKind says what an entry's data holds.
type EntryKind uint8

const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryMembers carries a whole Membership.
	EntryMembers
	// EntryEmpty is the first entry of each leader's term. By committing it the
	// leader learns which older entries are committed.
	EntryEmpty
)

// Entry is one place in the log.
type Entry struct {
	Index Index     `msg:"i"`
	Term  Term      `msg:"t"`
	Kind  EntryKind `msg:"k"`
	Data  []byte    `msg:"d"`
}

// Role says whether a member's word counts for the quorum.
type Role uint8

const (
	// Voter members elect leaders and commit entries.
	Voter Role = iota + 1
	// Learner members receive the log and count for nothing until caught up.
	Learner
)

func (r Role) String() string {
	if r == Voter {
		return "voter"
	}
	return "learner"
}

// Member is one replica of the membership.
type Member struct {
	ID ID `msg:"i"`
	// Name is the operator's name of the VM.
	Name string `msg:"n"`
	// Address is where other replicas reach it, "ip:port".
	Address string `msg:"a"`
	Role    Role   `msg:"r"`
	// Replaces is the member that is removed once this one is a voter.
	Replaces ID `msg:"p"`
}

// Membership is the whole of who takes part. It travels as one entry and holds
// from the moment that entry is in the log, committed or not.
type Membership struct {
	Members []Member `msg:"m"`
	// Removed identities never take part again.
	Removed []ID `msg:"x"`
}

// HardState is what a replica must not forget: forgetting Vote or Term would let
// it vote twice in one term, and two leaders would share that term.
type HardState struct {
	Term Term `msg:"t"`
	Vote ID   `msg:"v"`
}

// Snapshot is the state machine's state after the entry at Index.
type Snapshot struct {
	Index   Index      `msg:"i"`
	Term    Term       `msg:"t"`
	Members Membership `msg:"m"`
	Data    []byte     `msg:"d"`
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

const (
	// MsgPreVote asks whether an election in Term could be won; it changes no
	// state of the receiver.
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	// MsgAppend carries entries that follow (Index, LogTerm).
	MsgAppend
	// MsgAppendReply acknowledges synced entries up to Index.
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	// MsgSnapshotReply acknowledges a snapshot's bytes up to Chunk.Offset.
	MsgSnapshotReply
	// MsgReadIndex asks the leader for an index to read at.
	MsgReadIndex
	MsgReadIndexReply
	// MsgHello is a restarted replica's question what others know of it.
	MsgHello
	MsgHelloReply
	// MsgElectNow hands leadership over: the receiver campaigns at once.
	MsgElectNow
)

// Chunk is a part of a snapshot under way.
type Chunk struct {
	// Index and Term are the snapshot's.
	Index Index `msg:"i"`
	Term  Term  `msg:"t"`
	// Offset is the place of Data in the encoded snapshot; in a reply it is the
	// next byte wanted.
	Offset uint64 `msg:"o"`
	// Total is the size of the encoded snapshot.
	Total uint64 `msg:"s"`
	Data  []byte `msg:"d"`
}

// Message is one word between replicas. Which fields count depends on Kind.
type Message struct {
	Kind MessageKind `msg:"k"`
	From ID          `msg:"f"`
	To   ID          `msg:"o"`
	Term Term        `msg:"t"`
	// Index and LogTerm are the entry before Entries, the sender's last entry
	// in a vote or hello, or the acknowledged entry in a reply.
	Index   Index   `msg:"i,omitempty"`
	LogTerm Term    `msg:"l,omitempty"`
	Commit  Index   `msg:"c,omitempty"`
	Entries []Entry `msg:"e,omitempty"`
	Reject  bool    `msg:"r,omitempty"`
	// Forced votes come from a leader's hand-over and pass its lease.
	Forced bool `msg:"h,omitempty"`
	// Round numbers the leader's heartbeat rounds within its term.
	Round uint64 `msg:"n,omitempty"`
	// Context is the reader's own number of a read, or in heartbeats and hellos
	// the random number of the follower's start, which Stamp counts from.
	Context uint64 `msg:"x,omitempty"`
	// Age is how long before sending the leader was in touch with a quorum.
	Age time.Duration `msg:"a,omitempty"`
	// Stamp is the follower's clock, which the leader sends back.
	Stamp time.Duration `msg:"s,omitempty"`
	Chunk *Chunk        `msg:"u,omitempty"`
	Known *Known        `msg:"w,omitempty"`
}

// Known is what one replica remembers of another: a lower bound on what that
// one must still have on its disk.
type Known struct {
	// Term is the highest term that it sent a message in.
	Term Term `msg:"t"`
	// Match is the last entry that it acknowledged in AckTerm.
	AckTerm Term  `msg:"a"`
	Match   Index `msg:"m"`
	// Committed is the last entry that it acknowledged and that is committed.
	Committed Index `msg:"c"`
	// Members is the answering replica's membership, set by the entry at
	// MembersAt. The asking one may have been away while all that it knew were
	// replaced.
	Members   Membership `msg:"l"`
	MembersAt Index      `msg:"i"`
	// Leader is the leader that the answering replica hears; 0 if none.
	Leader ID `msg:"h"`
}
