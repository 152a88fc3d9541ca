package replica

import (
	"bergamotstall/internal/framing"
	"bergamotstall/internal/raft"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/replica/messages.go -o ../internal/replica/messages_gen.go -tests=false -unexported -io=false

// Frames between replicas. A connection carries one direction: its dialler
// sends, and gets only greetings and pongs back.
const (
	kindGreeting framing.Kind = iota + 1
	kindQuorum
	kindForward
	kindForwardReply
	kindJoin
	kindPing
	kindPong
)

// protocolVersion changes with any frame that an older replica can't read.
const protocolVersion = 1

// greeting opens a connection, in both directions.
type greeting struct {
	Version uint64  `msg:"v"`
	Cluster uint64  `msg:"c"`
	Replica raft.ID `msg:"r"`
	Name    string  `msg:"n"`
	// Address is where the sender takes connections.
	Address string `msg:"a"`
}

// operation says what a forwarded request asks of the leader.
type operation uint8

const (
	opPropose operation = iota + 1
	opAdd
	opRemove
	opReplace
)

// forward carries a request to the leader.
type forward struct {
	// Number is the sender's own number of the request.
	Number  uint64    `msg:"n"`
	Op      operation `msg:"o"`
	Command []byte    `msg:"c"`
	// Member is the newcomer of opAdd.
	Member raft.Member `msg:"m"`
	// Target is the member that opRemove and opReplace take out.
	Target raft.ID `msg:"t"`
}

// verdict is what is certain about a request.
type verdict uint8

const (
	verdictDone verdict = iota + 1
	verdictNotRun
	verdictUnknown
)

// reasonCode carries a reason between replicas.
type reasonCode uint8

// forwardReply ends a forward.
type forwardReply struct {
	Number  uint64     `msg:"n"`
	Verdict verdict    `msg:"v"`
	Reason  reasonCode `msg:"r"`
	Outcome []byte     `msg:"o"`
}

// join is a fresh replica's wish to be taken in.
type join struct {
	Member raft.Member `msg:"m"`
}

// pulse is the empty body of pings and pongs.
type pulse struct{}
