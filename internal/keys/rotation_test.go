package keys

import (
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/table"
)

// canVerify reports whether a receiver has the key set that the signer signs with.
func canVerify(t *testing.T, receiver, signer []table.KeySet) bool {
	t.Helper()
	current, err := (&table.Table{Keys: signer}).CurrentKeys()
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range receiver {
		if k.Generation == current.Generation {
			return true
		}
	}
	return false
}

// Guards against flows that break because processes receive the steps of a rotation at
// different times: a process that is one step behind or ahead can verify what another
// signs.
func TestRotationWorksOneStepApart(t *testing.T) {
	is := is.New(t)
	random := rand.NewChaCha8([32]byte{1})
	sets, err := StartRotation(nil, random)
	is.NoErr(err)
	is.True(!sets[0].Pending) // the first key set signs at once
	for range 300 {           // so that the generation counter wraps
		old := sets
		begun, err := StartRotation(old, random)
		is.NoErr(err)
		is.True(canVerify(t, old, begun)) // a pending key set doesn't sign
		_, err = StartRotation(begun, random)
		is.True(errors.Is(err, ErrRotationInProgress))

		promoted, err := Promote(begun)
		is.NoErr(err)
		is.True(canVerify(t, begun, promoted))
		is.True(canVerify(t, promoted, begun))
		is.True(!canVerify(t, old, promoted)) // why Promote requires AllAcknowledged

		_, err = Retire(promoted, promoted[1].Generation)
		is.True(errors.Is(err, ErrGenerationSigns))
		sets, err = Retire(promoted, old[0].Generation)
		is.NoErr(err)
		is.True(canVerify(t, sets, promoted))
	}
	_, err = Promote(sets)
	is.True(errors.Is(err, ErrNoPendingKeys))
	_, err = Retire(sets, sets[0].Generation+1)
	is.True(errors.Is(err, ErrUnknownGeneration))
}

// Guards against two generations that have equal bits in a connection ID: after eight
// rotations without a retirement the next one is refused.
func TestGenerationsWithEqualBitsAreRefused(t *testing.T) {
	is := is.New(t)
	random := rand.NewChaCha8([32]byte{2})
	var sets []table.KeySet
	for range MaxGenerations {
		next, err := StartRotation(sets, random)
		is.NoErr(err)
		if len(sets) > 0 {
			next, err = Promote(next)
			is.NoErr(err)
		}
		sets = next
	}
	_, err := StartRotation(sets, random)
	is.True(errors.Is(err, ErrTooManyGenerations))
}

func TestAllAcknowledged(t *testing.T) {
	is := is.New(t)
	is.True(AllAcknowledged(7, []table.Revision{7, 9, 8}))
	is.True(!AllAcknowledged(7, []table.Revision{7, 6, 8}))
}
