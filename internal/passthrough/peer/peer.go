// Package peer is the datagram protocol between balancers and agents of pass-through
// flows: forwarded packets, packets handed back, questions about the holder of a flow and
// their answers, and the agents' reports.
package peer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/metrics"
	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/route"
	"bergamotstall/internal/passthrough/traffic"
)

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/passthrough/peer/messages.go -o ../internal/passthrough/peer/messages_gen.go -tests=false -io=false

// Kind is a datagram's first byte.
type Kind uint8

const (
	// KindDeliver carries a client's packet from a balancer to an agent.
	KindDeliver Kind = iota + 1
	// KindRefused carries a packet that an agent hands back to the balancer.
	KindRefused
	// KindAsk and KindAnswer carry batches of questions and of answers, KindReport a
	// Report in msgpack.
	KindAsk
	KindAnswer
	KindReport
	// KindProbe asks an agent for a Report; it has no body.
	KindProbe
)

// Kinds of traffic other than datagrams between nodes: packets exchanged with the fabric,
// clients and targets, and the messages of control's streams.
const (
	KindPacket Kind = 0
	KindStream Kind = KindProbe + 1
)

var kindNames = [...]string{"packet", "deliver", "refused", "ask", "answer", "report", "probe", "control"}

// NewMeter returns a meter that counts a node's traffic by Kind.
func NewMeter(m *metrics.Set) *traffic.Meter { return traffic.New(m, kindNames[:]...) }

// PacketKind returns the kind of a packet exchanged with the fabric, a client or a
// target.
func PacketKind([]byte) int { return int(KindPacket) }

// NodeKind returns the kind of a datagram between nodes.
func NodeKind(raw []byte) int { return int(KindOf(raw)) }

// Reason says why an agent hands a packet back.
type Reason uint8

const (
	// NotHeld means that the target doesn't hold the packet's flow.
	NotHeld Reason = iota + 1
	// Draining means that the target is draining and accepts no new flows.
	Draining
	// Full means that the target handed the first packet back, or that too many first
	// packets wait there.
	Full
	// TargetSilent means that the target didn't answer the first packet in time.
	TargetSilent
	// WrongService means that the agent's target now belongs to another service.
	WrongService
	// NoTarget means that the agent has no target yet, or no longer has one.
	NoTarget
	// Busy means that the first packet waited for a free slot for as long as is useful to
	// its caller, or that its turn would come too late. It must not be offered to another
	// target, unless its route's goal is in force and that one has a free slot or a short
	// queue.
	Busy
	// Evacuated means that the target's data centre accepts no new flows.
	Evacuated
	// Cold means that the target is warming up and can't take more new flows now.
	Cold
	// NotHome means that the route doesn't allow targets of this region.
	NotHome
)

var reasonNames = [...]string{"", "not-held", "draining", "full", "silent", "wrong-service", "no-target", "busy", "evacuated", "cold", "not-home"}

func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Header precedes a carried packet. It has a fixed size, because it is encoded and decoded
// for each packet of every flow.
type Header struct {
	Kind Kind
	// Reason is set in KindRefused.
	Reason Reason
	// Usage is set in KindDeliver with a first packet: its client's usage as the balancer
	// knows it. It takes the place of Reason, which builds before ignore there.
	Usage fairshare.Stamp
	// Service is the one that the packet is for. An agent whose target belongs to another
	// service, as after an address was reused, refuses the packet.
	Service route.ServiceID
	// Age is for how many milliseconds the packet has been held by balancers and agents.
	Age uint16
}

// AgeMillis converts a duration to the unit and range of Header.Age.
func AgeMillis(d time.Duration) uint16 {
	return uint16(max(0, min(d.Milliseconds(), math.MaxUint16)))
}

// Waited returns Age as a duration.
func (h Header) Waited() time.Duration { return time.Duration(h.Age) * time.Millisecond }

// HeaderSize is the encoded size of Header in bytes.
const HeaderSize = 12

// ErrBadLength means that a datagram's length doesn't fit its kind.
var ErrBadLength = errors.New("peer: datagram has an invalid length")

// Append encodes the header and the packet after it.
func (h Header) Append(to, raw []byte) []byte {
	second := byte(h.Reason)
	if h.Kind == KindDeliver {
		second = byte(h.Usage)
	}
	to = append(to, byte(h.Kind), second)
	to = binary.BigEndian.AppendUint64(to, uint64(h.Service))
	to = binary.BigEndian.AppendUint16(to, h.Age)
	return append(to, raw...)
}

// DecodeHeader splits a datagram into header and packet. It fails with ErrBadLength.
func DecodeHeader(b []byte) (Header, []byte, error) {
	if len(b) < HeaderSize {
		return Header{}, nil, errors.Wrapf(ErrBadLength, "%d bytes", len(b))
	}
	h := Header{Kind: Kind(b[0]), Service: route.ServiceID(binary.BigEndian.Uint64(b[2:])), Age: binary.BigEndian.Uint16(b[10:])}
	if h.Kind == KindDeliver {
		h.Usage = fairshare.Stamp(b[1])
	} else {
		h.Reason = Reason(b[1])
	}
	return h, b[HeaderSize:], nil
}

// DecodeCarried splits a datagram into header and packet, and decodes the packet.
func DecodeCarried(codec packet.Codec, b []byte) (Header, packet.Packet, []byte, error) {
	h, raw, err := DecodeHeader(b)
	if err != nil {
		return h, packet.Packet{}, nil, err
	}
	p, err := codec.Decode(raw)
	return h, p, raw, err
}

// KindOf returns a datagram's kind, 0 if it is empty.
func KindOf(b []byte) Kind {
	if len(b) == 0 {
		return 0
	}
	return Kind(b[0])
}

// Question asks an agent whether its target holds a flow.
type Question struct {
	Flow packet.Flow
	// Ack is the acknowledgement number of the client's packet. It distinguishes the
	// target whose handshake the client completed from one that only answered a
	// retransmit of the first packet.
	Ack uint32
}

// FlowStatus is an agent's status of a flow.
type FlowStatus uint8

const (
	// Holds means that the target has the flow open.
	Holds FlowStatus = iota + 1
	// Lacks means that the target certainly doesn't have the flow.
	Lacks
	// Unsure means that the target may have the flow: the agent started after its target
	// and hasn't seen all flows yet.
	Unsure
)

// Answer is the answer to one Question.
type Answer struct {
	Question Question
	Status   FlowStatus
}

// Questions and answers have a fixed binary encoding: when all flows of a large service are
// searched at once, they are most of a balancer's traffic. In msgpack they take more than
// twice the space.
const (
	questionSize = 16
	answerSize   = questionSize + 1
)

// QuestionCost is the bytes that a question takes in a datagram of its own, including the
// headers of UDP and IP.
const QuestionCost = 1 + questionSize + 28

// SharedQuestionCost is the bytes that each further question adds to a datagram.
const SharedQuestionCost = questionSize

// AppendAsk encodes a batch of questions.
func AppendAsk(to []byte, qs []Question) []byte {
	to = append(to, byte(KindAsk))
	for _, q := range qs {
		to = q.append(to)
	}
	return to
}

// AppendAnswer encodes a batch of answers.
func AppendAnswer(to []byte, rs []Answer) []byte {
	to = append(to, byte(KindAnswer))
	for _, r := range rs {
		to = r.Question.append(to)
		to = append(to, byte(r.Status))
	}
	return to
}

func (q Question) append(to []byte) []byte {
	to = append(to, q.Flow.Client.IP[:]...)
	to = binary.BigEndian.AppendUint16(to, q.Flow.Client.Port)
	to = append(to, q.Flow.Service.IP[:]...)
	to = binary.BigEndian.AppendUint16(to, q.Flow.Service.Port)
	return binary.BigEndian.AppendUint32(to, q.Ack)
}

func decodeQuestion(b []byte) Question {
	return Question{
		Flow: packet.Flow{
			Client:  packet.Endpoint{IP: [4]byte(b), Port: binary.BigEndian.Uint16(b[4:])},
			Service: packet.Endpoint{IP: [4]byte(b[6:]), Port: binary.BigEndian.Uint16(b[10:])},
		},
		Ack: binary.BigEndian.Uint32(b[12:]),
	}
}

// ReadAsk calls handle for each question of a datagram.
func ReadAsk(b []byte, handle func(Question)) error {
	if len(b) < 1 || (len(b)-1)%questionSize != 0 {
		return errors.Wrapf(ErrBadLength, "batch of questions with %d bytes", len(b))
	}
	for b = b[1:]; len(b) > 0; b = b[questionSize:] {
		handle(decodeQuestion(b))
	}
	return nil
}

// ReadAnswer calls handle for each answer of a datagram.
func ReadAnswer(b []byte, handle func(Answer)) error {
	if len(b) < 1 || (len(b)-1)%answerSize != 0 {
		return errors.Wrapf(ErrBadLength, "batch of answers with %d bytes", len(b))
	}
	for b = b[1:]; len(b) > 0; b = b[answerSize:] {
		handle(Answer{Question: decodeQuestion(b), Status: FlowStatus(b[questionSize])})
	}
	return nil
}
