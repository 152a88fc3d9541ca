package keys

import (
	"io"
	"slices"

	"bergamotstall/internal/table"
)

// generationBits is how much of a generation travels in a connection ID.
const generationBits = MaxGenerations - 1

// Begin starts a rotation with keys from the given source of randomness; see Add.
func Begin(sets []table.KeySet, random io.Reader) ([]table.KeySet, error) {
	ks, err := NewKeySet(0, random)
	if err != nil {
		return nil, err
	}
	return Add(sets, ks)
}

// Add starts a rotation: it adds a key set, as its next generation, that everyone
// shall know and nobody shall sign with yet. A balancer that met a connection ID
// of a generation it doesn't know would send the packet to the wrong agent, and
// the flow would break.
func Add(sets []table.KeySet, ks table.KeySet) ([]table.KeySet, error) {
	if slices.ContainsFunc(sets, isPending) {
		return nil, ErrRotationRuns
	}
	if len(sets) >= MaxGenerations {
		return nil, ErrTooMany
	}
	next := uint8(1)
	if len(sets) > 0 {
		next = newest(sets) + 1
	}
	if slices.ContainsFunc(sets, func(k table.KeySet) bool { return k.Generation&generationBits == next&generationBits }) {
		return nil, ErrTooMany
	}
	ks.Generation = next
	// The first key set of all has nobody to wait for.
	ks.Pending = len(sets) > 0
	return append(slices.Clone(sets), ks), nil
}

// Promote lets the pending key set sign. Call it once Known says that everyone
// holds a table with it.
func Promote(sets []table.KeySet) ([]table.KeySet, error) {
	i := slices.IndexFunc(sets, isPending)
	if i < 0 {
		return nil, ErrNothingToDo
	}
	out := slices.Clone(sets)
	out[i].Pending = false
	return out, nil
}

// Known tells whether all subscribers have acknowledged the table revision in
// which the pending key set came. One that is away gets the newest table before
// anything else when it returns, but steers by its old one until then; leave out
// those that have been reported silent.
func Known(since table.Revision, acknowledged []table.Revision) bool {
	return !slices.ContainsFunc(acknowledged, func(r table.Revision) bool { return r < since })
}

// Retire drops a generation. Flows whose connection IDs carry it break, so it
// comes after the last of them has ended.
func Retire(sets []table.KeySet, generation uint8) ([]table.KeySet, error) {
	i := slices.IndexFunc(sets, func(k table.KeySet) bool { return k.Generation == generation })
	if i < 0 {
		return nil, ErrUnknown
	}
	current, err := (&table.Table{Keys: sets}).CurrentKeys()
	if err != nil {
		return nil, err
	}
	if current.Generation == generation {
		return nil, ErrSigning
	}
	return slices.Delete(slices.Clone(sets), i, i+1), nil
}

func isPending(k table.KeySet) bool { return k.Pending }

// newest returns the highest generation; the counter wraps.
func newest(sets []table.KeySet) uint8 {
	best := sets[0].Generation
	for _, k := range sets[1:] {
		if int8(k.Generation-best) > 0 {
			best = k.Generation
		}
	}
	return best
}
