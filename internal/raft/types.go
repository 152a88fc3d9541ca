package raft

import (
	"fmt"
	"time"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/raft/types.go -o ../internal/raft/types_gen.go -tests=false

// ID identifies a replica. It is drawn at random when the data folder is created, and is
// never reused after the replica is removed. Zero means no replica.
type ID uint64

func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// Term is the number of an election. A term has at most one leader.
type Term uint64

// Index is the position of an entry in the log. The first entry has index 1.
type Index uint64

// EntryKind is the type of an entry's data.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryMembers holds an encoded Membership.
	EntryMembers
	// EntryEmpty is the first entry of each leader's term. Committing it tells the leader
	// which older entries are committed.
	EntryEmpty
)

// Entry is one log entry.
type Entry struct {
	Index Index     `msg:"i"`
	Term  Term      `msg:"t"`
	Kind  EntryKind `msg:"k"`
	Data  []byte    `msg:"d"`
}

// Role tells whether a member counts towards the quorum.
type Role uint8

const (
	// Voter members elect leaders and count towards commits.
	Voter Role = iota + 1
	// Learner members receive the log but don't count towards the quorum. They become
	// voters once they have caught up.
	Learner
	// Standby members receive the log and don't count towards the quorum. They replace
	// voters that are silent or leave.
	Standby
)

func (r Role) String() string {
	switch r {
	case Voter:
		return "voter"
	case Standby:
		return "standby"
	}
	return "learner"
}

// Member describes one replica of the cluster.
type Member struct {
	ID ID `msg:"i"`
	// Name is the VM's name, as the operator set it.
	Name string `msg:"n"`
	// Address is the "ip:port" that other replicas dial.
	Address string `msg:"a"`
	Role    Role   `msg:"r"`
	// Replaces is the member that this one replaces once it is a voter; 0 if none. A member
	// of the same name is removed. Another one becomes a standby if Config.Voters is set.
	Replaces ID `msg:"p"`
	// Zone is the VM's data centre; empty if unknown.
	Zone string `msg:"z"`
}

// Membership is the full list of members. It is stored in the log as one entry and takes
// effect as soon as that entry is appended, before it is committed.
type Membership struct {
	Members []Member `msg:"m"`
	// Removed lists the IDs of removed members. They can't rejoin.
	Removed []ID `msg:"x"`
}

// HardState must be on stable storage before a reply is sent. A replica that lost Term or
// Vote could vote twice in one term, and two leaders could share that term.
type HardState struct {
	Term Term `msg:"t"`
	Vote ID   `msg:"v"`
}

// Snapshot is the state of the state machine after it applied the entry at Index.
type Snapshot struct {
	Index   Index      `msg:"i"`
	Term    Term       `msg:"t"`
	Members Membership `msg:"m"`
	Data    []byte     `msg:"d"`
}

// MessageKind is the type of a message.
type MessageKind uint8

const (
	// MsgPreVote asks whether the sender could win an election in Term. It doesn't change
	// the receiver's state.
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	// MsgAppend carries the entries that follow (Index, LogTerm).
	MsgAppend
	// MsgAppendReply acknowledges synced entries up to and including Index.
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	// MsgSnapshotReply acknowledges the snapshot's bytes before Chunk.Offset.
	MsgSnapshotReply
	// MsgReadIndex asks the leader for a read index.
	MsgReadIndex
	MsgReadIndexReply
	// MsgHello is sent by a restarted replica to ask what the receiver knows of it.
	MsgHello
	MsgHelloReply
	// MsgTimeoutNow transfers leadership: the receiver starts an election at once.
	MsgTimeoutNow
)

// Chunk is one part of an encoded snapshot.
type Chunk struct {
	// Index and Term identify the snapshot.
	Index Index `msg:"i"`
	Term  Term  `msg:"t"`
	// Offset is the position of Data in the encoded snapshot. In a reply it is the next
	// byte wanted.
	Offset uint64 `msg:"o"`
	// Total is the size of the encoded snapshot in bytes.
	Total uint64 `msg:"s"`
	Data  []byte `msg:"d"`
}

// Message is one message between replicas. Kind tells which fields are used.
type Message struct {
	Kind MessageKind `msg:"k"`
	From ID          `msg:"f"`
	To   ID          `msg:"o"`
	Term Term        `msg:"t"`
	// Index and LogTerm are the entry before Entries, the sender's last entry in a vote
	// request or hello, or the acknowledged entry in a reply.
	Index   Index   `msg:"i,omitempty"`
	LogTerm Term    `msg:"l,omitempty"`
	Commit  Index   `msg:"c,omitempty"`
	Entries []Entry `msg:"e,omitempty"`
	Reject  bool    `msg:"r,omitempty"`
	// IgnoreLease marks a vote request that follows a leadership transfer. Receivers
	// handle it even while they hear from a leader.
	IgnoreLease bool `msg:"h,omitempty"`
	// Round is the number of the heartbeat round within the leader's term.
	Round uint64 `msg:"n,omitempty"`
	// Context identifies a read at the replica that asked for it. In heartbeats and
	// hellos it is the random number of the follower's current start; Timestamp is only
	// valid for that start.
	Context uint64 `msg:"x,omitempty"`
	// ContactAge is how long before sending the leader last had contact with a quorum.
	ContactAge time.Duration `msg:"a,omitempty"`
	// Timestamp is the follower's clock reading, which the leader sends back.
	Timestamp time.Duration `msg:"s,omitempty"`
	Chunk     *Chunk        `msg:"u,omitempty"`
	Record    *PeerRecord   `msg:"w,omitempty"`
}

// PeerRecord is what one replica remembers of another: a lower bound on what the other
// one must still have on disk.
type PeerRecord struct {
	// Term is the highest term in which the peer sent a message.
	Term Term `msg:"t"`
	// Match is the last entry that the peer acknowledged in AckTerm.
	AckTerm Term  `msg:"a"`
	Match   Index `msg:"m"`
	// Committed is the last committed entry that the peer acknowledged.
	Committed Index `msg:"c"`
	// Members is the membership of the replica that replies, set by the entry at
	// MembersIndex. All members that the asking replica knows may have been replaced
	// while it was down.
	Members      Membership `msg:"l"`
	MembersIndex Index      `msg:"i"`
	// Leader is the leader that the replying replica hears from; 0 if none.
	Leader ID `msg:"h"`
}
