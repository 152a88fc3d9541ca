package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"bergamotstall/internal/table"
)

// Errors of an update that doesn't fit the table a subscriber holds.
var (
	errLower  = errors.New("distribution: update is below the revision held")
	errBase   = errors.New("distribution: update builds on another revision")
	errDigest = errors.New("distribution: table after the update isn't the server's")
)

// update is what takes a subscriber's table from one revision to another. With
// From at 0 it is a whole table.
type update struct {
	From, To table.Revision
	// Digest is that of the table after the update.
	Digest   uint64
	Preset   string
	Services []table.Service
	// Targets are new, or changed in more than their share of work.
	Targets []table.Target
	// Shifts hold only Agent, Weight, PreviousWeight, ChangedAtMS and State: a
	// switch of preset shifts every target, and whole targets would take three
	// times the bytes that a link carries before the change must be in force.
	Shifts    []table.Target
	Balancers []table.Balancer
	// Keys replace those held where Rekeyed is set.
	Keys          []table.KeySet
	Rekeyed       bool
	GoneServices  []table.ServiceID
	GoneTargets   []table.AgentNumber
	GoneBalancers []string
}

// applyUpdate returns the table that follows held; it changes nothing in held,
// which the data path may be reading.
func applyUpdate(held *table.Table, u *update) (*table.Table, error) {
	if u.To < held.Revision {
		return nil, errLower
	}
	if u.From != 0 && u.From != held.Revision {
		return nil, errBase
	}
	if u.From == 0 {
		held = &table.Table{}
	}
	next := &table.Table{
		Revision:  u.To,
		Preset:    u.Preset,
		Services:  replace(held.Services, u.Services, u.GoneServices, serviceKey),
		Targets:   replace(held.Targets, u.Targets, u.GoneTargets, targetKey),
		Balancers: replace(held.Balancers, u.Balancers, u.GoneBalancers, balancerKey),
		Keys:      held.Keys,
	}
	if u.Rekeyed {
		next.Keys = u.Keys
	}
	shift(next.Targets, u.Shifts)
	if digest(next) != u.Digest {
		return nil, errDigest
	}
	return next, nil
}

// replace returns held without gone, with changed put in by key. The result is
// sorted by key.
func replace[T any, K cmp.Ordered](held, changed []T, gone []K, key func(T) K) []T {
	drop := make(map[K]bool, len(changed)+len(gone))
	for _, k := range gone {
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

// shift writes shares of work into targets, which are sorted by agent. A shift
// of an unknown target shows in the digest.
func shift(targets, shifts []table.Target) {
	for _, s := range shifts {
		i, ok := slices.BinarySearchFunc(targets, s.Agent, func(t table.Target, a table.AgentNumber) int {
			return cmp.Compare(t.Agent, a)
		})
		if ok {
			targets[i] = shifted(targets[i], s)
		}
	}
}

// shifted returns t with the share of work of s.
func shifted(t, s table.Target) table.Target {
	t.Weight = s.Weight
	t.PreviousWeight = s.PreviousWeight
	t.ChangedAtMS = s.ChangedAtMS
	t.State = s.State
	return t
}

func serviceKey(s table.Service) table.ServiceID { return s.ID }
func targetKey(t table.Target) table.AgentNumber { return t.Agent }
func balancerKey(b table.Balancer) string        { return b.Name }

// Seeds keep equal encodings of different kinds apart.
const (
	seedService byte = iota + 1
	seedTarget
	seedBalancer
	seedKeys
	seedPreset
)

// marshaler is a table element by its generated encoder.
type marshaler interface {
	MarshalMsg([]byte) ([]byte, error)
}

// sumOf hashes one element. Sums of elements add up to the digest of a table in
// any order, so that a server keeps the digest of each service's part by adding
// and subtracting what changed.
func sumOf(seed byte, m marshaler) uint64 {
	var scratch [512]byte
	b, err := m.MarshalMsg(append(scratch[:0], seed))
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

func sumOfKeys(keys []table.KeySet) uint64 {
	var sum uint64
	for i := range keys {
		sum += sumOf(seedKeys, &keys[i])
	}
	return sum
}

func sumOfPreset(name string) uint64 {
	return xxhash.Sum64(append([]byte{seedPreset}, name...))
}

// digest returns the sum over a whole table, its revision left out.
func digest(t *table.Table) uint64 {
	sum := sumOfPreset(t.Preset) + sumOfKeys(t.Keys)
	for i := range t.Services {
		sum += sumOf(seedService, &t.Services[i])
	}
	for i := range t.Targets {
		sum += sumOf(seedTarget, &t.Targets[i])
	}
	for i := range t.Balancers {
		sum += sumOf(seedBalancer, &t.Balancers[i])
	}
	return sum
}
