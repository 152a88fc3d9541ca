// Package packet describes the fields of a forwarded packet that decisions depend on: its
// endpoints, flags and sequence numbers. The wire format is the platform's and can't be
// changed; a Codec decodes and marks it.
package packet

import (
	"fmt"
	"time"
)

// Flow identifies one connection between a client and a service address.
type Flow struct {
	Client  Endpoint
	Service Endpoint
}

// String returns both endpoints, for log lines.
func (f Flow) String() string { return fmt.Sprintf("%s>%s", f.Client, f.Service) }

// Flags are the packet flags that decisions depend on.
type Flags uint8

const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Bounced marks a packet that a target handed back because it doesn't hold the flow
	// or can't accept a new one.
	Bounced
)

// Has tells whether all of the given flags are set.
func (f Flags) Has(x Flags) bool { return f&x == x }

// Packet is a decoded packet header.
type Packet struct {
	Src, Dst Endpoint
	Flags    Flags
	// Seq is the sender's sequence number, Ack its acknowledgement number. In a client's
	// SYN, Ack is the number of copies sent before it.
	Seq, Ack uint32
	// Data is the payload length in bytes.
	Data int
	// Tag is a field for the load balancer's own use, which a target leaves in place when
	// it hands a packet back.
	Tag uint16
}

// Opens tells whether this is the first packet of a flow, or a retransmit of it.
func (p Packet) Opens() bool { return p.Flags&(SYN|ACK) == SYN }

// Closes tells whether the packet closes its sender's half of the flow, or resets the
// flow.
func (p Packet) Closes() bool { return p.Flags&(FIN|RST) != 0 }

// HandshakeTimeout is how long the platform's clients wait for a target's answer to the first
// packet of a flow. After that the flow is of no use.
const HandshakeTimeout = 1400 * time.Millisecond

// retransmitDelays is when the platform's clients send the first packet and its
// retransmits, counted from the first.
var retransmitDelays = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// SinceFirst is how long before this first packet or retransmit its client began to open
// the flow.
func (p Packet) SinceFirst() time.Duration {
	return retransmitDelays[min(p.Ack, uint32(len(retransmitDelays)-1))]
}

// CopiesBy returns how many retransmits of a first packet its client has sent by the time the
// flow has the given age.
func CopiesBy(age time.Duration) int {
	n := 0
	for n+1 < len(retransmitDelays) && age >= retransmitDelays[n+1] {
		n++
	}
	return n
}

// NextCopy is when a client that has sent a first packet, or a copy of it, at the given time
// after it began to open the flow sends the next copy; false if it sends no more.
func NextCopy(sent time.Duration) (time.Duration, bool) {
	for _, after := range retransmitDelays {
		if after > sent {
			return after, true
		}
	}
	return 0, false
}

// FromClient returns the flow of a packet sent by a client.
func (p Packet) FromClient() Flow { return Flow{Client: p.Src, Service: p.Dst} }

// FromTarget returns the flow of a packet sent by a target.
func (p Packet) FromTarget() Flow { return Flow{Client: p.Dst, Service: p.Src} }

// Codec decodes and marks the platform's packets. Its methods don't allocate.
type Codec interface {
	// Decode reads the packet header; it fails on bytes that aren't a complete packet.
	Decode(raw []byte) (Packet, error)
	// SetTag sets the tag and clears Bounced, so that another target accepts the packet as
	// its sender wrote it.
	SetTag(raw []byte, tag uint16)
	// AppendReset appends a reset from the flow's service address to its client.
	AppendReset(to []byte, f Flow, seq uint32) []byte
}
