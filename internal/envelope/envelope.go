// Package envelope encapsulates callers' packets between balancers and agents. The
// envelope names the service and the agent that the packet is meant for. An agent refuses
// a packet meant for another one, so a reassigned address can't carry traffic across
// services. A keyed MAC prevents anyone without the cluster's key from sending packets to
// agents or responses to balancers.
//
// The MAC covers the header, not the caller's packet: QUIC protects its own packets,
// anyone can send initial packets anyway, and hashing the payload would cost several
// times as much as the rest of the envelope (docs/DATAPATH.md).
package envelope

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"
	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/table"
)

// Kind is the type of an envelope.
type Kind uint8

const (
	// Forward carries a caller's packet from a balancer to an agent.
	Forward Kind = iota + 1
	// Return carries an agent's packet to the balancer that sends it to the caller.
	Return
	// Reroute is a Forward whose packet belongs to an agent that the balancer can't reach.
	// It goes to another agent of the service.
	Reroute
	// Probe asks an agent whether it is alive; it carries no packet.
	Probe
	// ProbeReply answers a Probe.
	ProbeReply
)

const (
	macBytes         = 16
	minKeyBytes      = 16
	generationMask   = 0x07
	maxAddrPortBytes = 18

	// Overhead is an upper bound on the bytes that an envelope adds to a packet: the MAC
	// and each header field at its maximum size.
	Overhead = macBytes + 1 + 5 + 5 + 2 + maxAddrPortBytes + 9 + 1 + 5 + 2 + maxAddrPortBytes
	// MaxPayload is the largest packet that fits into an envelope: an Ethernet frame less
	// the IPv6 header, UDP header and envelope. Larger packets are dropped and counted;
	// QUIC's path MTU discovery treats them as lost probes.
	MaxPayload = 1500 - 40 - 8 - Overhead
	// MaxHops is how often agents may forward one packet to another agent.
	MaxHops = 2
)

// Header is the header of an envelope.
type Header struct {
	Kind Kind
	// Generation of the MAC key, its low three bits.
	Generation uint8
	Service    table.ServiceID
	// Agent is the receiver of a Forward, Reroute or Probe, and the sender of a Return or
	// ProbeReply.
	Agent table.AgentNumber
	// Caller is the caller's address.
	Caller netip.AddrPort
	// Revision of the table that the sender used.
	Revision table.Revision
	// Hops is how often agents have forwarded the packet to another agent.
	Hops uint8
	// ForwardedBy is the last agent that forwarded the packet, or the agent that a balancer
	// avoids.
	ForwardedBy table.AgentNumber
	// Balancer is where the agent's packets go if that isn't the address that the
	// envelope came from. Agents set it when they forward a packet to another agent.
	Balancer netip.AddrPort
}

var (
	// ErrMalformed is returned for a datagram that isn't an envelope.
	ErrMalformed = errors.New("envelope: malformed")
	// ErrGeneration is returned if the ring has no key of the envelope's generation.
	ErrGeneration = errors.New("envelope: unknown key generation")
	// ErrForged is returned if the MAC doesn't match.
	ErrForged = errors.New("envelope: MAC doesn't match")
	// ErrKey is returned for a MAC key that is too short.
	ErrKey = errors.New("envelope: key must have at least 16 bytes")
)

// macKey is one slot of a KeyRing. present is false if the ring has no key in the slot.
type macKey struct {
	k0, k1  uint64
	present bool
}

// KeyRing holds the valid MAC keys, indexed by the low bits of their generation. It is
// read-only once built, and safe for concurrent use.
type KeyRing struct {
	keys [generationMask + 1]macKey
}

// NewKeyRing builds the ring from a table's key sets. It returns ErrKey if a key is too
// short.
func NewKeyRing(keys []table.KeySet) (*KeyRing, error) {
	r := &KeyRing{}
	for _, k := range keys {
		if len(k.Envelope) < minKeyBytes {
			return nil, errors.Wrapf(ErrKey, "generation %d", k.Generation)
		}
		r.keys[k.Generation&generationMask] = macKey{
			k0:      binary.LittleEndian.Uint64(k.Envelope),
			k1:      binary.LittleEndian.Uint64(k.Envelope[8:]),
			present: true,
		}
	}
	return r, nil
}

// Has tells whether the ring has the key of a generation.
func (k *KeyRing) Has(generation uint8) bool { return k.keys[generation&generationMask].present }

// Append appends the envelope and its payload to dst. It allocates only if dst is too
// small. It returns ErrGeneration if the ring has no key of the header's generation.
func (k *KeyRing) Append(dst []byte, h *Header, payload []byte) ([]byte, error) {
	key := &k.keys[h.Generation&generationMask]
	if !key.present {
		return dst, ErrGeneration
	}
	start := len(dst)
	dst = append(dst, zeroMAC[:]...)
	dst = appendHeader(dst, h)
	writeMAC(key, dst[start:])
	return append(dst, payload...), nil
}

var zeroMAC [macBytes]byte

func writeMAC(key *macKey, signed []byte) {
	a, b := siphash.Hash128(key.k0, key.k1, signed[macBytes:])
	binary.LittleEndian.PutUint64(signed, a)
	binary.LittleEndian.PutUint64(signed[8:], b)
}

func appendHeader(dst []byte, h *Header) []byte {
	dst = msgp.AppendUint8(dst, uint8(h.Kind)<<3|h.Generation&generationMask)
	dst = msgp.AppendUint32(dst, uint32(h.Service))
	dst = msgp.AppendUint32(dst, uint32(h.Agent))
	dst = appendAddrPort(dst, h.Caller)
	dst = msgp.AppendUint64(dst, uint64(h.Revision))
	dst = msgp.AppendUint8(dst, h.Hops)
	dst = msgp.AppendUint32(dst, uint32(h.ForwardedBy))
	return appendAddrPort(dst, h.Balancer)
}

func appendAddrPort(dst []byte, a netip.AddrPort) []byte {
	var raw [maxAddrPortBytes]byte
	n := 0
	switch ip := a.Addr().Unmap(); {
	case ip.Is4():
		b := ip.As4()
		n = copy(raw[:], b[:])
	case ip.Is6():
		b := ip.As16()
		n = copy(raw[:], b[:])
	default:
		return msgp.AppendBytes(dst, nil)
	}
	binary.BigEndian.PutUint16(raw[n:], a.Port())
	return msgp.AppendBytes(dst, raw[:n+2])
}

// Open verifies a datagram, decodes its header into h, and returns the payload, which is
// a part of the datagram. It doesn't allocate.
func (k *KeyRing) Open(datagram []byte, h *Header) ([]byte, error) {
	if len(datagram) <= macBytes {
		return nil, ErrMalformed
	}
	payload, err := readHeader(datagram[macBytes:], h)
	if err != nil {
		return nil, ErrMalformed
	}
	key := &k.keys[h.Generation]
	if !key.present {
		return nil, ErrGeneration
	}
	signed := datagram[macBytes : len(datagram)-len(payload)]
	a, b := siphash.Hash128(key.k0, key.k1, signed)
	diff := a ^ binary.LittleEndian.Uint64(datagram)
	diff |= b ^ binary.LittleEndian.Uint64(datagram[8:])
	if diff != 0 {
		return nil, ErrForged
	}
	return payload, nil
}

func readHeader(b []byte, h *Header) ([]byte, error) {
	first, b, err := msgp.ReadUint8Bytes(b)
	if err != nil {
		return nil, err
	}
	h.Kind, h.Generation = Kind(first>>3), first&generationMask
	service, b, err := msgp.ReadUint32Bytes(b)
	if err != nil {
		return nil, err
	}
	agent, b, err := msgp.ReadUint32Bytes(b)
	if err != nil {
		return nil, err
	}
	h.Service, h.Agent = table.ServiceID(service), table.AgentNumber(agent)
	if h.Caller, b, err = readAddrPort(b); err != nil {
		return nil, err
	}
	revision, b, err := msgp.ReadUint64Bytes(b)
	if err != nil {
		return nil, err
	}
	h.Revision = table.Revision(revision)
	if h.Hops, b, err = msgp.ReadUint8Bytes(b); err != nil {
		return nil, err
	}
	forwardedBy, b, err := msgp.ReadUint32Bytes(b)
	if err != nil {
		return nil, err
	}
	h.ForwardedBy = table.AgentNumber(forwardedBy)
	h.Balancer, b, err = readAddrPort(b)
	return b, err
}

func readAddrPort(b []byte) (netip.AddrPort, []byte, error) {
	raw, rest, err := msgp.ReadBytesZC(b)
	if err != nil {
		return netip.AddrPort{}, b, err
	}
	switch len(raw) {
	case 0:
		return netip.AddrPort{}, rest, nil
	case 6:
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw)), binary.BigEndian.Uint16(raw[4:])), rest, nil
	case maxAddrPortBytes:
		return netip.AddrPortFrom(netip.AddrFrom16([16]byte(raw)), binary.BigEndian.Uint16(raw[16:])), rest, nil
	}
	return netip.AddrPort{}, b, ErrMalformed
}
