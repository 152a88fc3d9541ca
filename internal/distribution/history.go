package distribution

import (
	"cmp"
	"slices"

	"bergamotstall/internal/table"
)

// tombstoneLimit bounds the removals kept for deltas. With 1,700 restarts per day it covers
// more than two days; a subscriber that was away for longer gets a snapshot.
const tombstoneLimit = 4096

// trackedElement is an element of the newest table with the revisions that last changed it.
// As only the last changes of each element are kept, one pass over the elements gives a delta
// from any revision since history.floor, and a target whose weight changed a hundred times
// appears in that delta once.
type trackedElement[T any] struct {
	value T
	// changed is the revision of the last change of any kind, changedInFull that of the
	// last one that a share change can't express.
	changed, changedInFull table.Revision
	digest                 uint64
}

// tombstone records a removal.
type tombstone[K any] struct {
	key       K
	removedAt table.Revision
}

// history holds the newest table and what changed since the floor revision.
type history struct {
	floor, revision table.Revision

	preset    string
	keys      []table.KeySet
	services  []trackedElement[table.Service]
	targets   []trackedElement[table.Target]
	balancers []trackedElement[table.Balancer]
	// targetsByService holds the indexes into targets of each service, as making updates
	// for the agents of 2,000 services would otherwise take as many passes over all targets.
	targetsByService map[table.ServiceID][]int
	serviceByName    map[string]table.ServiceID

	keysChangedAt    table.Revision
	removedServices  []tombstone[table.ServiceID]
	removedTargets   []tombstone[table.AgentNumber]
	removedBalancers []tombstone[string]

	// commonDigest covers the elements in every view, serviceDigests those of one service.
	commonDigest   partDigest
	serviceDigests map[table.ServiceID]partDigest
	totalDigest    partDigest
}

// partDigest is the digest of a part of the table and the revision that last changed it.
type partDigest struct {
	sum       uint64
	changedAt table.Revision
}

func (p *partDigest) add(sum uint64, revision table.Revision) {
	p.sum += sum
	p.changedAt = revision
}

func newHistory() *history { return &history{serviceDigests: map[table.ServiceID]partDigest{}} }

// advance adds a newer table. The first one sets the floor. For a table that isn't newer,
// advance changes nothing and returns false; revision 0 means that there is no table.
func (h *history) advance(t *table.Table) bool {
	if t.Revision <= h.revision {
		return false
	}
	if h.revision == 0 {
		h.floor = t.Revision
	}
	revision := t.Revision
	h.services = mergeElements(h.services, sortedBy(t.Services, serviceKey), &mergeRules[table.Service, table.ServiceID]{
		revision: revision, key: serviceKey, removed: &h.removedServices,
		digest:       func(s table.Service) uint64 { return digestOf(seedService, &s) },
		recordChange: func(s table.Service, d uint64) { h.recordChange(s.ID, d, revision) },
	})
	h.targets = mergeElements(h.targets, sortedBy(t.Targets, targetKey), &mergeRules[table.Target, table.AgentNumber]{
		revision: revision, key: targetKey, removed: &h.removedTargets,
		digest:       func(x table.Target) uint64 { return digestOf(seedTarget, &x) },
		recordChange: func(x table.Target, d uint64) { h.recordChange(x.Service, d, revision) },
		shareOnly:    func(old, now table.Target) bool { return withShares(old, now) == now },
	})
	h.balancers = mergeElements(h.balancers, sortedBy(t.Balancers, balancerKey), &mergeRules[table.Balancer, string]{
		revision: revision, key: balancerKey, removed: &h.removedBalancers,
		digest:       func(b table.Balancer) uint64 { return digestOf(seedBalancer, &b) },
		recordChange: func(_ table.Balancer, d uint64) { h.recordCommonChange(d, revision) },
	})
	h.rebuildIndexes()
	h.advancePreset(t, revision)
	h.advanceKeys(t, revision)
	h.revision = revision
	h.trimTombstones()
	return true
}

func (h *history) rebuildIndexes() {
	h.targetsByService = make(map[table.ServiceID][]int, len(h.services))
	for i := range h.targets {
		id := h.targets[i].value.Service
		h.targetsByService[id] = append(h.targetsByService[id], i)
	}
	h.serviceByName = make(map[string]table.ServiceID, len(h.services))
	for i := range h.services {
		h.serviceByName[h.services[i].value.Name] = h.services[i].value.ID
	}
}

func (h *history) advancePreset(t *table.Table, revision table.Revision) {
	if t.Preset == h.preset && h.revision != 0 {
		return
	}
	old := digestOfPreset(h.preset)
	if h.revision == 0 {
		old = 0
	}
	h.recordCommonChange(digestOfPreset(t.Preset)-old, revision)
	h.preset = t.Preset
}

func (h *history) advanceKeys(t *table.Table, revision table.Revision) {
	old, now := digestOfKeys(h.keys), digestOfKeys(t.Keys)
	if old == now {
		return
	}
	h.recordCommonChange(now-old, revision)
	h.keys, h.keysChangedAt = slices.Clone(t.Keys), revision
}

// recordChange adds a digest difference to a service's part.
func (h *history) recordChange(id table.ServiceID, change uint64, revision table.Revision) {
	p := h.serviceDigests[id]
	p.add(change, revision)
	h.serviceDigests[id] = p
	h.totalDigest.add(change, revision)
}

func (h *history) recordCommonChange(change uint64, revision table.Revision) {
	h.commonDigest.add(change, revision)
	h.totalDigest.add(change, revision)
}

// trimTombstones removes the oldest tombstones above the limit and raises the floor, as
// deltas that need them can't be made any more.
func (h *history) trimTombstones() {
	h.floor = max(h.floor, trimTombstoneList(&h.removedServices), trimTombstoneList(&h.removedTargets), trimTombstoneList(&h.removedBalancers))
}

func trimTombstoneList[K any](tombstones *[]tombstone[K]) table.Revision {
	over := len(*tombstones) - tombstoneLimit
	if over <= 0 {
		return 0
	}
	floor := (*tombstones)[over-1].removedAt
	*tombstones = slices.Clone((*tombstones)[over:])
	return floor
}

// mergeRules tell mergeElements how to handle one kind of element.
type mergeRules[T comparable, K cmp.Ordered] struct {
	revision table.Revision
	key      func(T) K
	removed  *[]tombstone[K]
	digest   func(T) uint64
	// recordChange records the digest difference of a changed element.
	recordChange func(T, uint64)
	// shareOnly reports whether a share change can express a change; nil if none can.
	shareOnly func(old, now T) bool
}

// mergeElements merges the newest elements, sorted by key, into those tracked so far.
func mergeElements[T comparable, K cmp.Ordered](old []trackedElement[T], now []T, rules *mergeRules[T, K]) []trackedElement[T] {
	out := make([]trackedElement[T], 0, len(now))
	i := 0
	for _, v := range now {
		for i < len(old) && rules.key(old[i].value) < rules.key(v) {
			rules.remove(old[i])
			i++
		}
		if i == len(old) || rules.key(old[i].value) != rules.key(v) {
			out = append(out, rules.insert(v))
			continue
		}
		out = append(out, rules.change(old[i], v))
		i++
	}
	for ; i < len(old); i++ {
		rules.remove(old[i])
	}
	return out
}

func (rules *mergeRules[T, K]) remove(old trackedElement[T]) {
	rules.recordChange(old.value, -old.digest)
	*rules.removed = append(*rules.removed, tombstone[K]{key: rules.key(old.value), removedAt: rules.revision})
}

func (rules *mergeRules[T, K]) insert(v T) trackedElement[T] {
	digest := rules.digest(v)
	rules.recordChange(v, digest)
	return trackedElement[T]{value: v, changed: rules.revision, changedInFull: rules.revision, digest: digest}
}

func (rules *mergeRules[T, K]) change(old trackedElement[T], v T) trackedElement[T] {
	if old.value == v {
		return old
	}
	next := trackedElement[T]{value: v, changed: rules.revision, changedInFull: rules.revision, digest: rules.digest(v)}
	if rules.shareOnly != nil && rules.shareOnly(old.value, v) {
		next.changedInFull = old.changedInFull
	}
	rules.recordChange(old.value, -old.digest)
	rules.recordChange(v, next.digest)
	return next
}

// sortedBy returns the elements sorted by key. It doesn't rely on control's order and
// doesn't modify its slice.
func sortedBy[T any, K cmp.Ordered](in []T, key func(T) K) []T {
	byKey := func(a, b T) int { return cmp.Compare(key(a), key(b)) }
	if slices.IsSortedFunc(in, byKey) {
		return in
	}
	out := slices.Clone(in)
	slices.SortFunc(out, byKey)
	return out
}
