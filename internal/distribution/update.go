package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"bergamotstall/internal/table"
)

// Errors for an update that doesn't fit the table that a subscriber holds.
var (
	errLowerRevision  = errors.New("distribution: update is older than the held revision")
	errOtherBase      = errors.New("distribution: update builds on another revision than the held one")
	errDigestMismatch = errors.New("distribution: updated table's digest differs from the server's")
)

// update is a delta from one revision of the table to another, or a snapshot if From is 0.
type update struct {
	From, To table.Revision
	// Digest is the digest of the updated table.
	Digest   uint64
	Preset   string
	Services []table.Service
	// Targets are new, or changed in more than their shares.
	Targets []table.Target
	// ShareChanges have only Agent, Weight, PreviousWeight, ChangedAtMS and State set. A
	// switch of the preset changes these fields of every target, and complete targets would
	// take three times the bytes that a link can carry before the change must be in force.
	ShareChanges []table.Target
	Balancers    []table.Balancer
	// Keys replace the held keys if KeysReplaced is set.
	Keys             []table.KeySet
	KeysReplaced     bool
	RemovedServices  []table.ServiceID
	RemovedTargets   []table.AgentNumber
	RemovedBalancers []string
}

// applyUpdate returns the updated table. It doesn't modify held, which the data path may be
// reading.
func applyUpdate(held *table.Table, u *update) (*table.Table, error) {
	if u.To < held.Revision {
		return nil, errLowerRevision
	}
	if u.From != 0 && u.From != held.Revision {
		return nil, errOtherBase
	}
	if u.From == 0 {
		held = &table.Table{}
	}
	next := &table.Table{
		Revision:  u.To,
		Preset:    u.Preset,
		Services:  mergeByKey(held.Services, u.Services, u.RemovedServices, serviceKey),
		Targets:   mergeByKey(held.Targets, u.Targets, u.RemovedTargets, targetKey),
		Balancers: mergeByKey(held.Balancers, u.Balancers, u.RemovedBalancers, balancerKey),
		Keys:      held.Keys,
	}
	if u.KeysReplaced {
		next.Keys = u.Keys
	}
	applyShares(next.Targets, u.ShareChanges)
	if tableDigest(next) != u.Digest {
		return nil, errDigestMismatch
	}
	return next, nil
}

// mergeByKey returns held without the removed elements and with the changed ones replaced or
// added, sorted by key.
func mergeByKey[T any, K cmp.Ordered](held, changed []T, removed []K, key func(T) K) []T {
	drop := make(map[K]bool, len(changed)+len(removed))
	for _, k := range removed {
		drop[k] = true
	}
	for _, c := range changed {
		drop[key(c)] = true
	}
	out := make([]T, 0, len(held)+len(changed))
	for _, h := range held {
		if !drop[key(h)] {
			out = append(out, h)
		}
	}
	out = append(out, changed...)
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

// applyShares applies share changes to targets, which are sorted by agent. A change of an
// unknown target is skipped; the digest then differs.
func applyShares(targets, shifts []table.Target) {
	for _, s := range shifts {
		i, ok := slices.BinarySearchFunc(targets, s.Agent, func(t table.Target, a table.AgentNumber) int {
			return cmp.Compare(t.Agent, a)
		})
		if ok {
			targets[i] = withShares(targets[i], s)
		}
	}
}

// withShares returns t with the weights, change time and state of s.
func withShares(t, s table.Target) table.Target {
	t.Weight = s.Weight
	t.PreviousWeight = s.PreviousWeight
	t.ChangedAtMS = s.ChangedAtMS
	t.State = s.State
	return t
}

func serviceKey(s table.Service) table.ServiceID { return s.ID }
func targetKey(t table.Target) table.AgentNumber { return t.Agent }
func balancerKey(b table.Balancer) string        { return b.Name }

// Seeds make the digests of equal encodings of different kinds differ.
const (
	seedService byte = iota + 1
	seedTarget
	seedBalancer
	seedKeys
	seedPreset
)

// marshaler is implemented by the generated encoders of table elements.
type marshaler interface {
	MarshalMsg([]byte) ([]byte, error)
}

// digestOf returns the digest of one element. The digest of a table is the sum of those of
// its elements in any order, so a server can update the digest of each service's part by
// adding and subtracting what changed.
func digestOf(seed byte, m marshaler) uint64 {
	var scratch [512]byte
	b, err := m.MarshalMsg(append(scratch[:0], seed))
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// digestOfKeys returns the sum of the key sets' digests.
func digestOfKeys(keys []table.KeySet) uint64 {
	var sum uint64
	for i := range keys {
		sum += digestOf(seedKeys, &keys[i])
	}
	return sum
}

func digestOfPreset(name string) uint64 {
	return xxhash.Sum64(append([]byte{seedPreset}, name...))
}

// tableDigest returns the digest of a whole table without its revision.
func tableDigest(t *table.Table) uint64 {
	sum := digestOfPreset(t.Preset) + digestOfKeys(t.Keys)
	for i := range t.Services {
		sum += digestOf(seedService, &t.Services[i])
	}
	for i := range t.Targets {
		sum += digestOf(seedTarget, &t.Targets[i])
	}
	for i := range t.Balancers {
		sum += digestOf(seedBalancer, &t.Balancers[i])
	}
	return sum
}
