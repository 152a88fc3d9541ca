package distribution

import (
	"bergamotstall/internal/table"
)

// view identifies the part of the table that a subscriber gets. In a table with 12,000
// hosts, an agent needs only the half dozen of its own service; the others would cost it
// 40 seconds of its byte budget and megabytes of memory.
type view struct {
	role    Role
	service string
}

func viewOf(role Role, a Announcement) view {
	if role == RoleAgent {
		return view{role: role, service: a.Service}
	}
	return view{role: role}
}

// serviceID returns the service of an agent's view, or 0 if there is none.
func (h *history) serviceID(v view) table.ServiceID { return h.serviceByName[v.service] }

// includes reports whether the view, whose own service is given, includes a service's part.
func (v view) includes(own, id table.ServiceID) bool {
	return v.role == RoleBalancer || (own != 0 && own == id)
}

// digest returns the digest of the view's table and the revision that last changed it.
func (h *history) digest(v view, own table.ServiceID) partDigest {
	if v.role == RoleBalancer {
		return h.totalDigest
	}
	p := h.serviceDigests[own]
	return partDigest{sum: h.commonDigest.sum + p.sum, changedAt: max(h.commonDigest.changedAt, p.changedAt)}
}

// hasDeltaFrom reports whether a delta from the revision can be made.
func (h *history) hasDeltaFrom(from table.Revision) bool {
	return from >= h.floor && from <= h.revision && from != 0
}

// updateSince returns the update of a view from a revision to the newest one, or a snapshot
// if the history doesn't reach back that far.
func (h *history) updateSince(v view, from table.Revision) *update {
	if !h.hasDeltaFrom(from) {
		from = 0
	}
	own := h.serviceID(v)
	state := h.digest(v, own)
	u := &update{From: from, To: h.revision, Digest: state.sum, Preset: h.preset}
	if from >= state.changedAt {
		return u
	}
	for _, s := range h.services {
		if s.changed > from && v.includes(own, s.value.ID) {
			u.Services = append(u.Services, s.value)
		}
	}
	if v.role == RoleBalancer {
		for i := range h.targets {
			u.addTarget(&h.targets[i], from)
		}
	} else {
		for _, i := range h.targetsByService[own] {
			u.addTarget(&h.targets[i], from)
		}
	}
	for _, b := range h.balancers {
		if b.changed > from {
			u.Balancers = append(u.Balancers, b.value)
		}
	}
	if h.keysChangedAt > from {
		u.Keys, u.KeysReplaced = h.keys, true
	}
	if from != 0 {
		u.RemovedServices = removedSince(h.removedServices, from)
		u.RemovedTargets = removedSince(h.removedTargets, from)
		u.RemovedBalancers = removedSince(h.removedBalancers, from)
	}
	return u
}

// addTarget adds a target to the update if it changed after the given revision.
func (u *update) addTarget(t *trackedElement[table.Target], from table.Revision) {
	switch {
	case t.changed <= from:
	case t.changedInFull > from:
		u.Targets = append(u.Targets, t.value)
	default:
		u.ShareChanges = append(u.ShareChanges, t.value)
	}
}

func removedSince[K any](tombstones []tombstone[K], from table.Revision) []K {
	var out []K
	for _, g := range tombstones {
		if g.removedAt > from {
			out = append(out, g.key)
		}
	}
	return out
}
