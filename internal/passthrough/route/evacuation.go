package route

import (
	"slices"

	"github.com/go-faster/errors"
)

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/passthrough/route/evacuation.go -o ../internal/passthrough/route/evacuation_gen.go -tests=false -io=false

// Evacuations is the replicated state of evacuation orders: the data centres whose
// targets get no new flows. It is immutable once in force.
type Evacuations struct {
	// Revision counts the orders that changed the state; 0 means that none did.
	Revision uint64 `msg:"r"`
	// Zones holds the last order for each data centre, sorted by revision.
	Zones []ZoneOrder `msg:"z"`
}

// ZoneOrder is the last order for one data centre.
//
//msgp:tuple ZoneOrder
type ZoneOrder struct {
	Zone string
	// Evacuated is false if the evacuation was withdrawn.
	Evacuated bool
	// Revision is the revision of the state after the order.
	Revision uint64
	// AtMS is when a control VM received the order, and PreviousMS when one received the
	// order before it, 0 if there was none. Both are in Unix milliseconds of the
	// receiving VM's clock, which may be wrong: they are for operators to read, and no
	// order of events follows from them.
	AtMS, PreviousMS int64
}

// EvacuationOrder is an operator's order, encoded as a command of the replicated log.
//
//msgp:tuple EvacuationOrder
type EvacuationOrder struct {
	Zone     string
	Evacuate bool
	// SeenRevision is the revision that the control VM held when it received the order.
	SeenRevision uint64
	// AtMS is when the VM received the order, in Unix milliseconds of its clock.
	AtMS int64
}

// StoreSnapshot is the snapshot of a store that has applied evacuation orders.
//
//msgp:tuple StoreSnapshot
type StoreSnapshot struct {
	// Definition is nil before the first definition.
	Definition  *Definition
	Evacuations Evacuations
}

// Limits of evacuation orders.
const (
	// maxZoneNameBytes bounds the length of a data centre's name.
	maxZoneNameBytes = 128
	// maxZones bounds the data centres whose last orders are kept. Beyond it, a new data
	// centre replaces the one whose evacuation was withdrawn longest ago.
	maxZones = 256
)

// Errors for evacuation orders that are refused; the state doesn't change.
var (
	ErrZoneName     = errors.New("route: a data centre's name must have 1 to 128 printable ASCII characters and no spaces")
	ErrTooManyZones = errors.New("route: too many data centres are evacuated")
)

// ValidateZone checks the syntax of a data centre's name. A data centre without known
// targets is valid: its targets may register later.
func ValidateZone(name string) error {
	if name == "" || len(name) > maxZoneNameBytes {
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

// Order returns the last order for a data centre, or false if there was none.
func (e *Evacuations) Order(zone string) (ZoneOrder, bool) {
	i := slices.IndexFunc(e.Zones, func(z ZoneOrder) bool { return z.Zone == zone })
	if i < 0 {
		return ZoneOrder{}, false
	}
	return e.Zones[i], true
}

// withOrder returns the evacuations after an order is applied, and the outcome.
//
// An order may be delayed inside the cluster, for example at a frozen leader, and be
// applied after the opposite order was acknowledged. It carries the revision that its VM
// held when it received it, so a later order for the same data centre is detected and the
// delayed order has no effect.
func (e *Evacuations) withOrder(o EvacuationOrder) (*Evacuations, Outcome) {
	last, known := e.Order(o.Zone)
	switch {
	case last.Evacuated == o.Evacuate:
		return e, Redundant
	case known && last.Revision > o.SeenRevision:
		return e, Conflict
	case !known && len(e.Zones) >= maxZones && !slices.ContainsFunc(e.Zones, withdrawn):
		return e, TooManyZones
	}
	next := &Evacuations{Revision: e.Revision + 1, Zones: slices.Clone(e.Zones)}
	if !known && len(next.Zones) >= maxZones {
		next.dropOldestWithdrawn()
	}
	next.Zones = slices.DeleteFunc(next.Zones, func(z ZoneOrder) bool { return z.Zone == o.Zone })
	next.Zones = append(next.Zones, ZoneOrder{Zone: o.Zone, Evacuated: o.Evacuate, Revision: next.Revision, AtMS: o.AtMS, PreviousMS: last.AtMS})
	return next, Accepted
}

// RepeatsEarlierOrder reports whether an order has the content of one that was applied and
// has since been reversed. An operator that lost an answer resends its order for some time,
// and a delayed copy looks like a new order: applying it would override the operator's
// latest order. An operator that means the order resends it until that time is over.
func (e *Evacuations) RepeatsEarlierOrder(o EvacuationOrder) bool {
	last, _ := e.Order(o.Zone)
	return last.PreviousMS != 0 && last.Evacuated != o.Evacuate
}

func withdrawn(z ZoneOrder) bool { return !z.Evacuated }

// dropOldestWithdrawn drops the data centre whose evacuation was withdrawn longest ago.
// Zones is sorted by revision.
func (e *Evacuations) dropOldestWithdrawn() {
	if at := slices.IndexFunc(e.Zones, withdrawn); at >= 0 {
		e.Zones = slices.Delete(e.Zones, at, at+1)
	}
}

// Command encodes the order as a command of the replicated log.
func (o *EvacuationOrder) Command() ([]byte, error) {
	data, err := o.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "route: encode")
	}
	return data, nil
}
