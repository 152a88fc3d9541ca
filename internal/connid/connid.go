// Package connid encodes agent numbers in QUIC connection IDs and decodes them. The
// fabric may send any packet of a flow to any balancer, and balancers share no flow
// table: without the number in the ID, a flow would break at the first packet that
// reaches a balancer with a different table than the one before.
//
// An ID is one byte whose low three bits select the key generation, followed by one
// AES-128 block with the agent number, four zero check bytes and eight random bytes.
// Encryption keeps observers from linking the IDs of a flow and from directing traffic at
// one target. The check bytes make a random ID pass for one of ours only once in 2^32.
//
// The upper five bits of the first byte are random. A fixed pattern would let operators
// recognize the system's packets in a capture, but also everyone else; an operator with
// the key can use KeyRing.Decode.
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

// Entropy is the random part of an ID. An agent's IDs with the same entropy and key are
// the same.
type Entropy struct {
	// First fills the upper five bits of the first byte.
	First byte
	// Block fills the random bytes of the encrypted block.
	Block [8]byte
}

// Origin says where a connection ID comes from.
type Origin uint8

const (
	// Foreign IDs weren't made with any key of the ring: a caller's own initial ID, or
	// noise.
	Foreign Origin = iota
	// Ours carries an agent number.
	Ours
	// UnknownGeneration IDs have our length but a key generation that the ring lacks.
	// They may come from a newer table, or from a caller by chance.
	UnknownGeneration
)

// ErrKey is returned for a connection ID key that isn't an AES-128 key.
var ErrKey = errors.New("connid: key must have 16 bytes")

// KeyRing holds the valid keys by the low bits of their generation. It is read-only once
// built.
type KeyRing struct {
	blocks [generationMask + 1]cipher.Block
}

// NewKeyRing builds a key ring from a table's keys. It returns ErrKey if one has the wrong
// length.
func NewKeyRing(keys []table.KeySet) (*KeyRing, error) {
	r := &KeyRing{}
	for _, k := range keys {
		if len(k.ConnID) != aes.BlockSize {
			return nil, errors.Wrapf(ErrKey, "generation %d", k.Generation)
		}
		block, err := aes.NewCipher(k.ConnID)
		if err != nil {
			return nil, errors.Wrap(err, "connid: create cipher")
		}
		r.blocks[k.Generation&generationMask] = block
	}
	return r, nil
}

// Scratch is working memory for Decode. Each goroutine keeps one: a local array would be
// allocated for each packet, because it is passed through an interface.
type Scratch [aes.BlockSize]byte

// Encode returns an ID for an agent with the key of the given generation, and false if
// the ring lacks the key.
func (r *KeyRing) Encode(generation uint8, agent table.AgentNumber, e Entropy) ([Size]byte, bool) {
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

// Decode returns the origin of an ID, and the agent's number if it is ours.
func (r *KeyRing) Decode(id []byte, scratch *Scratch) (table.AgentNumber, Origin) {
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

// Generation returns the low bits of an ID's key generation.
func Generation(id []byte) uint8 { return id[0] & generationMask }
