package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/passthrough/route"
)

// errOvertaken and errLateCopy say why an order isn't taken now.
var (
	errOvertaken = errors.New("control: another order for the data centre came first")
	errLateCopy  = errors.New("control: may be a late copy of an order that was reversed")
)

// Evacuate has a data centre's targets get no new flows until Withdraw. nil means that the
// order is on the disks of a majority; ErrUnavailable, that it may come into force, now or
// later, and is to be sent again; any other error, that it is invalid and nothing changed.
func (c *Control) Evacuate(ctx context.Context, zone string) error {
	return c.order(ctx, zone, true)
}

// Withdraw takes a data centre back, with the errors of Evacuate. One that isn't evacuated
// stays as it is, without an error.
func (c *Control) Withdraw(ctx context.Context, zone string) error {
	return c.order(ctx, zone, false)
}

func (c *Control) order(ctx context.Context, zone string, evacuate bool) error {
	if err := route.ValidateZone(zone); err != nil {
		c.orderDecided(zone, evacuate, "invalid", err)
		return err
	}
	held := c.store.Evacuations()
	o := route.EvacuationOrder{Zone: zone, Evacuate: evacuate, SeenRevision: held.Revision, AtMS: time.Now().UnixMilli()}
	if held.MayBeDelayedCopy(o, c.cfg.ResendWindow) {
		c.orderDecided(zone, evacuate, "unavailable", errLateCopy)
		return errors.Wrap(ErrUnavailable, errLateCopy.Error())
	}
	command, err := o.Command()
	if err != nil {
		return err
	}
	outcome, err := c.propose(ctx, command)
	if err != nil {
		c.orderDecided(zone, evacuate, "unavailable", err)
		return err
	}
	switch outcome {
	case route.Accepted:
		c.orderDecided(zone, evacuate, "accepted", nil)
		return nil
	case route.Redundant:
		c.orderDecided(zone, evacuate, "unchanged", nil)
		return nil
	case route.Conflict:
		c.orderDecided(zone, evacuate, "unavailable", errOvertaken)
		return errors.Wrap(ErrUnavailable, errOvertaken.Error())
	case route.TooManyZones:
		c.orderDecided(zone, evacuate, "invalid", route.ErrTooManyZones)
		return route.ErrTooManyZones
	}
	c.orderDecided(zone, evacuate, "unreadable", nil)
	return errors.New("control: the log could not read the order")
}

// orderDecided logs an operator's order with what decided on it.
func (c *Control) orderDecided(zone string, evacuate bool, outcome string, cause error) {
	c.cfg.Metrics.Counter("evacuation_orders_" + outcome).Add(1)
	events.Log(c.cfg.Log, events.EvacuationDecided, logrus.Fields{
		"zone": zone, "evacuate": evacuate, "held": c.store.Evacuations().Revision, "outcome": outcome,
		"cause": events.ErrorText(cause), "contact_age_ms": c.ContactAge().Milliseconds(),
	})
}

// Evacuated returns the data centres that are evacuated, as far as this VM knows.
func (c *Control) Evacuated() []string { return c.store.Evacuations().Evacuated() }

// Evacuations returns the orders in force. It fails with ErrUnavailable where this VM can't
// be sure of them.
func (c *Control) Evacuations(ctx context.Context) ([]route.ZoneOrder, error) {
	ctx, cancel := context.WithTimeout(ctx, getPatience)
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
