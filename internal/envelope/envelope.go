// Package envelope wraps callers' packets on their way between balancers and
// agents. The envelope names the service and the agent that the packet is meant
// for: an address that was given to another service's agent meanwhile refuses
// the packet by that, so that a reused address can't carry traffic across
// services. A keyed MAC keeps everyone without the cluster's key from handing
// packets to agents or answers to balancers.
//
// The MAC covers the header, not the caller's packet: QUIC protects its own
// packets, first flights can be sent by anyone anyway, and hashing the payload
// would cost several times the rest of the envelope (docs/DATAPATH.md).
package envelope

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"
	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/table"
)

// Kind says which way a packet goes.
type Kind uint8

const (
	// Forward carries a caller's packet to an agent.
	Forward Kind = iota + 1
	// Return carries an agent's packet to the balancer that sends it on.
	Return
	// Orphan is a Forward whose packet names an agent that the balancer can't
	// reach. It goes to another agent of the service.
	Orphan
	// Probe asks an agent for a sign of life; it carries no packet.
	Probe
	// Alive answers a Probe.
	Alive
)

const (
	macSize        = 16
	keySize        = 16
	generationMask = 0x07
	addrPortMax    = 18

	// Overhead bounds the bytes that an envelope adds to a packet: the MAC, and
	// each header field at its longest.
	Overhead = macSize + 1 + 5 + 5 + 2 + addrPortMax + 9 + 1 + 5 + 2 + addrPortMax
	// MaxPayload is the largest packet that an envelope carries: an Ethernet
	// frame less IPv6, UDP and the envelope. Larger ones are dropped and
	// counted; QUIC's path MTU discovery takes them for lost probes.
	MaxPayload = 1500 - 40 - 8 - Overhead
	// MaxHops bounds how often agents hand one packet on.
	MaxHops = 2
)

// Header is what an envelope says about its packet.
type Header struct {
	Kind Kind
	// Generation of the key that signed, low three bits.
	Generation uint8
	Service    table.ServiceID
	// Agent is the receiver of a Forward, Orphan or Probe, the sender of a Return
	// or Alive.
	Agent table.AgentNumber
	// Caller is the far end of the flow.
	Caller netip.AddrPort
	// Revision of the table that the sender decided by.
	Revision table.Revision
	// Hops counts the agents that handed the packet on.
	Hops uint8
	// HandedBy is the last agent that handed the packet on, or the one that a
	// balancer avoids.
	HandedBy table.AgentNumber
	// Balancer is where answers go, where that isn't the address that the
	// envelope came from: agents that hand a packet on set it.
	Balancer netip.AddrPort
}

var (
	// ErrMalformed is returned for a datagram that is no envelope.
	ErrMalformed = errors.New("envelope: malformed")
	// ErrGeneration is returned where the ring lacks the key that signed.
	ErrGeneration = errors.New("envelope: unknown key generation")
	// ErrForged is returned for a MAC that doesn't match.
	ErrForged = errors.New("envelope: MAC doesn't match")
	// ErrKey is returned for an envelope key that is too short.
	ErrKey = errors.New("envelope: key must have 16 bytes or more")
)

type macKey struct {
	k0, k1 uint64
	valid  bool
}

// Ring holds the valid MAC keys by the low bits of their generation. It is
// read-only once built.
type Ring struct {
	keys [generationMask + 1]macKey
}

// NewRing builds the ring of a table's keys. It returns ErrKey for a bad one.
func NewRing(keys []table.KeySet) (*Ring, error) {
	r := &Ring{}
	for _, k := range keys {
		if len(k.Envelope) < keySize {
			return nil, errors.Wrapf(ErrKey, "generation %d", k.Generation)
		}
		r.keys[k.Generation&generationMask] = macKey{
			k0:    binary.LittleEndian.Uint64(k.Envelope),
			k1:    binary.LittleEndian.Uint64(k.Envelope[8:]),
			valid: true,
		}
	}
	return r, nil
}

// Has tells whether the ring can sign under a generation.
func (r *Ring) Has(generation uint8) bool { return r.keys[generation&generationMask].valid }

// Append adds the envelope with its payload to dst. It allocates only where dst
// is too small. The header's generation must be in the ring.
func (r *Ring) Append(dst []byte, h *Header, payload []byte) ([]byte, error) {
	key := &r.keys[h.Generation&generationMask]
	if !key.valid {
		return dst, ErrGeneration
	}
	start := len(dst)
	dst = append(dst, zeroMAC[:]...)
	dst = appendHeader(dst, h)
	seal(key, dst[start:])
	return append(dst, payload...), nil
}

var zeroMAC [macSize]byte

func seal(key *macKey, signed []byte) {
	a, b := siphash.Hash128(key.k0, key.k1, signed[macSize:])
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
	dst = msgp.AppendUint32(dst, uint32(h.HandedBy))
	return appendAddrPort(dst, h.Balancer)
}

func appendAddrPort(dst []byte, a netip.AddrPort) []byte {
	var raw [addrPortMax]byte
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

// Open checks a datagram and returns its header and payload, which is a part of
// the datagram. It allocates nothing.
func (r *Ring) Open(datagram []byte, h *Header) ([]byte, error) {
	if len(datagram) <= macSize {
		return nil, ErrMalformed
	}
	payload, err := readHeader(datagram[macSize:], h)
	if err != nil {
		return nil, ErrMalformed
	}
	key := &r.keys[h.Generation]
	if !key.valid {
		return nil, ErrGeneration
	}
	signed := datagram[macSize : len(datagram)-len(payload)]
	a, b := siphash.Hash128(key.k0, key.k1, signed)
	wrong := a ^ binary.LittleEndian.Uint64(datagram)
	wrong |= b ^ binary.LittleEndian.Uint64(datagram[8:])
	if wrong != 0 {
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
	handedBy, b, err := msgp.ReadUint32Bytes(b)
	if err != nil {
		return nil, err
	}
	h.HandedBy = table.AgentNumber(handedBy)
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
	case addrPortMax:
		return netip.AddrPortFrom(netip.AddrFrom16([16]byte(raw)), binary.BigEndian.Uint16(raw[16:])), rest, nil
	}
	return netip.AddrPort{}, b, ErrMalformed
}
