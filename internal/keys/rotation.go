package keys

import (
	"io"
	"slices"

	"bergamotstall/internal/table"
)

// generationMask selects the bits of a generation that a connection ID holds.
const generationMask = MaxGenerations - 1

// StartRotation starts a rotation with new keys from the source of randomness; see
// AddPending.
func StartRotation(sets []table.KeySet, random io.Reader) ([]table.KeySet, error) {
	ks, err := NewKeySet(0, random)
	if err != nil {
		return nil, err
	}
	return AddPending(sets, ks)
}

// AddPending starts a rotation: it adds a key set as the next generation. All processes
// receive it but none signs with it yet. A balancer that receives a connection ID of an
// unknown generation sends the packet to the wrong agent, which breaks the flow.
func AddPending(sets []table.KeySet, ks table.KeySet) ([]table.KeySet, error) {
	if slices.ContainsFunc(sets, isPending) {
		return nil, ErrRotationInProgress
	}
	if len(sets) >= MaxGenerations {
		return nil, ErrTooManyGenerations
	}
	next := uint8(1)
	if len(sets) > 0 {
		next = newestGeneration(sets) + 1
	}
	if slices.ContainsFunc(sets, func(k table.KeySet) bool { return k.Generation&generationMask == next&generationMask }) {
		return nil, ErrTooManyGenerations
	}
	ks.Generation = next
	// The first key set signs at once: no process has an older table.
	ks.Pending = len(sets) > 0
	return append(slices.Clone(sets), ks), nil
}

// Promote makes the pending key set sign. Call it once AllAcknowledged reports that every
// subscriber has a table with it.
func Promote(sets []table.KeySet) ([]table.KeySet, error) {
	i := slices.IndexFunc(sets, isPending)
	if i < 0 {
		return nil, ErrNoPendingKeys
	}
	out := slices.Clone(sets)
	out[i].Pending = false
	return out, nil
}

// AllAcknowledged reports whether all subscribers have acknowledged the table revision
// that added the pending key set. Leave out subscribers that were reported silent. A
// subscriber without a connection uses its old table until it reconnects, when it gets
// the newest table first.
func AllAcknowledged(since table.Revision, acknowledged []table.Revision) bool {
	return !slices.ContainsFunc(acknowledged, func(r table.Revision) bool { return r < since })
}

// Retire removes a generation. It breaks the flows whose connection IDs have this
// generation, so call it after the last of them has ended.
func Retire(sets []table.KeySet, generation uint8) ([]table.KeySet, error) {
	i := slices.IndexFunc(sets, func(k table.KeySet) bool { return k.Generation == generation })
	if i < 0 {
		return nil, ErrUnknownGeneration
	}
	current, err := (&table.Table{Keys: sets}).CurrentKeys()
	if err != nil {
		return nil, err
	}
	if current.Generation == generation {
		return nil, ErrGenerationSigns
	}
	return slices.Delete(slices.Clone(sets), i, i+1), nil
}

func isPending(k table.KeySet) bool { return k.Pending }

// newestGeneration returns the highest generation. The counter wraps.
func newestGeneration(sets []table.KeySet) uint8 {
	highest := sets[0].Generation
	for _, k := range sets[1:] {
		if int8(k.Generation-highest) > 0 {
			highest = k.Generation
		}
	}
	return highest
}
