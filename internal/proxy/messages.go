package proxy

import "bergamotstall/internal/table"

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/proxy/messages.go -o ../internal/proxy/messages_gen.go -tests=false

// Hello opens a framed connection between agents. It names the agent it is addressed to:
// the address may have been reassigned to another agent, whose votes and load must not be
// taken for the old one's.
type Hello struct {
	Service string            `msg:"s"`
	Agent   table.AgentNumber `msg:"a"`
}

// HelloReply answers a Hello. OK is false if the Hello is addressed to another agent.
type HelloReply struct {
	OK bool `msg:"o"`
}

// Probe asks a peer for its load.
type Probe struct{}

// LoadReport answers a Probe.
type LoadReport struct {
	Slots   int `msg:"s"`
	Running int `msg:"r"`
	Waiting int `msg:"w"`
	// SlotTimeMicros is the mean time that a request keeps its slot, in microseconds.
	SlotTimeMicros int64 `msg:"h"`
	// Closed is set if the agent takes no new requests.
	Closed bool `msg:"c"`
}

// Ack acknowledges messages that have no other reply.
type Ack struct{}
