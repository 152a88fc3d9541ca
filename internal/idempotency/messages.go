package idempotency

import "bergamotstall/internal/table"

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/idempotency/messages.go -o ../internal/idempotency/messages_gen.go -tests=false

// Hash is a truncated SHA-256.
type Hash [16]byte

// Key identifies one idempotency key of one service.
type Key Hash

// ClaimID identifies one claim. IDs are never reused: an agent number belongs to one
// incarnation, and the nonce counts its claims.
type ClaimID struct {
	Agent table.AgentNumber `msg:"a"`
	Nonce uint64            `msg:"n"`
}

// Request asks a voter for its vote on a key.
type Request struct {
	Key Key     `msg:"k"`
	ID  ClaimID `msg:"i"`
	// Caller is the hash of the caller's credential, Body that of the request's method,
	// URI and body.
	Caller Hash `msg:"c"`
	Body   Hash `msg:"b"`
}

// KeyState is a voter's reply to a claim: its vote, or the key's state that prevents it.
type KeyState uint8

// States of a key.
const (
	// Granted: the claim has the voter's vote.
	Granted KeyState = iota + 1
	// HeldByOtherClaim: another claim holds the key, and its request may be running.
	HeldByOtherClaim
	// NoAnswer: another claim sent its request to the target and got no response.
	NoAnswer
	// Done: the request has run; the response is included unless it wasn't stored.
	Done
	// OtherBody and OtherCaller: the key was used for a different request or by a
	// different caller.
	OtherBody
	OtherCaller
	// Full: the voter has reached its limit of keys, in total or for this caller.
	Full
	// Closed: the voter is shutting down, is retired or has an old table, or the claim
	// already released the key. It grants no vote.
	Closed
)

// Reply is a voter's reply to a Request.
type Reply struct {
	State KeyState `msg:"s"`
	// MergedVoters lists the closed voters whose records this voter has merged.
	MergedVoters []table.AgentNumber `msg:"m"`
	// Response is set with Done if it was stored.
	Response *Response `msg:"a"`
}

// Response is a target's response that is small enough to be stored.
type Response struct {
	Status int           `msg:"s"`
	Header []HeaderField `msg:"h"`
	Body   []byte        `msg:"b"`
}

// HeaderField is one header field of a response.
type HeaderField struct {
	Name  string `msg:"n"`
	Value string `msg:"v"`
}

// Release gives back a key whose claim hasn't run its request and never will.
type Release struct {
	Key Key     `msg:"k"`
	ID  ClaimID `msg:"i"`
}

// Finish reports how a claim's request ended after it was sent to the target.
type Finish struct {
	Request Request `msg:"r"`
	// State is Done or NoAnswer.
	State KeyState `msg:"s"`
	// Response is nil if it was too large to be stored.
	Response *Response `msg:"a"`
}

// Handover carries all records of a closing voter to the service's other voters.
// The voter From grants no vote afterwards. MergedVoters are the closed voters whose
// records it had merged before.
type Handover struct {
	From         table.AgentNumber   `msg:"f"`
	MergedVoters []table.AgentNumber `msg:"m"`
	Records      []Record            `msg:"r"`
}

// Record is what a voter knows about one claim of one key.
type Record struct {
	Request  Request   `msg:"r"`
	State    KeyState  `msg:"s"`
	Response *Response `msg:"a"`
	// RemainingMS is the time until the record expires, in milliseconds. It is relative
	// because the clocks of two agents have no common origin.
	RemainingMS int64 `msg:"l"`
}

// HandoverReply answers a Handover. OK tells whether the records were merged.
type HandoverReply struct {
	OK bool `msg:"o"`
}
