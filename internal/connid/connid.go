// Package connid writes agent numbers into QUIC connection IDs and reads them
// back. The fabric may hand any packet of a flow to any balancer, and balancers
// share no table of flows: without the number in the ID, a flow would break at
// the first packet that reaches a balancer whose table differs from that of the
// one before.
//
// An ID is one byte whose low three bits pick the key generation, and one
// AES-128 block over the agent number, four zero check bytes and eight random
// bytes. Encryption keeps observers from linking the IDs of a flow and from
// aiming at one target; the check bytes let a random ID pass for one of ours
// only once in 2^32.
//
// The upper five bits of the first byte are random. A fixed pattern would let
// operators tell the system's packets in a capture, but it would tell everyone
// else too; with the key, Ring.Decode tells an operator more.
package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"

	"github.com/go-faster/errors"

	"bergamotstall/internal/table"
)

const (
	// Size is the length of every connection ID, in bytes.
	Size = 1 + aes.BlockSize

	generationMask = 0x07
	numberEnd      = 4
	checkEnd       = 8
)

// Entropy is the random part of an ID. Two IDs of one agent with the same
// entropy are the same ID.
type Entropy struct {
	// First fills the upper five bits of the first byte.
	First byte
	// Block goes under the encryption.
	Block [8]byte
}

// Origin says whose a connection ID is.
type Origin uint8

const (
	// Foreign IDs were not made under any key of the ring: a caller's own
	// first ID, or noise.
	Foreign Origin = iota
	// Ours carries an agent number.
	Ours
	// UnknownGeneration has our length but a generation that the ring lacks. It
	// may come from a newer table, or from a caller by chance.
	UnknownGeneration
)

// ErrKey is returned for a connection ID key that isn't an AES-128 key.
var ErrKey = errors.New("connid: key must have 16 bytes")

// Ring holds the valid keys by the low bits of their generation. It is
// read-only once built.
type Ring struct {
	blocks [generationMask + 1]cipher.Block
}

// NewRing builds the ring of a table's keys. It returns ErrKey for a bad one.
func NewRing(keys []table.KeySet) (*Ring, error) {
	r := &Ring{}
	for _, k := range keys {
		if len(k.ConnID) != aes.BlockSize {
			return nil, errors.Wrapf(ErrKey, "generation %d", k.Generation)
		}
		block, err := aes.NewCipher(k.ConnID)
		if err != nil {
			return nil, errors.Wrap(err, "connid: cipher")
		}
		r.blocks[k.Generation&generationMask] = block
	}
	return r, nil
}

// Scratch is the working memory of Decode. Each goroutine keeps one: the block
// passes through an interface, so that a local one would be allocated for each
// packet.
type Scratch [aes.BlockSize]byte

// Encode returns the ID of an agent under the given generation, and false where
// the ring has no such key.
func (r *Ring) Encode(generation uint8, agent table.AgentNumber, e Entropy) ([Size]byte, bool) {
	var id [Size]byte
	block := r.blocks[generation&generationMask]
	if block == nil {
		return id, false
	}
	id[0] = e.First&^generationMask | generation&generationMask
	binary.BigEndian.PutUint32(id[1:], uint32(agent))
	copy(id[1+checkEnd:], e.Block[:])
	block.Encrypt(id[1:], id[1:])
	return id, true
}

// Decode tells whose the ID is, and the agent's number where it is ours.
func (r *Ring) Decode(id []byte, scratch *Scratch) (table.AgentNumber, Origin) {
	if len(id) != Size {
		return 0, Foreign
	}
	block := r.blocks[id[0]&generationMask]
	if block == nil {
		return 0, UnknownGeneration
	}
	block.Decrypt(scratch[:], id[1:])
	if binary.BigEndian.Uint32(scratch[numberEnd:checkEnd]) != 0 {
		return 0, Foreign
	}
	return table.AgentNumber(binary.BigEndian.Uint32(scratch[:numberEnd])), Ours
}

// Generation returns the low bits of the generation that an ID names.
func Generation(id []byte) uint8 { return id[0] & generationMask }
