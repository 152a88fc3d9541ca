// Package packet holds what the product knows of a packet that it carries and
// can't change: its ends, its flags and its sequence numbers. The layout on the
// wire is the platform's; a Codec reads and marks it.
package packet

import (
	"fmt"
	"time"
)

// Flow names one connection between a client and a service address.
type Flow struct {
	Client  Endpoint
	Service Endpoint
}

// String returns both ends, for log lines.
func (f Flow) String() string { return fmt.Sprintf("%s>%s", f.Client, f.Service) }

// Flags are the marks of a packet that decisions depend on.
type Flags uint8

// The flags.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Bounced marks a packet that a target handed back because it doesn't hold
	// the flow, or can't take a new one.
	Bounced
)

// Has tells whether all of the given flags are set.
func (f Flags) Has(x Flags) bool { return f&x == x }

// Packet is a decoded packet head.
type Packet struct {
	Src, Dst Endpoint
	Flags    Flags
	// Seq numbers the sender's bytes, Ack the bytes that it has from the other
	// end. In a client's SYN, Ack counts the copies sent before.
	Seq, Ack uint32
	// Data is how many bytes of data the packet carries.
	Data int
	// Tag is a mark of the system's own that a target leaves in place when it
	// hands a packet back.
	Tag uint16
}

// Opens tells whether this is the first packet of a flow, or a copy of it.
func (p Packet) Opens() bool { return p.Flags&(SYN|ACK) == SYN }

// Closes tells whether its sender closes its half of the flow, or ends the flow.
func (p Packet) Closes() bool { return p.Flags&(FIN|RST) != 0 }

// OpenPatience is how long a client waits for a target's answer to the first
// packet of a flow: the platform's figure. After it the flow is of no use.
const OpenPatience = 1400 * time.Millisecond

// copiesAfter is when the platform's clients send the copies of a first packet.
var copiesAfter = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// SinceFirst is how long before this packet its client began to open the flow, for
// a first packet or a copy of it.
func (p Packet) SinceFirst() time.Duration {
	return copiesAfter[min(p.Ack, uint32(len(copiesAfter)-1))]
}

// FromClient returns the flow of a packet that a client sent.
func (p Packet) FromClient() Flow { return Flow{Client: p.Src, Service: p.Dst} }

// FromTarget returns the flow of a packet that a target sent.
func (p Packet) FromTarget() Flow { return Flow{Client: p.Dst, Service: p.Src} }

// Codec reads and marks the platform's packets. Its methods allocate nothing.
type Codec interface {
	// Decode reads the head; it fails on bytes that are no whole packet.
	Decode(raw []byte) (Packet, error)
	// Mark sets the tag and clears Bounced, so that another target takes the
	// packet as its sender wrote it.
	Mark(raw []byte, tag uint16)
	// AppendReset appends a reset from the flow's service address to its client.
	AppendReset(to []byte, f Flow, seq uint32) []byte
}
