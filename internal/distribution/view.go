package distribution

import (
	"bergamotstall/internal/table"
)

// view is the part of the table that a kind of subscriber gets. An agent of a
// table with 12,000 hosts needs the half dozen of its own service; sending it
// the rest would cost it forty seconds of its byte budget and megabytes of its
// memory for nothing.
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

// serviceID finds the service of an agent's view, 0 while there is none.
func (h *history) serviceID(v view) table.ServiceID { return h.byName[v.service] }

// holds tells whether the view with the given service holds a service's part.
func (v view) holds(own, id table.ServiceID) bool {
	return v.role == RoleBalancer || (own != 0 && own == id)
}

// digest returns the digest of the view's table and when it last changed.
func (h *history) digest(v view, own table.ServiceID) partSum {
	if v.role == RoleBalancer {
		return h.total
	}
	p := h.byService[own]
	return partSum{sum: h.common.sum + p.sum, at: max(h.common.at, p.at)}
}

// reaches tells whether a delta from the revision can be made.
func (h *history) reaches(from table.Revision) bool {
	return from >= h.floor && from <= h.revision && from != 0
}

// since returns what takes a view from a revision to the newest; a whole table
// where history doesn't reach back that far.
func (h *history) since(v view, from table.Revision) *update {
	if !h.reaches(from) {
		from = 0
	}
	own := h.serviceID(v)
	state := h.digest(v, own)
	u := &update{From: from, To: h.revision, Digest: state.sum, Preset: h.preset}
	if from >= state.at {
		return u
	}
	for _, s := range h.services {
		if s.changed > from && v.holds(own, s.value.ID) {
			u.Services = append(u.Services, s.value)
		}
	}
	if v.role == RoleBalancer {
		for i := range h.targets {
			u.addTarget(&h.targets[i], from)
		}
	} else {
		for _, i := range h.ofService[own] {
			u.addTarget(&h.targets[i], from)
		}
	}
	for _, b := range h.balancers {
		if b.changed > from {
			u.Balancers = append(u.Balancers, b.value)
		}
	}
	if h.keysAt > from {
		u.Keys, u.Rekeyed = h.keys, true
	}
	if from != 0 {
		u.GoneServices = goneSince(h.goneServices, from)
		u.GoneTargets = goneSince(h.goneTargets, from)
		u.GoneBalancers = goneSince(h.goneBalancers, from)
	}
	return u
}

// addTarget puts a target in the update if it changed since.
func (u *update) addTarget(t *tracked[table.Target], from table.Revision) {
	switch {
	case t.changed <= from:
	case t.whole > from:
		u.Targets = append(u.Targets, t.value)
	default:
		u.Shifts = append(u.Shifts, t.value)
	}
}

func goneSince[K any](gone []tombstone[K], from table.Revision) []K {
	var out []K
	for _, g := range gone {
		if g.at > from {
			out = append(out, g.key)
		}
	}
	return out
}
