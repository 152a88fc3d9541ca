package scenario

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/agent"
	"bergamotstall/balancer"
	"bergamotstall/control"
)

// Process is one running role.
type Process interface {
	// Stop is a graceful stop; it returns when the role has ended.
	Stop() error
	// Kill ends the role as a crash does.
	Kill() error
}

// Launcher starts roles: in this process for the demo, as processes of their
// own for the integration tests.
type Launcher interface {
	Control(s control.Settings) (Process, error)
	Balancer(s balancer.Settings) (Process, error)
	Agent(s agent.Settings) (Process, error)
}

// InProcess runs every role in this process. Kill is a graceful stop there, so
// a crash is told from a stop only by what the fabric does.
type InProcess struct {
	Log logrus.FieldLogger
}

// Control implements Launcher.
func (l InProcess) Control(s control.Settings) (Process, error) {
	role, err := control.New(s, l.Log)
	if err != nil {
		return nil, errors.Wrap(err, "scenario: control")
	}
	return start(s.Name, role), nil
}

// Balancer implements Launcher.
func (l InProcess) Balancer(s balancer.Settings) (Process, error) {
	role, err := balancer.New(s, l.Log)
	if err != nil {
		return nil, errors.Wrap(err, "scenario: balancer")
	}
	return start(s.Name, role), nil
}

// Agent implements Launcher.
func (l InProcess) Agent(s agent.Settings) (Process, error) {
	role, err := agent.New(s, l.Log)
	if err != nil {
		return nil, errors.Wrap(err, "scenario: agent")
	}
	return start(s.Host, role), nil
}

// runner is any role.
type runner interface {
	// Run returns after a graceful stop once ctx is done.
	Run(ctx context.Context) error
}

// inProcess is a role that runs here.
type inProcess struct {
	name   string
	cancel context.CancelFunc
	ended  chan error
}

func start(name string, r runner) *inProcess {
	ctx, cancel := context.WithCancel(context.Background())
	p := &inProcess{name: name, cancel: cancel, ended: make(chan error, 1)}
	go func() { p.ended <- r.Run(ctx) }()
	return p
}

func (p *inProcess) Stop() error {
	p.cancel()
	if err := <-p.ended; err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrapf(err, "scenario: %s", p.name)
	}
	return nil
}

func (p *inProcess) Kill() error { return p.Stop() }
