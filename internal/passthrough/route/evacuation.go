package route

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/passthrough/route/evacuation.go -o ../internal/passthrough/route/evacuation_gen.go -tests=false -io=false

// Evacuations are the data centres whose targets take no new flows, as operators ordered.
// They don't change once in force.
type Evacuations struct {
	// Revision rises with each order that changed something; 0 if none ever did.
	Revision uint64 `msg:"r"`
	// Zones holds each data centre's last order.
	Zones []ZoneOrder `msg:"z"`
}

// ZoneOrder is the last order for one data centre.
//
//msgp:tuple ZoneOrder
type ZoneOrder struct {
	Zone string
	// Evacuated is false once the evacuation was withdrawn.
	Evacuated bool
	// Revision is the one that the order led to.
	Revision uint64
	// AtMS is when a control VM took the order, by its time of day in Unix milliseconds;
	// PreviousMS when the one before was taken, 0 if there was none.
	AtMS, PreviousMS int64
}

// EvacuationOrder is an operator's order as a command of the log.
//
//msgp:tuple EvacuationOrder
type EvacuationOrder struct {
	Zone     string
	Evacuate bool
	// Seen is the revision that the control VM held when it took the order.
	Seen uint64
	// AtMS is when it took the order, by its time of day in Unix milliseconds.
	AtMS int64
}

// StoreSnapshot is the snapshot of a store that has taken evacuations.
//
//msgp:tuple StoreSnapshot
type StoreSnapshot struct {
	// Definition is nil before the first one.
	Definition  *Definition
	Evacuations Evacuations
}

// Limits of evacuation orders.
const (
	// maxZoneName bounds the name of a data centre, in bytes.
	maxZoneName = 128
	// maxZones bounds the data centres remembered. The oldest withdrawn one is forgotten
	// for a new one.
	maxZones = 256
)

// Errors of an evacuation order that is refused; nothing changed.
var (
	ErrZoneName     = errors.New("route: a data centre's name has 1 to 128 printable characters")
	ErrTooManyZones = errors.New("route: too many data centres are evacuated")
)

// ValidateZone judges the name of a data centre. One that no target has announced is
// valid: its targets may come later.
func ValidateZone(name string) error {
	if name == "" || len(name) > maxZoneName {
		return ErrZoneName
	}
	for _, c := range name {
		if c <= ' ' || c > '~' {
			return ErrZoneName
		}
	}
	return nil
}

// Evacuated returns the names of the evacuated data centres.
func (e *Evacuations) Evacuated() []string {
	var out []string
	for _, z := range e.Zones {
		if z.Evacuated {
			out = append(out, z.Zone)
		}
	}
	return out
}

// Order returns the last order for a data centre; false if there was none.
func (e *Evacuations) Order(zone string) (ZoneOrder, bool) {
	i := slices.IndexFunc(e.Zones, func(z ZoneOrder) bool { return z.Zone == zone })
	if i < 0 {
		return ZoneOrder{}, false
	}
	return e.Zones[i], true
}

// after returns the evacuations once an order was carried out, and what became of it.
//
// An order that was held up inside the cluster, as at a frozen leader, may come after its
// opposite was acknowledged. It carries the revision that its VM held when it was taken,
// so a later order for the same data centre shows, and the one that is late does nothing.
func (e *Evacuations) after(o EvacuationOrder) (*Evacuations, Outcome) {
	last, known := e.Order(o.Zone)
	switch {
	case last.Evacuated == o.Evacuate:
		return e, Overtaken
	case known && last.Revision > o.Seen:
		return e, Conflicting
	case !known && len(e.Zones) >= maxZones && !slices.ContainsFunc(e.Zones, withdrawn):
		return e, Full
	}
	next := &Evacuations{Revision: e.Revision + 1, Zones: slices.Clone(e.Zones)}
	if !known && len(next.Zones) >= maxZones {
		next.forgetOldest()
	}
	next.Zones = slices.DeleteFunc(next.Zones, func(z ZoneOrder) bool { return z.Zone == o.Zone })
	next.Zones = append(next.Zones, ZoneOrder{Zone: o.Zone, Evacuated: o.Evacuate, Revision: next.Revision, AtMS: o.AtMS, PreviousMS: last.AtMS})
	return next, Accepted
}

// MayBeLate tells whether an order may be a copy of one that was carried out and reversed
// since. An operator that lost an answer sends its order again for resendWindow at most,
// and a copy that was held up looks like a new order: carried out, it would leave a data
// centre evacuated, or not, against the operator's last word. Whoever means it sends it
// again until the window is over.
func (e *Evacuations) MayBeLate(o EvacuationOrder, resendWindow time.Duration) bool {
	last, _ := e.Order(o.Zone)
	if last.PreviousMS == 0 || last.Evacuated == o.Evacuate {
		return false
	}
	age := time.Duration(o.AtMS-last.PreviousMS) * time.Millisecond
	// Clocks of VMs that differ by more say nothing of the order's age.
	return -resendWindow < age && age < resendWindow
}

func withdrawn(z ZoneOrder) bool { return !z.Evacuated }

// forgetOldest drops the data centre whose evacuation was withdrawn longest ago. Orders
// are kept in the order of their revisions.
func (e *Evacuations) forgetOldest() {
	if at := slices.IndexFunc(e.Zones, withdrawn); at >= 0 {
		e.Zones = slices.Delete(e.Zones, at, at+1)
	}
}

// Command encodes an order for the log.
func (o *EvacuationOrder) Command() ([]byte, error) {
	data, err := o.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "route: encode")
	}
	return data, nil
}
