package control

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/passthrough/route"
)

// errConflict and errDelayedCopy are the causes for which an order isn't accepted now.
var (
	errConflict    = errors.New("control: another order for the data centre was applied first")
	errDelayedCopy = errors.New("control: order may be a delayed copy of one that was reversed")
)

// Evacuate stops new flows to a data centre's targets until Withdraw is called. A nil
// error means that the order is on the disks of a majority. ErrUnavailable means that it
// may come into force, now or later, and must be resent. Any other error means that it is
// invalid and nothing changed.
func (c *Control) Evacuate(ctx context.Context, zone string) error {
	return c.order(ctx, zone, true)
}

// Withdraw ends the evacuation of a data centre, with the errors of Evacuate. It succeeds
// if the data centre isn't evacuated.
func (c *Control) Withdraw(ctx context.Context, zone string) error {
	return c.order(ctx, zone, false)
}

func (c *Control) order(ctx context.Context, zone string, evacuate bool) error {
	if err := route.ValidateZone(zone); err != nil {
		c.logOrder(zone, evacuate, "invalid", err)
		return err
	}
	held := c.store.Evacuations()
	now := c.cfg.Now()
	o := route.EvacuationOrder{Zone: zone, Evacuate: evacuate, SeenRevision: held.Revision, AtMS: now.UnixMilli()}
	if c.orderTimes.mayBeDelayedCopy(held, o, now, c.cfg.ResendWindow) {
		c.logOrder(zone, evacuate, "unavailable", errDelayedCopy)
		return errors.Wrap(ErrUnavailable, errDelayedCopy.Error())
	}
	command, err := o.Command()
	if err != nil {
		return err
	}
	outcome, err := c.propose(ctx, command)
	if err != nil {
		c.logOrder(zone, evacuate, "unavailable", err)
		return err
	}
	switch outcome {
	case route.Accepted:
		c.logOrder(zone, evacuate, "accepted", nil)
		return nil
	case route.Redundant:
		c.logOrder(zone, evacuate, "unchanged", nil)
		return nil
	case route.Conflict:
		c.logOrder(zone, evacuate, "unavailable", errConflict)
		return errors.Wrap(ErrUnavailable, errConflict.Error())
	case route.TooManyZones:
		c.logOrder(zone, evacuate, "invalid", route.ErrTooManyZones)
		return route.ErrTooManyZones
	}
	c.logOrder(zone, evacuate, "unreadable", nil)
	return errors.New("control: replica could not decode the order")
}

// observeOrders records when this VM learns of evacuation orders, until ctx is done.
func (c *Control) observeOrders(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.store.Changed()
		c.orderTimes.observe(c.store.Evacuations(), c.cfg.Now())
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// logOrder logs and counts an operator's order with its outcome and cause.
func (c *Control) logOrder(zone string, evacuate bool, outcome string, cause error) {
	c.cfg.Metrics.Counter("evacuation_orders_" + outcome).Add(1)
	events.Log(c.cfg.Log, events.EvacuationDecided, logrus.Fields{
		"zone": zone, "evacuate": evacuate, "held": c.store.Evacuations().Revision, "outcome": outcome,
		"cause": events.ErrorText(cause), "contact_age_ms": c.ContactAge().Milliseconds(),
	})
}

// Evacuated returns the evacuated data centres, as far as this VM knows.
func (c *Control) Evacuated() []string { return c.store.Evacuations().Evacuated() }

// Evacuations returns the orders of the evacuated data centres. It fails with
// ErrUnavailable if this VM can't confirm that they are current.
func (c *Control) Evacuations(ctx context.Context) ([]route.ZoneOrder, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := c.Barrier(ctx); err != nil {
		c.cfg.Metrics.Counter("reads_unavailable").Add(1)
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	var out []route.ZoneOrder
	for _, z := range c.store.Evacuations().Zones {
		if z.Evacuated {
			out = append(out, z)
		}
	}
	return out, nil
}
