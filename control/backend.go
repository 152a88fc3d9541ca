package control

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/events"
	"bergamotstall/internal/operator"
	"bergamotstall/internal/raft"
	"bergamotstall/internal/replica"
)

var _ operator.Backend = (*Control)(nil)

// Submit implements operator.Backend.
func (c *Control) Submit(ctx context.Context, cmd *catalogue.Command) (catalogue.Outcome, error) {
	out, err := c.registrar.submit(ctx, cmd)
	if err != nil {
		return out, operatorError(err)
	}
	c.metrics.Counter("operator_commands_" + out.Code.String()).Add(1)
	events.Log(c.logger, events.CommandApplied, logrus.Fields{
		"operator": cmd.Operator, "command": cmd.ID, "outcome": out.Text, "version": out.Version,
	})
	return out, nil
}

// operatorError maps errors of the log to errors of the operators' protocol. Except for an
// oversized command, another VM may accept the command.
func operatorError(err error) error {
	switch {
	case errors.Is(err, replica.ErrTooLarge):
		return operator.ErrTooLarge
	case errors.Is(err, replica.ErrBusy):
		return operator.ErrBusy
	}
	return operator.ErrNoQuorum
}

// Barrier implements operator.Backend.
func (c *Control) Barrier(ctx context.Context) error {
	if err := c.log.Barrier(ctx); err != nil {
		return operatorError(err)
	}
	return nil
}

// Catalogue implements operator.Backend.
func (c *Control) Catalogue() *catalogue.Catalogue { return c.catalogue }

// Local implements operator.Backend.
func (c *Control) Local() operator.LocalStatus {
	summary := c.catalogue.Summary()
	status := c.log.Status()
	out := operator.LocalStatus{
		Leader: leaderName(status), Replicas: listReplicas(status),
		VM: c.settings.Name, DataCentre: c.settings.DataCentre,
		ContactAgeMS: c.log.ContactAge().Milliseconds(),
		Version:      summary.Version, Revision: summary.Revision, InForce: summary.InForce,
	}
	for _, s := range c.distributor.Subscribers() {
		out.Subscribers = append(out.Subscribers, operator.Subscriber{
			Name: s.Name, Role: s.Role.String(), Revision: s.Revision, AgeMS: s.Age.Milliseconds(),
		})
	}
	return out
}

// listReplicas returns the control VMs as this one knows them.
func listReplicas(s replica.Status) []operator.Replica {
	isLeader := s.Leader == s.ID
	out := make([]operator.Replica, 0, len(s.Members))
	for _, m := range s.Members {
		r := operator.Replica{Name: m.Name, ID: m.ID.String(), Address: m.Address, Role: m.Role.String(), Lag: -1, SilentMS: -1}
		if isLeader {
			r.Lag, r.SilentMS = int64(s.Lag(m)), m.Silence.Milliseconds()
		}
		out = append(out, r)
	}
	return out
}

// leaderName returns the name of the leader; empty if this VM knows none.
func leaderName(s replica.Status) string {
	for _, m := range s.Members {
		if m.ID == s.Leader {
			return m.Name
		}
	}
	return ""
}

// ChangeMembers implements operator.Backend. The operator names a VM, and the change
// applies to the member with that name.
func (c *Control) ChangeMembers(ctx context.Context, change operator.MembersChange) error {
	if err := c.log.Barrier(ctx); err != nil {
		return operatorError(err)
	}
	id, ok := memberNamed(c.log.Status(), change.Name)
	if !ok {
		return errors.Errorf("no control VM named %q", change.Name)
	}
	var err error
	switch change.Action {
	case operator.RemoveMember:
		err = c.log.RemoveMember(ctx, id)
	case operator.ReplaceMember:
		err = c.log.ReplaceMember(ctx, id)
	default:
		return errors.New("this version of control doesn't know the change")
	}
	if err != nil {
		return memberError(err)
	}
	events.Log(c.logger, events.MembersOrdered, logrus.Fields{"operator": change.Operator, "vm": change.Name, "change": change.Action.String()})
	return nil
}

func memberNamed(s replica.Status, name string) (raft.ID, bool) {
	for _, m := range s.Members {
		if m.Name == name {
			return m.ID, true
		}
	}
	return 0, false
}

// memberError returns the reason why a change was refused; other errors map to those of
// the operators' protocol.
func memberError(err error) error {
	for _, refusal := range []error{
		replica.ErrNoReplacement, raft.ErrChangePending, raft.ErrUnknownMember, raft.ErrAlreadyMember,
		raft.ErrRemoved, raft.ErrTooManyMembers, raft.ErrLastVoter, raft.ErrNameInUse,
	} {
		if errors.Is(err, refusal) {
			return refusal
		}
	}
	return operatorError(err)
}
