package keys

import (
	"io"

	"github.com/go-faster/errors"

	"bergamotstall/internal/table"
)

// Sizes of the keys of a generation, in bytes.
const (
	connIDKeyBytes   = 16
	envelopeKeyBytes = 32
	resetKeyBytes    = 32
	tokenKeyBytes    = 32
	hashKeyBytes     = 16
	// MaxGenerations limits the key sets that are valid at once. A connection ID holds
	// three bits of the generation; two key sets with equal bits couldn't be
	// distinguished.
	MaxGenerations = 8
)

// Errors of a rotation step that isn't possible now. Control stores these texts in its
// replicated state, so a changed wording makes replicas of different versions differ.
var (
	ErrRotationInProgress = errors.New("keys: a rotation is under way: promote its pending key set first")
	ErrNoPendingKeys      = errors.New("keys: no pending key set")
	ErrTooManyGenerations = errors.New("keys: eight generations are valid: retire the oldest first")
	ErrGenerationSigns    = errors.New("keys: the generation signs; it can't be retired")
	ErrUnknownGeneration  = errors.New("keys: no such generation")
)

// NewKeySet creates a generation of the cluster keys from a source of randomness, which is
// crypto/rand.Reader except in tests.
func NewKeySet(generation uint8, random io.Reader) (table.KeySet, error) {
	ks := table.KeySet{Generation: generation}
	parts := []struct {
		key  *[]byte
		size int
	}{
		{&ks.ConnID, connIDKeyBytes},
		{&ks.Envelope, envelopeKeyBytes},
		{&ks.Reset, resetKeyBytes},
		{&ks.Token, tokenKeyBytes},
		{&ks.Hash, hashKeyBytes},
	}
	for _, p := range parts {
		*p.key = make([]byte, p.size)
		if _, err := io.ReadFull(random, *p.key); err != nil {
			return table.KeySet{}, errors.Wrap(err, "keys: read randomness")
		}
	}
	return ks, nil
}
