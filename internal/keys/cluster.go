package keys

import (
	"io"

	"github.com/go-faster/errors"

	"bergamotstall/internal/table"
)

const (
	connIDSize   = 16
	envelopeSize = 32
	resetSize    = 32
	tokenSize    = 32
	hashSize     = 16
	// MaxGenerations is how many key sets may be valid at once: the generation
	// travels in three bits of a connection ID, and two sets that share them
	// couldn't be told apart.
	MaxGenerations = 8
)

// Errors of a rotation step taken out of order.
var (
	ErrRotationRuns = errors.New("keys: a rotation is under way: promote its pending key set first")
	ErrNothingToDo  = errors.New("keys: no pending key set")
	ErrTooMany      = errors.New("keys: eight generations are valid: retire the oldest first")
	ErrSigning      = errors.New("keys: the generation signs; it can't be retired")
	ErrUnknown      = errors.New("keys: no such generation")
)

// NewKeySet makes one generation of the cluster keys from the given source of
// randomness, which is crypto/rand.Reader but in tests.
func NewKeySet(generation uint8, random io.Reader) (table.KeySet, error) {
	ks := table.KeySet{Generation: generation}
	parts := []struct {
		key  *[]byte
		size int
	}{
		{&ks.ConnID, connIDSize},
		{&ks.Envelope, envelopeSize},
		{&ks.Reset, resetSize},
		{&ks.Token, tokenSize},
		{&ks.Hash, hashSize},
	}
	for _, p := range parts {
		*p.key = make([]byte, p.size)
		if _, err := io.ReadFull(random, *p.key); err != nil {
			return table.KeySet{}, errors.Wrap(err, "keys: randomness")
		}
	}
	return ks, nil
}
