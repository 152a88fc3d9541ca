package scenario

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/agent"
	"bergamotstall/balancer"
	"bergamotstall/control"
)

// Process is a running role.
type Process interface {
	// Stop stops the role gracefully and returns when it has ended.
	Stop() error
	// Kill ends the role at once, like a crash.
	Kill() error
}

// Launcher starts roles: inside this process for the demo, as separate processes
// for the integration tests.
type Launcher interface {
	Control(s control.Settings) (Process, error)
	Balancer(s balancer.Settings) (Process, error)
	Agent(s agent.Settings) (Process, error)
}

// InProcess runs every role in this process. Its processes implement Kill as a
// graceful stop, so a crash differs from a stop only in what the fabric does.
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

// role is a balancer, an agent or a control VM.
type role interface {
	// Run runs until ctx is done and returns after a graceful stop.
	Run(ctx context.Context) error
}

// inProcess is a role that runs in this process.
type inProcess struct {
	name   string
	cancel context.CancelFunc
	ended  chan error
}

func start(name string, role role) *inProcess {
	ctx, cancel := context.WithCancel(context.Background())
	p := &inProcess{name: name, cancel: cancel, ended: make(chan error, 1)}
	go func() { p.ended <- role.Run(ctx) }()
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
