package route

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/passthrough/packet"
)

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/passthrough/route/lean.go -o ../internal/passthrough/route/lean_gen.go -tests=false -io=false

//msgp:ignore leanWriter changes

// Lean is what nodes need of a definition, or of the changes between two.
type Lean struct {
	Version Version `msg:"v"`
	// From is the version that the changes are to, 0 where all routes are there.
	From Version `msg:"f"`
	// Services are the identities that routes name by their index.
	Services []uint64          `msg:"s"`
	Routes   []LeanRoute       `msg:"r"`
	Removed  []packet.Endpoint `msg:"x"`
	// Regions are what homes name by their index.
	Regions []string `msg:"g"`
	// Cold are the limits of all services that have one.
	Cold []LeanCold `msg:"c"`
}

// LeanRoute is a route without its name.
//
//msgp:tuple LeanRoute
type LeanRoute struct {
	At        packet.Endpoint
	TimeoutMS uint32
	Priority  uint32
	Backends  []LeanBacked
	// Homes are empty where targets of all regions may be used.
	Homes []uint16
}

// LeanCold is how many requests a second a cold target of a service bears.
//
//msgp:tuple LeanCold
type LeanCold struct {
	Service   uint64
	PerSecond float32
}

// LeanBacked is a service behind a route.
//
//msgp:tuple LeanBacked
type LeanBacked struct {
	Service uint16
	Weight  uint32
}

// ErrOtherVersion means that changes are to another version than the one held.
var ErrOtherVersion = errors.New("route: changes to another version")

// leanWriter gathers routes and the services that they name.
type leanWriter struct {
	lean    Lean
	index   map[string]uint16
	regions map[string]uint16
}

// newLeanWriter returns a writer of what leads from a version to a definition.
func newLeanWriter(d *Definition, from Version) *leanWriter {
	w := &leanWriter{lean: Lean{Version: d.Version, From: from}, index: map[string]uint16{}, regions: map[string]uint16{}}
	for _, s := range d.Services {
		if s.ColdPerSecond > 0 {
			w.lean.Cold = append(w.lean.Cold, LeanCold{Service: uint64(IDOf(s.Name)), PerSecond: float32(s.ColdPerSecond)})
		}
	}
	return w
}

func (w *leanWriter) add(r *Route) {
	out := LeanRoute{At: r.Address(), TimeoutMS: r.TimeoutMS, Priority: r.Priority}
	for _, b := range r.Backends {
		if b.Weight > 0 {
			out.Backends = append(out.Backends, LeanBacked{Service: w.service(b.Service), Weight: b.Weight})
		}
	}
	for _, region := range r.Homes {
		out.Homes = append(out.Homes, w.region(region))
	}
	w.lean.Routes = append(w.lean.Routes, out)
}

func (w *leanWriter) region(name string) uint16 {
	if at, ok := w.regions[name]; ok {
		return at
	}
	at := uint16(len(w.lean.Regions))
	w.regions[name] = at
	w.lean.Regions = append(w.lean.Regions, name)
	return at
}

func (w *leanWriter) service(name string) uint16 {
	if at, ok := w.index[name]; ok {
		return at
	}
	at := uint16(len(w.lean.Services))
	w.index[name] = at
	w.lean.Services = append(w.lean.Services, uint64(IDOf(name)))
	return at
}

// LeanOf returns what nodes need of a whole definition.
func LeanOf(d *Definition) *Lean {
	w := newLeanWriter(d, 0)
	for i := range d.Routes {
		w.add(&d.Routes[i])
	}
	return &w.lean
}

// changes are the routes that differ between two definitions.
type changes struct {
	from    Version
	changed map[packet.Endpoint]*Route
	removed map[packet.Endpoint]bool
}

// changesBetween compares two definitions.
func changesBetween(old, next *Definition) *changes {
	c := &changes{from: old.Version, changed: map[packet.Endpoint]*Route{}, removed: map[packet.Endpoint]bool{}}
	before := make(map[packet.Endpoint]*Route, len(old.Routes))
	for i := range old.Routes {
		before[old.Routes[i].Address()] = &old.Routes[i]
	}
	for i := range next.Routes {
		r := &next.Routes[i]
		if was := before[r.Address()]; was == nil || !sameForNodes(was, r) {
			kept := *r // the definitions themselves aren't
			c.changed[r.Address()] = &kept
		}
		delete(before, r.Address())
	}
	for at := range before {
		c.removed[at] = true
	}
	return c
}

// sameForNodes tells whether nodes treat two routes alike.
func sameForNodes(a, b *Route) bool {
	if a.TimeoutMS != b.TimeoutMS || a.Priority != b.Priority {
		return false
	}
	return slices.Equal(a.Backends, b.Backends) && slices.Equal(a.Homes, b.Homes)
}

// then adds later changes.
func (c *changes) then(later *changes) {
	for at, r := range later.changed {
		c.changed[at] = r
		delete(c.removed, at)
	}
	for at := range later.removed {
		c.removed[at] = true
		delete(c.changed, at)
	}
}

func (c *changes) size() int { return len(c.changed) + len(c.removed) }

// lean returns the changes as nodes get them, to a definition.
func (c *changes) lean(d *Definition) *Lean {
	w := newLeanWriter(d, c.from)
	for _, r := range c.changed {
		w.add(r)
	}
	for at := range c.removed {
		w.lean.Removed = append(w.lean.Removed, at)
	}
	return &w.lean
}

// Table makes the lookup; held is the table in force, nil if none.
func (l *Lean) Table(held *Table) (*Table, error) {
	for _, r := range l.Routes {
		for _, b := range r.Backends {
			if int(b.Service) >= len(l.Services) {
				return nil, errors.Errorf("route: service %d of %d", b.Service, len(l.Services))
			}
		}
		for _, h := range r.Homes {
			if int(h) >= len(l.Regions) {
				return nil, errors.Errorf("route: region %d of %d", h, len(l.Regions))
			}
		}
	}
	if l.From == 0 {
		return l.whole(), nil
	}
	if held == nil || held.Version != l.From {
		return nil, errors.Wrapf(ErrOtherVersion, "from %d", l.From)
	}
	t := &Table{Version: l.Version, routes: maps.Clone(held.routes)}
	l.putInto(t)
	return t, nil
}

// whole makes the lookup of all routes.
func (l *Lean) whole() *Table {
	t := &Table{Version: l.Version, routes: make(map[packet.Endpoint]lookup, len(l.Routes))}
	l.putInto(t)
	return t
}

func (l *Lean) putInto(t *Table) {
	for _, r := range l.Routes {
		x := lookup{priority: r.Priority, timeout: time.Duration(r.TimeoutMS) * time.Millisecond}
		for _, b := range r.Backends {
			x.choices = append(x.choices, Choice{Service: ServiceID(l.Services[b.Service]), Weight: b.Weight})
			x.total += uint64(b.Weight)
		}
		for _, h := range r.Homes {
			x.homes = append(x.homes, l.Regions[h])
		}
		t.routes[r.At] = x
	}
	for _, c := range l.Cold {
		if t.cold == nil {
			t.cold = map[ServiceID]float64{}
		}
		t.cold[ServiceID(c.Service)] = float64(c.PerSecond)
	}
	for _, at := range l.Removed {
		delete(t.routes, at)
	}
}
