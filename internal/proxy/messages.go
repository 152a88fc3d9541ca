package proxy

import "bergamotstall/internal/table"

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/proxy/messages.go -o ../internal/proxy/messages_gen.go -tests=false

// Hello opens a framed connection between agents. The addressee is named, since
// an address may have passed to another agent: its votes and its load would be
// taken for the old one's.
type Hello struct {
	Service string            `msg:"s"`
	Agent   table.AgentNumber `msg:"a"`
}

// Welcome answers a Hello. OK is false where the addressee is another.
type Welcome struct {
	OK bool `msg:"o"`
}

// Probe asks for the load.
type Probe struct{}

// LoadReport answers a Probe.
type LoadReport struct {
	Slots   int `msg:"s"`
	Running int `msg:"r"`
	Waiting int `msg:"w"`
	// HoldMicros is the mean time that a request keeps a slot, in microseconds.
	HoldMicros int64 `msg:"h"`
	Closed     bool  `msg:"c"`
}

// Done answers messages that have no other answer.
type Done struct{}
