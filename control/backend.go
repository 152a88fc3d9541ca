package control

import (
	"context"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/events"
	"bergamotstall/internal/operator"
)

var _ operator.Backend = (*Control)(nil)

// Submit implements operator.Backend.
func (c *Control) Submit(ctx context.Context, cmd *catalogue.Command) (catalogue.Outcome, error) {
	out, err := c.registrar.submit(ctx, cmd)
	if err != nil {
		return out, operator.ErrNoQuorum
	}
	events.Log(c.logger, events.CommandApplied, logrus.Fields{
		"operator": cmd.Operator, "command": cmd.ID, "outcome": out.Text, "version": out.Version,
	})
	return out, nil
}

// Barrier implements operator.Backend.
func (c *Control) Barrier(ctx context.Context) error {
	if err := c.log.Barrier(ctx); err != nil {
		return operator.ErrNoQuorum
	}
	return nil
}

// Catalogue implements operator.Backend.
func (c *Control) Catalogue() *catalogue.Catalogue { return c.catalogue }

// Local implements operator.Backend.
func (c *Control) Local() operator.LocalStatus {
	sum := c.catalogue.Summary()
	return operator.LocalStatus{
		VM: c.settings.Name, DataCentre: c.settings.DataCentre,
		ContactAgeMS: c.log.ContactAge().Milliseconds(),
		Version:      sum.Version, Revision: sum.Revision, InForce: sum.InForce,
	}
}

// ChangeMembers implements operator.Backend.
func (c *Control) ChangeMembers(context.Context, operator.MembersChange) error {
	return &catalogue.Refusal{Why: "the log of this process has one member"}
}
