package control

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/distribution"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/operator"
	"bergamotstall/internal/raft"
	"bergamotstall/internal/replica"
)

// fakeLog is an in-memory log with one replica.
type fakeLog struct {
	machine  *catalogue.Catalogue
	proposed [][]byte
	// fail holds the errors of the next proposals. Except after replica.ErrNotRun the
	// command runs despite the error.
	fail   []error
	status replica.Status
	ended  chan struct{}
	err    error
}

func newFakeLog() *fakeLog {
	return &fakeLog{machine: catalogue.New(), ended: make(chan struct{})}
}

func (l *fakeLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	var err error
	if len(l.fail) > 0 {
		err, l.fail = l.fail[0], l.fail[1:]
	}
	if errors.Is(err, replica.ErrNotRun) {
		return nil, err
	}
	l.proposed = append(l.proposed, slices.Clone(command))
	return l.machine.Apply(uint64(len(l.proposed)), command), err
}

func (l *fakeLog) Barrier(context.Context) error { return nil }

func (l *fakeLog) ContactAge() time.Duration { return 0 }

func (l *fakeLog) Status() replica.Status { return l.status }

func (l *fakeLog) RemoveMember(context.Context, raft.ID) error { return nil }

func (l *fakeLog) ReplaceMember(context.Context, raft.ID) error { return nil }

func (l *fakeLog) Done() <-chan struct{} { return l.ended }

func (l *fakeLog) Err() error { return l.err }

func (l *fakeLog) Close() error { return nil }

// controlOn returns a control VM that uses a fake log.
func controlOn(l *fakeLog) *Control {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &Control{
		settings: Settings{Name: "a", Operators: "127.0.0.1:0", Subscribers: "127.0.0.1:0"},
		logger:   log, metrics: metrics.New(), catalogue: l.machine,
	}
	c.openServices(l)
	return c
}

// Guards against a command that is lost or runs twice if the leader fails and control can't
// know whether it was committed: control proposes the same bytes again, and the command is
// in the audit record once.
func TestCommandWithUnknownOutcomeIsProposedAgain(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	c := controlOn(l)
	defer c.Close()
	first := applyCommand("first")
	_, err := c.Submit(t.Context(), &first)
	is.NoErr(err)

	l.fail = []error{replica.ErrOutcomeUnknown, replica.ErrOutcomeUnknown}
	cmd := switchTo("peak", "ama-1", 0)
	out, err := c.Submit(t.Context(), &cmd)
	is.NoErr(err)
	is.Equal(out.Text, "peak in force, before it ordinary")
	is.Equal(len(l.proposed), 4)
	is.Equal(l.proposed[2], l.proposed[1])
	is.Equal(len(l.machine.Audit()), 2)
	is.Equal(c.metrics.Value("proposals_repeated"), int64(2))
}

// Guards against a wrong error for a command that certainly didn't run.
func TestCommandThatDidNotRunIsReported(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	c := controlOn(l)
	defer c.Close()
	for _, x := range []struct{ reason, want error }{
		{replica.ErrNoLeader, operator.ErrNoQuorum},
		{replica.ErrBusy, operator.ErrBusy},
		{replica.ErrTooLarge, operator.ErrTooLarge},
	} {
		l.fail = []error{errors.Wrap(errors.Join(replica.ErrNotRun, x.reason), "log")}
		cmd := switchTo("peak", "ama-1", 0)
		_, err := c.Submit(t.Context(), &cmd)
		is.Equal(err, x.want)
	}
	is.Equal(len(l.proposed), 0)
}

// Guards against a VM that appears healthy but serves nothing after its replica failed,
// for example by a failed disk sync: the process ends with an error, which its supervisor
// sees.
func TestProcessExitsAfterReplicaFailure(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	l.err = errors.New("disk full")
	close(l.ended)
	err := controlOn(l).Run(t.Context())
	is.True(errors.Is(err, ErrReplicaEnded))
}

// Guards against dead subscribers that no VM reports: the leader adopts the subscribers of
// silent and removed VMs, and its own from before its restart. A follower adopts only its
// own.
func TestSubscribersOfLostVMsAreAdopted(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	for i, name := range []string{"a", "b", "c"} {
		m := raft.MemberStatus{Member: raft.Member{ID: raft.ID(i + 1), Name: name}}
		l.status.Members = append(l.status.Members, m)
	}
	l.status.ID, l.status.Leader = 1, 1
	l.status.Members[1].Silence = adoptAfter + time.Second
	for _, via := range []string{"a", "b", "c", "removed"} {
		r := &registrar{vm: via, log: l, now: time.Now, logger: logrus.New(), metrics: metrics.New()}
		r.logger.(*logrus.Logger).SetOutput(io.Discard)
		is.NoErr(r.AnnounceBalancer(t.Context(), distribution.Announcement{Name: "at-" + via, Incarnation: 1, Attachment: 1, Tunnel: "127.0.3.1:7000"}))
	}
	c := controlOn(l)
	defer c.Close()
	is.Equal(balancerNames(c.subscribersToAdopt()), []string{"at-a", "at-b", "at-removed"})
	l.status.Leader = 3
	is.Equal(balancerNames(c.subscribersToAdopt()), []string{"at-a"})
}

func balancerNames(_, balancers []distribution.Silence) []string {
	var out []string
	for _, s := range balancers {
		out = append(out, s.Name)
	}
	return out
}

func TestClockDiffers(t *testing.T) {
	for _, c := range []struct {
		name           string
		ahead, contact time.Duration
		want           bool
	}{
		{"no difference", -catalogue.SweepInterval, 0, false},
		{"wait of a command in the log", time.Second, 0, false},
		{"leader ahead", 3 * time.Second, 0, true},
		{"leader ahead, no contact", 3 * time.Second, time.Hour, true},
		{"leader behind", -time.Minute, 0, true},
		{"no contact, no sweeps", -time.Minute, time.Hour, false},
	} {
		if got := clockDiffers(c.ahead, c.contact); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
