package route

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/passthrough/packet"
)

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/passthrough/route/table_update.go -o ../internal/passthrough/route/table_update_gen.go -tests=false -io=false

//msgp:ignore updateBuilder delta

// TableUpdate is what nodes are sent of a definition: all routes, or the changes from the
// version that the node holds.
type TableUpdate struct {
	Version Version `msg:"v"`
	// From is the version that the changes apply to; 0 means that all routes are
	// included.
	From Version `msg:"f"`
	// Services holds the service IDs that routes refer to by index.
	Services []uint64          `msg:"s"`
	Routes   []UpdateRoute     `msg:"r"`
	Removed  []packet.Endpoint `msg:"x"`
	// Regions holds the names that routes refer to by index.
	Regions []string `msg:"g"`
	// Cold holds the limits of all services that have one, even in an update of changes.
	Cold []UpdateColdLimit `msg:"c"`
	// Kinds and GoalsMS hold the kind and the response-time goal in milliseconds of each
	// entry of Routes, in the same order; both are empty in updates of builds that didn't
	// know them. They aren't fields of UpdateRoute, since those builds refuse a route with
	// further fields.
	Kinds   []byte   `msg:"k,omitempty"`
	GoalsMS []uint32 `msg:"m,omitempty"`
}

// UpdateRoute is a route without its name.
//
//msgp:tuple UpdateRoute
type UpdateRoute struct {
	At        packet.Endpoint
	TimeoutMS uint32
	Priority  uint32
	Backends  []UpdateBackend
	// AllowedRegions holds the indexes of the regions whose targets may take the route's
	// flows; empty means all.
	AllowedRegions []uint16
}

// UpdateColdLimit is the entry of a TableUpdate that limits the rate of requests to each
// cold target of a service.
//
//msgp:tuple UpdateColdLimit
type UpdateColdLimit struct {
	Service   uint64
	PerSecond float32
}

// UpdateBackend is a service behind a route.
//
//msgp:tuple UpdateBackend
type UpdateBackend struct {
	Service uint16
	Weight  uint32
}

// ErrVersionMismatch means that an update's changes apply to another version than the one
// held.
var ErrVersionMismatch = errors.New("route: update applies to another version")

// updateBuilder collects routes, and the services and regions that they refer to.
type updateBuilder struct {
	update       TableUpdate
	serviceIndex map[string]uint16
	regionIndex  map[string]uint16
}

// newUpdateBuilder returns a builder for the update from a version to a definition.
func newUpdateBuilder(d *Definition, from Version) *updateBuilder {
	u := &updateBuilder{update: TableUpdate{Version: d.Version, From: from}, serviceIndex: map[string]uint16{}, regionIndex: map[string]uint16{}}
	for _, s := range d.Services {
		if s.ColdPerSecond > 0 {
			u.update.Cold = append(u.update.Cold, UpdateColdLimit{Service: uint64(IDOf(s.Name)), PerSecond: float32(s.ColdPerSecond)})
		}
	}
	return u
}

func (u *updateBuilder) add(r *Route) {
	out := UpdateRoute{At: r.Address(), TimeoutMS: r.TimeoutMS, Priority: r.Priority}
	for _, b := range r.Backends {
		if b.Weight > 0 {
			out.Backends = append(out.Backends, UpdateBackend{Service: u.service(b.Service), Weight: b.Weight})
		}
	}
	for _, region := range r.AllowedRegions {
		out.AllowedRegions = append(out.AllowedRegions, u.region(region))
	}
	u.update.Routes = append(u.update.Routes, out)
	u.update.Kinds = append(u.update.Kinds, byte(r.Kind))
	u.update.GoalsMS = append(u.update.GoalsMS, r.GoalMS)
}

func (u *updateBuilder) region(name string) uint16 {
	if at, ok := u.regionIndex[name]; ok {
		return at
	}
	at := uint16(len(u.update.Regions))
	u.regionIndex[name] = at
	u.update.Regions = append(u.update.Regions, name)
	return at
}

func (u *updateBuilder) service(name string) uint16 {
	if at, ok := u.serviceIndex[name]; ok {
		return at
	}
	at := uint16(len(u.update.Services))
	u.serviceIndex[name] = at
	u.update.Services = append(u.update.Services, uint64(IDOf(name)))
	return at
}

// FullUpdate returns the update that holds all routes of a definition.
func FullUpdate(d *Definition) *TableUpdate {
	u := newUpdateBuilder(d, 0)
	for i := range d.Routes {
		u.add(&d.Routes[i])
	}
	return &u.update
}

// delta holds the routes that differ between two definitions.
type delta struct {
	from    Version
	changed map[packet.Endpoint]*Route
	removed map[packet.Endpoint]bool
}

// diff returns the delta between two definitions.
func diff(old, next *Definition) *delta {
	c := &delta{from: old.Version, changed: map[packet.Endpoint]*Route{}, removed: map[packet.Endpoint]bool{}}
	oldRoutes := make(map[packet.Endpoint]*Route, len(old.Routes))
	for i := range old.Routes {
		oldRoutes[old.Routes[i].Address()] = &old.Routes[i]
	}
	for i := range next.Routes {
		r := &next.Routes[i]
		if prev := oldRoutes[r.Address()]; prev == nil || !sameForNodes(prev, r) {
			route := *r // copied, so that the delta doesn't keep the definition in memory
			c.changed[r.Address()] = &route
		}
		delete(oldRoutes, r.Address())
	}
	for at := range oldRoutes {
		c.removed[at] = true
	}
	return c
}

// sameForNodes reports whether two routes mean the same to nodes.
func sameForNodes(a, b *Route) bool {
	if a.TimeoutMS != b.TimeoutMS || a.Priority != b.Priority || a.Kind != b.Kind || a.GoalMS != b.GoalMS {
		return false
	}
	return slices.Equal(a.Backends, b.Backends) && slices.Equal(a.AllowedRegions, b.AllowedRegions)
}

// merge adds a later delta.
func (c *delta) merge(later *delta) {
	for at, r := range later.changed {
		c.changed[at] = r
		delete(c.removed, at)
	}
	for at := range later.removed {
		c.removed[at] = true
		delete(c.changed, at)
	}
}

func (c *delta) size() int { return len(c.changed) + len(c.removed) }

// update returns the delta as an update to a definition.
func (c *delta) update(d *Definition) *TableUpdate {
	u := newUpdateBuilder(d, c.from)
	for _, r := range c.changed {
		u.add(r)
	}
	for at := range c.removed {
		u.update.Removed = append(u.update.Removed, at)
	}
	return &u.update
}

// Table returns the table after the update. held is the table in force, which changes are
// applied to, or nil if there is none.
func (u *TableUpdate) Table(held *Table) (*Table, error) {
	for _, r := range u.Routes {
		for _, b := range r.Backends {
			if int(b.Service) >= len(u.Services) {
				return nil, errors.Errorf("route: service index %d out of range, %d services", b.Service, len(u.Services))
			}
		}
		for _, h := range r.AllowedRegions {
			if int(h) >= len(u.Regions) {
				return nil, errors.Errorf("route: region index %d out of range, %d regions", h, len(u.Regions))
			}
		}
	}
	if u.From == 0 {
		return u.fullTable(), nil
	}
	if held == nil || held.Version != u.From {
		return nil, errors.Wrapf(ErrVersionMismatch, "from %d", u.From)
	}
	t := &Table{Version: u.Version, routes: maps.Clone(held.routes)}
	u.applyTo(t)
	return t, nil
}

// fullTable builds a table from the update only, without an earlier table.
func (u *TableUpdate) fullTable() *Table {
	t := &Table{Version: u.Version, routes: make(map[packet.Endpoint]tableEntry, len(u.Routes))}
	u.applyTo(t)
	return t
}

func (u *TableUpdate) applyTo(t *Table) {
	for i, r := range u.Routes {
		entry := tableEntry{priority: r.Priority, timeout: time.Duration(r.TimeoutMS) * time.Millisecond}
		if i < len(u.Kinds) {
			entry.kind = RequestKind(u.Kinds[i])
		}
		if i < len(u.GoalsMS) {
			entry.goal = time.Duration(u.GoalsMS[i]) * time.Millisecond
		}
		for _, b := range r.Backends {
			entry.choices = append(entry.choices, Choice{Service: ServiceID(u.Services[b.Service]), Weight: b.Weight})
			entry.totalWeight += uint64(b.Weight)
		}
		for _, h := range r.AllowedRegions {
			entry.allowedRegions = append(entry.allowedRegions, u.Regions[h])
		}
		t.routes[r.At] = entry
	}
	for _, c := range u.Cold {
		if t.coldLimits == nil {
			t.coldLimits = map[ServiceID]float64{}
		}
		t.coldLimits[ServiceID(c.Service)] = float64(c.PerSecond)
	}
	for _, at := range u.Removed {
		delete(t.routes, at)
	}
	t.carriesBulk = false
	for _, x := range t.routes {
		t.carriesBulk = t.carriesBulk || x.kind.Bulk()
	}
}
