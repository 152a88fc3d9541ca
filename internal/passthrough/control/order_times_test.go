package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/route"
)

// delayedCopies applies orders to a store and judges further ones by the VM's own clock.
type delayedCopies struct {
	t     *testing.T
	store *route.ReplicatedStore
	times orderTimes
	start time.Time
}

const window = 6 * time.Second

func newDelayedCopies(t *testing.T) *delayedCopies {
	return &delayedCopies{t: t, store: route.NewReplicatedStore(), start: time.Now()}
}

func (d *delayedCopies) order(evacuate bool) route.EvacuationOrder {
	e := d.store.Evacuations()
	return route.EvacuationOrder{Zone: "accra-a", Evacuate: evacuate, SeenRevision: e.Revision, AtMS: int64(1 + e.Revision)}
}

// apply applies an order; the VM learns of it at the given time after the start.
func (d *delayedCopies) apply(evacuate bool, at time.Duration) {
	d.t.Helper()
	o := d.order(evacuate)
	command, err := o.Command()
	if err != nil {
		d.t.Fatal(err)
	}
	d.store.Apply(1, command)
	d.times.observe(d.store.Evacuations(), d.start.Add(at))
}

func (d *delayedCopies) mayBeDelayed(evacuate bool, at time.Duration) bool {
	return d.times.mayBeDelayedCopy(d.store.Evacuations(), d.order(evacuate), d.start.Add(at), window)
}

// Guards against a delayed copy of an order that overrides the operator's latest order.
func TestDelayedCopyGetsNoDefiniteAnswer(t *testing.T) {
	is := is.New(t)
	d := newDelayedCopies(t)
	is.True(!d.mayBeDelayed(true, 0))
	d.apply(true, 0)
	is.True(!d.mayBeDelayed(true, time.Second))  // a resend
	is.True(!d.mayBeDelayed(false, time.Second)) // the opposite was never ordered
	d.apply(false, 2*time.Second)
	is.True(!d.mayBeDelayed(false, 3*time.Second))
	is.True(d.mayBeDelayed(true, 3*time.Second))
	is.True(!d.mayBeDelayed(true, window))
	d.apply(true, window)
	is.True(d.mayBeDelayed(false, window+time.Second)) // may be a copy of the withdrawal at +2 s
	is.True(!d.mayBeDelayed(false, window+2*time.Second))
}

// Guards against delayed copies that are applied by a VM that has just started, or that has
// learned of several orders at once: they may be younger than it knows.
func TestOrdersOfUnknownAgeCountAsNew(t *testing.T) {
	is := is.New(t)
	d := newDelayedCopies(t)
	d.apply(true, 0)
	d.apply(false, 0)
	d.times = orderTimes{} // the VM restarts
	is.True(d.mayBeDelayed(true, 2*window))
	is.True(!d.mayBeDelayed(true, 3*window))
	for _, evacuate := range []bool{true, false} { // applied unobserved
		o := d.order(evacuate)
		command, err := o.Command()
		is.NoErr(err)
		d.store.Apply(1, command)
	}
	is.True(d.mayBeDelayed(true, 5*window))
	is.True(!d.mayBeDelayed(true, 6*window))
}
