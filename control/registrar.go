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

// Log is the replicated log; replica.Replica implements it.
type Log interface {
	// Propose returns the state machine's result of the command.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once this VM has applied everything that was committed before.
	Barrier(ctx context.Context) error
	// ContactAge returns the time since this VM's last contact with a quorum.
	ContactAge() time.Duration
	// Status returns this VM's view of the cluster.
	Status() replica.Status
	RemoveMember(ctx context.Context, id raft.ID) error
	ReplaceMember(ctx context.Context, old raft.ID) error
	// Done is closed once the replica has ended; Err then returns the reason.
	Done() <-chan struct{}
	Err() error
	Close() error
}

// registrar proposes the announcements and silence reports of subscribers as commands.
type registrar struct {
	vm      string
	log     Log
	now     func() time.Time
	logger  logrus.FieldLogger
	metrics *metrics.Set
}

var _ distribution.Registrar = (*registrar)(nil)

// submit proposes a command with this VM's name and time. If the outcome is unknown it
// proposes the same bytes again until ctx ends. This is idempotent: operators' commands
// have an ID and processes' commands an incarnation.
func (r *registrar) submit(ctx context.Context, cmd *catalogue.Command) (catalogue.Outcome, error) {
	cmd.ProposedBy = r.vm
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
	r.logOutcome(out, a.Name)
	return out.Agent, out.Err()
}

// AnnounceBalancer implements distribution.Registrar.
func (r *registrar) AnnounceBalancer(ctx context.Context, a distribution.Announcement) error {
	out, err := r.submit(ctx, &catalogue.Command{AnnounceBalancer: &catalogue.AnnounceBalancer{Announcement: a}})
	if err != nil {
		return err
	}
	r.logOutcome(out, a.Name)
	return out.Err()
}

// AgentSilent implements distribution.Registrar.
func (r *registrar) AgentSilent(ctx context.Context, s distribution.Silence) error {
	out, err := r.submit(ctx, &catalogue.Command{AgentSilent: &s})
	return r.logSilenceOutcome(out, err, s.Name)
}

// BalancerSilent implements distribution.Registrar.
func (r *registrar) BalancerSilent(ctx context.Context, s distribution.Silence) error {
	out, err := r.submit(ctx, &catalogue.Command{BalancerSilent: &s})
	return r.logSilenceOutcome(out, err, s.Name)
}

// logSilenceOutcome logs and counts the outcome of a silence report. If the process became
// only a suspect, watch reports it again once it may be taken out of service.
func (r *registrar) logSilenceOutcome(out catalogue.Outcome, err error, name string) error {
	if err != nil {
		return err
	}
	var refusal *catalogue.Refusal
	if errors.As(out.Err(), &refusal) {
		r.metrics.Counter("silence_disputed").Add(1)
		events.Log(r.logger, events.SilenceDisputed, logrus.Fields{"process": name, "why": out.Text})
		return nil
	}
	r.logOutcome(out, name)
	return out.Err()
}

// logOutcome logs and counts the outcome of an announcement or silence report.
func (r *registrar) logOutcome(out catalogue.Outcome, name string) {
	r.metrics.Counter("announcements_" + out.Code.String()).Add(1)
	events.Log(r.logger, events.FleetChanged, logrus.Fields{"process": name, "outcome": out.Text, "revision": out.Revision})
}
