package distribution

import (
	"cmp"
	"slices"

	"bergamotstall/internal/table"
)

// tombstoneLimit bounds the removals that are remembered. At 1,700 restarts a
// day it reaches back more than two days; a subscriber that was away for longer
// gets a whole table.
const tombstoneLimit = 4096

// tracked is one element of the newest table with the revisions that last
// changed it. Because changes are kept per element, a delta from any revision
// back to the floor is one pass and comes out merged: a target whose weight
// changed a hundred times is in it once.
type tracked[T any] struct {
	value T
	// changed is the last change of any kind, whole the last one that shifts
	// can't carry.
	changed, whole table.Revision
	sum            uint64
}

// tombstone remembers a removal.
type tombstone[K any] struct {
	key K
	at  table.Revision
}

// history knows the newest table and what changed since floor.
type history struct {
	floor, revision table.Revision

	preset    string
	keys      []table.KeySet
	services  []tracked[table.Service]
	targets   []tracked[table.Target]
	balancers []tracked[table.Balancer]
	// ofService are the places in targets of each service, so that making the
	// updates of two thousand services' agents isn't as many passes over all.
	ofService map[table.ServiceID][]int
	byName    map[string]table.ServiceID

	keysAt        table.Revision
	goneServices  []tombstone[table.ServiceID]
	goneTargets   []tombstone[table.AgentNumber]
	goneBalancers []tombstone[string]

	// common sums what every view holds; byService the rest.
	common    partSum
	byService map[table.ServiceID]partSum
	total     partSum
}

// partSum is the digest of a part of the table and the revision that last
// changed it.
type partSum struct {
	sum uint64
	at  table.Revision
}

func (p *partSum) add(sum uint64, at table.Revision) {
	p.sum += sum
	p.at = at
}

func newHistory() *history { return &history{byService: map[table.ServiceID]partSum{}} }

// advance takes in a newer table. The first one sets the floor. It returns
// false, and changes nothing, for a table that isn't newer; revision 0 is a
// state without any table.
func (h *history) advance(t *table.Table) bool {
	if t.Revision <= h.revision {
		return false
	}
	if h.revision == 0 {
		h.floor = t.Revision
	}
	at := t.Revision
	h.services = follow(h.services, sortedBy(t.Services, serviceKey), &tracker[table.Service, table.ServiceID]{
		at: at, key: serviceKey, gone: &h.goneServices,
		sum:  func(s table.Service) uint64 { return sumOf(seedService, &s) },
		note: func(s table.Service, d uint64) { h.note(s.ID, d, at) },
	})
	h.targets = follow(h.targets, sortedBy(t.Targets, targetKey), &tracker[table.Target, table.AgentNumber]{
		at: at, key: targetKey, gone: &h.goneTargets,
		sum:   func(x table.Target) uint64 { return sumOf(seedTarget, &x) },
		note:  func(x table.Target, d uint64) { h.note(x.Service, d, at) },
		small: func(old, now table.Target) bool { return shifted(old, now) == now },
	})
	h.balancers = follow(h.balancers, sortedBy(t.Balancers, balancerKey), &tracker[table.Balancer, string]{
		at: at, key: balancerKey, gone: &h.goneBalancers,
		sum:  func(b table.Balancer) uint64 { return sumOf(seedBalancer, &b) },
		note: func(_ table.Balancer, d uint64) { h.noteCommon(d, at) },
	})
	h.index()
	h.advancePreset(t, at)
	h.advanceKeys(t, at)
	h.revision = at
	h.trim()
	return true
}

func (h *history) index() {
	h.ofService = make(map[table.ServiceID][]int, len(h.services))
	for i := range h.targets {
		id := h.targets[i].value.Service
		h.ofService[id] = append(h.ofService[id], i)
	}
	h.byName = make(map[string]table.ServiceID, len(h.services))
	for i := range h.services {
		h.byName[h.services[i].value.Name] = h.services[i].value.ID
	}
}

func (h *history) advancePreset(t *table.Table, at table.Revision) {
	if t.Preset == h.preset && h.revision != 0 {
		return
	}
	old := sumOfPreset(h.preset)
	if h.revision == 0 {
		old = 0
	}
	h.noteCommon(sumOfPreset(t.Preset)-old, at)
	h.preset = t.Preset
}

func (h *history) advanceKeys(t *table.Table, at table.Revision) {
	old, now := sumOfKeys(h.keys), sumOfKeys(t.Keys)
	if old == now {
		return
	}
	h.noteCommon(now-old, at)
	h.keys, h.keysAt = slices.Clone(t.Keys), at
}

// note books a change of a service's part.
func (h *history) note(id table.ServiceID, change uint64, at table.Revision) {
	p := h.byService[id]
	p.add(change, at)
	h.byService[id] = p
	h.total.add(change, at)
}

func (h *history) noteCommon(change uint64, at table.Revision) {
	h.common.add(change, at)
	h.total.add(change, at)
}

// trim forgets the oldest removals over the limit; deltas that would need them
// can't be made any more.
func (h *history) trim() {
	h.floor = max(h.floor, trimOne(&h.goneServices), trimOne(&h.goneTargets), trimOne(&h.goneBalancers))
}

func trimOne[K any](gone *[]tombstone[K]) table.Revision {
	over := len(*gone) - tombstoneLimit
	if over <= 0 {
		return 0
	}
	floor := (*gone)[over-1].at
	*gone = slices.Clone((*gone)[over:])
	return floor
}

// tracker says how follow treats one kind of element.
type tracker[T comparable, K cmp.Ordered] struct {
	at   table.Revision
	key  func(T) K
	gone *[]tombstone[K]
	sum  func(T) uint64
	// note books the change of the digest that the element's change makes.
	note func(T, uint64)
	// small reports a change that a shift can carry; nil where none can.
	small func(old, now T) bool
}

// follow merges the newest elements, sorted by key, with those tracked so far.
func follow[T comparable, K cmp.Ordered](old []tracked[T], now []T, tr *tracker[T, K]) []tracked[T] {
	out := make([]tracked[T], 0, len(now))
	i := 0
	for _, v := range now {
		for i < len(old) && tr.key(old[i].value) < tr.key(v) {
			tr.remove(old[i])
			i++
		}
		if i == len(old) || tr.key(old[i].value) != tr.key(v) {
			out = append(out, tr.insert(v))
			continue
		}
		out = append(out, tr.change(old[i], v))
		i++
	}
	for ; i < len(old); i++ {
		tr.remove(old[i])
	}
	return out
}

func (tr *tracker[T, K]) remove(old tracked[T]) {
	tr.note(old.value, -old.sum)
	*tr.gone = append(*tr.gone, tombstone[K]{key: tr.key(old.value), at: tr.at})
}

func (tr *tracker[T, K]) insert(v T) tracked[T] {
	sum := tr.sum(v)
	tr.note(v, sum)
	return tracked[T]{value: v, changed: tr.at, whole: tr.at, sum: sum}
}

func (tr *tracker[T, K]) change(old tracked[T], v T) tracked[T] {
	if old.value == v {
		return old
	}
	next := tracked[T]{value: v, changed: tr.at, whole: tr.at, sum: tr.sum(v)}
	if tr.small != nil && tr.small(old.value, v) {
		next.whole = old.whole
	}
	tr.note(old.value, -old.sum)
	tr.note(v, next.sum)
	return next
}

// sortedBy returns the elements in order of keys; control's order isn't relied
// on, and its slice isn't touched.
func sortedBy[T any, K cmp.Ordered](in []T, key func(T) K) []T {
	byKey := func(a, b T) int { return cmp.Compare(key(a), key(b)) }
	if slices.IsSortedFunc(in, byKey) {
		return in
	}
	out := slices.Clone(in)
	slices.SortFunc(out, byKey)
	return out
}
