package operator

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/distribution"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/metrics"
)

// fakeLog is the replicated log that the fake control VMs share.
type fakeLog struct {
	mu      sync.Mutex
	index   uint64
	machine *catalogue.Catalogue
}

// fakeVM is the backend of one control VM.
type fakeVM struct {
	log      *fakeLog
	noQuorum bool
	local    LocalStatus
	// blockSubmit, if set, blocks Submit until it is closed. Submit closes submitBlocked
	// when it blocks.
	blockSubmit, submitBlocked chan struct{}
}

func (v *fakeVM) Submit(ctx context.Context, cmd *catalogue.Command) (catalogue.Outcome, error) {
	var out catalogue.Outcome
	if v.noQuorum {
		return out, ErrNoQuorum
	}
	if v.blockSubmit != nil {
		close(v.submitBlocked)
		<-v.blockSubmit
	}
	v.log.mu.Lock()
	defer v.log.mu.Unlock()
	v.log.index++
	data, err := cmd.MarshalMsg(nil)
	if err != nil {
		return out, err
	}
	_, err = out.UnmarshalMsg(v.log.machine.Apply(v.log.index, data))
	return out, err
}

func (v *fakeVM) Barrier(context.Context) error {
	if v.noQuorum {
		return ErrNoQuorum
	}
	return nil
}

func (v *fakeVM) Catalogue() *catalogue.Catalogue { return v.log.machine }

func (v *fakeVM) Local() LocalStatus { return v.local }

func (v *fakeVM) ChangeMembers(context.Context, MembersChange) error {
	return errors.New("no replica waits to replace the VM")
}

// serve runs a server for the backend and returns its address and a function
// that stops it gracefully.
func serve(t *testing.T, v Backend) (string, func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	s := &Server{VM: "control-a", Backend: v, Log: log, Metrics: metrics.New()}
	go func() { ended <- s.Serve(ctx, ln) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(stop)
	return ln.Addr().String(), stop
}

func newLog() *fakeLog {
	l := &fakeLog{machine: catalogue.New()}
	v := &fakeVM{log: l}
	_, _ = v.Submit(context.Background(), &catalogue.Command{ID: "first", Operator: "ama", Apply: &catalogue.ApplyCatalogue{
		Definition: catalogue.Definition{
			Services: []catalogue.ServiceSpec{{Name: "casework", Address: "127.0.0.1:8443"}},
			Presets:  []catalogue.Preset{{Name: "ordinary"}, {Name: "peak"}},
		},
	}})
	return l
}

func (l *fakeLog) announceBalancer(name string) {
	v := &fakeVM{log: l}
	_, _ = v.Submit(context.Background(), &catalogue.Command{AnnounceBalancer: &catalogue.AnnounceBalancer{
		Announcement: distribution.Announcement{Name: name, Incarnation: 1, Tunnel: "127.0.3.1:7000"},
	}})
}

func toPeak() catalogue.Command {
	return catalogue.Command{ID: "ama-1", Switch: &catalogue.SwitchPreset{Preset: "peak"}}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a command that is lost or runs twice if a control VM applies it and
// crashes before it replies. The client resends it to the next VM under the same ID.
func TestCommandIsResentToAnotherVMAfterALostReply(t *testing.T) {
	is := is.New(t)
	l := newLog()
	lossy, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer lossy.Close()
	go func() {
		raw, err := lossy.Accept()
		if err != nil {
			return
		}
		frame, err := framing.NewConn(raw, maxFrameSize, 0).Read()
		var cmd catalogue.Command
		if err == nil && frame.Decode(&cmd) == nil {
			_, _ = (&fakeVM{log: l}).Submit(context.Background(), &cmd)
		}
		raw.Close()
	}()
	good, _ := serve(t, &fakeVM{log: l})

	c := &Client{Addresses: []string{lossy.Addr().String(), good}, Operator: "ama"}
	out, err := c.Command(t.Context(), toPeak())
	is.NoErr(err)
	is.Equal(out.Text, "peak in force, before it ordinary")
	is.Equal(len(l.machine.Audit()), 2) // the definition and one switch
}

// Guards against a client that hangs on a control VM that accepts connections and never
// replies. After AnswerTimeout it asks the next VM.
func TestClientLeavesAVMThatDoesNotReply(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()
	good, _ := serve(t, &fakeVM{log: newLog()})
	c := &Client{Addresses: []string{silent.Addr().String(), good}, AnswerTimeout: 50 * time.Millisecond}
	view, err := c.Read(t.Context(), PartSummary)
	is.NoErr(err)
	is.Equal(view.InForce, "ordinary")
}

// Guards against outdated state that looks current: every VM has lost its quorum. Reads
// fail, a failed command returns the ID to resend it under, and Fleet returns each VM's
// local status with its age.
func TestWithoutQuorumNothingIsReportedAsCurrent(t *testing.T) {
	is := is.New(t)
	l := newLog()
	address, _ := serve(t, &fakeVM{log: l, noQuorum: true, local: LocalStatus{VM: "control-a", InForce: "ordinary", ContactAgeMS: 9000}})
	c := &Client{Addresses: []string{address}}
	_, err := c.Read(t.Context(), PartServices)
	var lost *Unreachable
	is.True(errors.As(err, &lost))
	_, err = c.Command(t.Context(), toPeak())
	is.True(errors.As(err, &lost))
	is.Equal(lost.ID, "ama-1")
	fleet := c.Fleet(t.Context())
	is.True(fleet.View == nil)
	is.Equal(fleet.VMs[0].Local.ContactAgeMS, int64(9000))
}

// Guards against a switch that is reported as in force too early: of four balancers one
// has acknowledged only an old revision and one isn't connected. WaitInForce names both,
// and returns once they have acknowledged the revision.
func TestWaitNamesLaggingBalancers(t *testing.T) {
	is := is.New(t)
	l := newLog()
	for _, name := range []string{"b1", "b2", "b3", "b4"} {
		l.announceBalancer(name)
	}
	a := &fakeVM{log: l, local: LocalStatus{VM: "control-a", Subscribers: []Subscriber{
		{Name: "b1", Role: "balancer", Revision: 100}, {Name: "b2", Role: "balancer", Revision: 2, AgeMS: 8000},
	}}}
	b := &fakeVM{log: l, local: LocalStatus{VM: "control-b", Subscribers: []Subscriber{
		{Name: "b2", Role: "balancer", Revision: 100, AgeMS: 10}, {Name: "b3", Role: "balancer", Revision: 2, AgeMS: 5},
	}}}
	addressA, _ := serve(t, a)
	addressB, _ := serve(t, b)
	c := &Client{Addresses: []string{addressA, addressB}}

	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	fleet, err := c.WaitInForce(ctx, 50)
	is.True(errors.Is(err, ErrLagging))
	lagging := fleet.Lagging(50)
	is.Equal(len(lagging), 2)
	is.Equal(lagging[0].Name, "b3")
	is.True(lagging[0].Heard)
	is.Equal(lagging[1].Name, "b4")
	is.True(!lagging[1].Heard)
	is.Equal(fleet.Behind(50), []string{"balancer b3", "balancer b4"})

	rest, _ := serve(t, &fakeVM{log: l, local: LocalStatus{VM: "control-c", Subscribers: []Subscriber{
		{Name: "b3", Role: "balancer", Revision: 50}, {Name: "b4", Role: "balancer", Revision: 51},
	}}})
	c.Addresses = append(c.Addresses, rest)
	fleet, err = c.WaitInForce(t.Context(), 50)
	is.NoErr(err)
	is.Equal(fleet.Live(), 4)
}

// Guards against a lost reply when a control VM is stopped while a command is in progress.
func TestGracefulStopFinishesRequestsInProgress(t *testing.T) {
	is := is.New(t)
	v := &fakeVM{log: newLog(), blockSubmit: make(chan struct{}), submitBlocked: make(chan struct{})}
	address, stop := serve(t, v)
	answered := make(chan error, 1)
	go func() {
		_, err := (&Client{Addresses: []string{address}}).Command(context.Background(), toPeak())
		answered <- err
	}()
	<-v.submitBlocked
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	select {
	case <-stopped:
		t.Error("the server stopped before it replied")
	case <-time.After(50 * time.Millisecond):
	}
	close(v.blockSubmit)
	is.NoErr(<-answered)
	<-stopped
}

// Guards against an operator who sends a command of the processes, such as a silence
// report that takes a balancer out of service.
func TestCommandsOfProcessesAreRefused(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.announceBalancer("b1")
	address, _ := serve(t, &fakeVM{log: l})
	_, err := (&Client{Addresses: []string{address}}).Command(t.Context(), catalogue.Command{BalancerSilent: &distribution.Silence{Name: "b1", Incarnation: 1}})
	var failure *Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Code, Malformed)
}
