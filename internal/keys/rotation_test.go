package keys

import (
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/table"
)

// knows tells whether a receiver with these key sets can read what a signer with
// those sends.
func knows(t *testing.T, receiver, signer []table.KeySet) bool {
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

// An operator rotates the cluster keys while balancers and agents get each step
// at different moments. No flow breaks: at any time, whoever has the step before
// can read what one with the step after signs, and the other way round. After
// retirement only the old generation's own packets are unreadable.
func TestRotationIsReadableOneStepApart(t *testing.T) {
	is := is.New(t)
	random := rand.NewChaCha8([32]byte{1})
	sets, err := Begin(nil, random)
	is.NoErr(err)
	is.True(!sets[0].Pending) // the first needs no waiting
	for range 300 {           // past the wrap of the generation counter
		old := sets
		begun, err := Begin(old, random)
		is.NoErr(err)
		is.True(knows(t, old, begun)) // a pending key set signs nothing
		_, err = Begin(begun, random)
		is.True(errors.Is(err, ErrRotationRuns))

		promoted, err := Promote(begun)
		is.NoErr(err)
		is.True(knows(t, begun, promoted))
		is.True(knows(t, promoted, begun))
		is.True(!knows(t, old, promoted)) // why Known must hold before Promote

		_, err = Retire(promoted, promoted[1].Generation)
		is.True(errors.Is(err, ErrSigning))
		sets, err = Retire(promoted, old[0].Generation)
		is.NoErr(err)
		is.True(knows(t, sets, promoted))
	}
	_, err = Promote(sets)
	is.True(errors.Is(err, ErrNothingToDo))
	_, err = Retire(sets, sets[0].Generation+1)
	is.True(errors.Is(err, ErrUnknown))
}

// An operator rotates again and again without retiring: the ninth generation
// would look like the first in a connection ID, so it is refused.
func TestNoTwoGenerationsShareTheirBits(t *testing.T) {
	is := is.New(t)
	random := rand.NewChaCha8([32]byte{2})
	var sets []table.KeySet
	for range MaxGenerations {
		next, err := Begin(sets, random)
		is.NoErr(err)
		if len(sets) > 0 {
			next, err = Promote(next)
			is.NoErr(err)
		}
		sets = next
	}
	_, err := Begin(sets, random)
	is.True(errors.Is(err, ErrTooMany))
}

func TestPromotionWaitsForTheSlowest(t *testing.T) {
	is := is.New(t)
	is.True(Known(7, []table.Revision{7, 9, 8}))
	is.True(!Known(7, []table.Revision{7, 6, 8}))
}
