package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/distribution"
	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/raft"
	"bergamotstall/internal/replica"
	"bergamotstall/internal/table"
)

// Log is the replicated log as this role uses it; replica.Replica is one.
type Log interface {
	// Propose returns the outcome that the state machine gave the command.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once this VM has applied all that was committed before.
	Barrier(ctx context.Context) error
	// ContactAge tells how long ago this VM was in touch with a quorum.
	ContactAge() time.Duration
	// Status is this VM's view of the cluster.
	Status() replica.Status
	RemoveMember(ctx context.Context, id raft.ID) error
	ReplaceMember(ctx context.Context, old raft.ID) error
	// Done is closed once the replica has ended; Err then tells why.
	Done() <-chan struct{}
	Err() error
	Close() error
}

// registrar turns what subscribers say into commands of the log.
type registrar struct {
	vm      string
	log     Log
	now     func() time.Time
	logger  logrus.FieldLogger
	metrics *metrics.Set
}

var _ distribution.Registrar = (*registrar)(nil)

// submit proposes a command under this VM's name and clock. Where the outcome
// is unknown it proposes the same bytes again until ctx ends: an operator's
// command has its identity, a process's its incarnation, so that the second run
// brings the first one's outcome.
func (r *registrar) submit(ctx context.Context, cmd *catalogue.Command) (catalogue.Outcome, error) {
	cmd.Via = r.vm
	cmd.AtMS = r.now().UnixMilli()
	var out catalogue.Outcome
	data, err := cmd.MarshalMsg(nil)
	if err != nil {
		return out, errors.Wrap(err, "control: encode command")
	}
	answer, err := r.log.Propose(ctx, data)
	for errors.Is(err, replica.ErrOutcomeUnknown) && ctx.Err() == nil {
		r.metrics.Counter("proposals_repeated").Add(1)
		answer, err = r.log.Propose(ctx, data)
	}
	if err != nil {
		r.metrics.Counter("proposals_failed").Add(1)
		return out, errors.Wrap(err, "control: propose")
	}
	if _, err := out.UnmarshalMsg(answer); err != nil {
		return out, errors.Wrap(err, "control: decode outcome")
	}
	return out, nil
}

// AnnounceAgent implements distribution.Registrar.
func (r *registrar) AnnounceAgent(ctx context.Context, a distribution.Announcement) (table.AgentNumber, error) {
	out, err := r.submit(ctx, &catalogue.Command{AnnounceAgent: &catalogue.AnnounceAgent{Announcement: a}})
	if err != nil {
		return 0, err
	}
	r.note(out, a.Name)
	return out.Agent, out.Err()
}

// AnnounceBalancer implements distribution.Registrar.
func (r *registrar) AnnounceBalancer(ctx context.Context, a distribution.Announcement) error {
	out, err := r.submit(ctx, &catalogue.Command{AnnounceBalancer: &catalogue.AnnounceBalancer{Announcement: a}})
	if err != nil {
		return err
	}
	r.note(out, a.Name)
	return out.Err()
}

// AgentSilent implements distribution.Registrar.
func (r *registrar) AgentSilent(ctx context.Context, s distribution.Silence) error {
	out, err := r.submit(ctx, &catalogue.Command{AgentSilent: &s})
	return r.silence(out, err, s.Name)
}

// BalancerSilent implements distribution.Registrar.
func (r *registrar) BalancerSilent(ctx context.Context, s distribution.Silence) error {
	out, err := r.submit(ctx, &catalogue.Command{BalancerSilent: &s})
	return r.silence(out, err, s.Name)
}

// silence notes the outcome of a report. One that wasn't believed is in the
// state as a suspicion; watch reports it again once it would be believed.
func (r *registrar) silence(out catalogue.Outcome, err error, name string) error {
	if err != nil {
		return err
	}
	var refusal *catalogue.Refusal
	if errors.As(out.Err(), &refusal) {
		r.metrics.Counter("silence_disputed").Add(1)
		events.Log(r.logger, events.SilenceDisputed, logrus.Fields{"process": name, "why": out.Text})
		return nil
	}
	r.note(out, name)
	return out.Err()
}

func (r *registrar) note(out catalogue.Outcome, name string) {
	r.metrics.Counter("announcements_" + out.Code.String()).Add(1)
	events.Log(r.logger, events.FleetChanged, logrus.Fields{"process": name, "outcome": out.Text, "revision": out.Revision})
}
