package replica

import (
	"bergamotstall/internal/framing"
	"bergamotstall/internal/raft"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/replica/messages.go -o ../internal/replica/messages_gen.go -tests=false -unexported -io=false

// Frame kinds between replicas. A connection carries frames from its dialler only; back
// come the handshake and pongs.
const (
	kindHandshake framing.Kind = iota + 1
	kindRaft
	kindForward
	kindForwardReply
	kindJoin
	kindPing
	kindPong
)

// protocolVersion is raised with any frame that an older replica can't decode.
const protocolVersion = 1

// handshake is the first frame in each direction.
type handshake struct {
	Version uint64  `msg:"v"`
	Cluster uint64  `msg:"c"`
	Replica raft.ID `msg:"r"`
	Name    string  `msg:"n"`
	// Address is where the sender accepts connections.
	Address string `msg:"a"`
}

// operation is what a forwarded request asks of the leader.
type operation uint8

const (
	opPropose operation = iota + 1
	opAdd
	opRemove
	opReplace
	opHandOver
)

// forward sends a request to the leader.
type forward struct {
	// Number identifies the request at the sender.
	Number  uint64    `msg:"n"`
	Op      operation `msg:"o"`
	Command []byte    `msg:"c"`
	// Member is the replica that opAdd adds.
	Member raft.Member `msg:"m"`
	// MemberID is the member that opRemove and opReplace remove, or that opHandOver makes a
	// standby.
	MemberID raft.ID `msg:"t"`
}

// verdict tells whether a request ran.
type verdict uint8

const (
	verdictDone verdict = iota + 1
	verdictNotRun
	verdictUnknown
)

// reasonCode is an index into reasons.
type reasonCode uint8

// forwardReply is the reply to a forward.
type forwardReply struct {
	Number  uint64     `msg:"n"`
	Verdict verdict    `msg:"v"`
	Reason  reasonCode `msg:"r"`
	Outcome []byte     `msg:"o"`
}

// joinRequest is a new replica's request to join the cluster.
type joinRequest struct {
	Member raft.Member `msg:"m"`
}

// emptyBody is the body of pings and pongs.
type emptyBody struct{}
