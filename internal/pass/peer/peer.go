// Package peer is what balancers and agents of pass-through flows say to each
// other in datagrams: packets on their way, packets handed back, questions who
// holds a flow, and the agents' reports.
package peer

import (
	"encoding/binary"

	"github.com/go-faster/errors"

	"bergamotstall/internal/pass/packet"
	"bergamotstall/internal/pass/route"
)

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/pass/peer/messages.go -o ../internal/pass/peer/messages_gen.go -tests=false -io=false

// Kind is a datagram's first byte.
type Kind uint8

const (
	// KindDeliver carries a client's packet from a balancer to an agent.
	KindDeliver Kind = iota + 1
	// KindRefused carries it back.
	KindRefused
	// KindAsk, KindAnswer and KindReport have msgpack bodies.
	KindAsk
	KindAnswer
	KindReport
)

// Reason says why an agent hands a packet back.
type Reason uint8

const (
	// NotHeld means that the target doesn't hold the packet's flow.
	NotHeld Reason = iota + 1
	// Draining means that the target takes no new flows because it leaves.
	Draining
	// Full means that the target handed the first packet back.
	Full
	// Silent means that the target didn't answer the first packet in time.
	Silent
	// WrongService means that another service's target is there now.
	WrongService
	// NoTarget means that no target is known there yet, or no longer.
	NoTarget
	// Busy means that the first packet waited in vain for a free slot.
	Busy
)

var reasonNames = [...]string{"", "not-held", "draining", "full", "silent", "wrong-service", "no-target", "busy"}

func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Head precedes a carried packet. It is fixed in size, because it is written
// and read once for each packet of every flow.
type Head struct {
	Kind Kind
	// Reason is set in KindRefused.
	Reason Reason
	// Service is whom the packet is for; an agent whose target is of another
	// service refuses it, as after an address was used again.
	Service route.ServiceID
}

// HeadSize is the bytes before a carried packet.
const HeadSize = 10

// MaxDatagram bounds what is read; the largest is a report or a batch of
// questions.
const MaxDatagram = 2048

// ErrShort means that a datagram is shorter than its kind demands.
var ErrShort = errors.New("peer: datagram too short")

// Append writes the head and the packet behind it.
func (h Head) Append(to, raw []byte) []byte {
	to = append(to, byte(h.Kind), byte(h.Reason))
	to = binary.BigEndian.AppendUint64(to, uint64(h.Service))
	return append(to, raw...)
}

// DecodeHead splits a datagram into head and packet.
func DecodeHead(b []byte) (Head, []byte, error) {
	if len(b) < HeadSize {
		return Head{}, nil, errors.Wrapf(ErrShort, "%d bytes", len(b))
	}
	h := Head{Kind: Kind(b[0]), Reason: Reason(b[1]), Service: route.ServiceID(binary.BigEndian.Uint64(b[2:]))}
	return h, b[HeadSize:], nil
}

// FlowOf returns the flow of a question.
func (q Question) FlowOf() packet.Flow {
	return packet.Flow{
		Client:  packet.Endpoint{IP: q.ClientIP, Port: q.ClientPort},
		Service: packet.Endpoint{IP: q.ServiceIP, Port: q.ServicePort},
	}
}

// QuestionOf asks for a flow.
func QuestionOf(f packet.Flow, ack uint32) Question {
	return Question{
		ClientIP: f.Client.IP, ClientPort: f.Client.Port,
		ServiceIP: f.Service.IP, ServicePort: f.Service.Port, Ack: ack,
	}
}
