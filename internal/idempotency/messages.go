package idempotency

import "bergamotstall/internal/table"

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/idempotency/messages.go -o ../internal/idempotency/messages_gen.go -tests=false

// Sum is a truncated SHA-256.
type Sum [16]byte

// Key names one idempotency key of one service.
type Key Sum

// ID names one claimant's one try for a key. IDs are never used twice: the agent
// number is one incarnation's, the nonce counts its tries.
type ID struct {
	Agent table.AgentNumber `msg:"a"`
	Nonce uint64            `msg:"n"`
}

// Request asks a keeper for a key.
type Request struct {
	Key Key `msg:"k"`
	ID  ID  `msg:"i"`
	// Caller is the hash of the caller's credential, Body that of the request's
	// method, path and body.
	Caller Sum `msg:"c"`
	Body   Sum `msg:"b"`
}

// Standing is what a keeper says about a key.
type Standing uint8

// Standings.
const (
	// Granted: the keeper's vote is the claimant's.
	Granted Standing = iota + 1
	// Held: another try has the key; its request may be running.
	Held
	// Lost: another try handed its request over and got no answer.
	Lost
	// Done: the request has run; the answer is there unless it was too large.
	Done
	// OtherBody and OtherCaller: the key was used for another request or by
	// another caller.
	OtherBody
	OtherCaller
	// Full: the keeper can't take one more key, in all or of this caller.
	Full
	// Closed: the keeper leaves, is retired or has an old table; it grants
	// nothing.
	Closed
)

// Reply is a keeper's answer.
type Reply struct {
	Standing Standing `msg:"s"`
	// Merged lists the keepers that have closed and whose records this one has.
	Merged []table.AgentNumber `msg:"m"`
	// Answer is set with Done, where it was kept.
	Answer *Answer `msg:"a"`
}

// Answer is a target's answer, small enough to be kept.
type Answer struct {
	Status int     `msg:"s"`
	Header []Field `msg:"h"`
	Body   []byte  `msg:"b"`
}

// Field is one header field.
type Field struct {
	Name  string `msg:"n"`
	Value string `msg:"v"`
}

// Release gives a key back: its try has run nothing and never will.
type Release struct {
	Key Key `msg:"k"`
	ID  ID  `msg:"i"`
}

// Finish tells how a try ended after the hand-over to its target.
type Finish struct {
	Request Request `msg:"r"`
	// Standing is Done or Lost.
	Standing Standing `msg:"s"`
	// Answer is nil where it was too large to be kept.
	Answer *Answer `msg:"a"`
}

// Handover carries all that a keeper knows when it closes, to every other
// keeper of the service. From never grants anything afterwards.
type Handover struct {
	From    table.AgentNumber   `msg:"f"`
	Merged  []table.AgentNumber `msg:"m"`
	Records []Record            `msg:"r"`
}

// Record is what a keeper knows about one try for one key.
type Record struct {
	Request  Request  `msg:"r"`
	Standing Standing `msg:"s"`
	Answer   *Answer  `msg:"a"`
	// LeftMS is how long the record stays, in milliseconds. It is relative, since
	// two agents' clocks have no common origin.
	LeftMS int64 `msg:"l"`
}

// Taken answers a Handover.
type Taken struct {
	OK bool `msg:"o"`
}
