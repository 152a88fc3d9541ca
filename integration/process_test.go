package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"bergamotstall/agent"
	"bergamotstall/balancer"
	"bergamotstall/control"
	"bergamotstall/internal/scenario"
)

const (
	// stopTimeout bounds a graceful stop.
	stopTimeout = 40 * time.Second
	// agentStopTimeout bounds that of an agent: it is longer than the agent's own stop grace.
	agentStopTimeout = scenario.AgentStopGrace + 20*time.Second
)

// processes implements scenario.Launcher: it starts the built binary with a settings
// file for each role.
type processes struct {
	t      *testing.T
	folder string

	mu  sync.Mutex
	all []*process
}

func newProcesses(t *testing.T, folder string) *processes {
	l := &processes{t: t, folder: folder}
	t.Cleanup(l.killAll)
	return l
}

// killAll kills the processes that are still running, as after a failed test.
func (l *processes) killAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.all {
		_ = p.Kill()
	}
}

func (l *processes) Control(s control.Settings) (scenario.Process, error) {
	return l.start("control", s.Name, s, stopTimeout)
}

func (l *processes) Balancer(s balancer.Settings) (scenario.Process, error) {
	return l.start("balancer", s.Name, s, stopTimeout)
}

func (l *processes) Agent(s agent.Settings) (scenario.Process, error) {
	return l.start("agent", s.Host, s, agentStopTimeout)
}

func (l *processes) start(role, name string, settings any, stopTimeout time.Duration) (scenario.Process, error) {
	data, err := yaml.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	file := filepath.Join(l.folder, role+"-"+name+".yaml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	log, err := os.OpenFile(filepath.Join(l.folder, role+"-"+name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer log.Close()
	cmd := exec.Command(serverBinary, role, "-settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process if the test process is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	p := &process{name: role + " " + name, cmd: cmd, ended: make(chan struct{}), stopTimeout: stopTimeout}
	go func() {
		p.err = cmd.Wait()
		close(p.ended)
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, p)
	return p, nil
}

// process is a role that runs as a separate process.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
	// stopTimeout bounds the process's graceful stop.
	stopTimeout time.Duration
}

// Stop sends SIGTERM and waits for a clean exit.
func (p *process) Stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrap(err, p.name)
	}
	select {
	case <-p.ended:
	case <-time.After(p.stopTimeout):
		return errors.Errorf("%s: still running %v after SIGTERM", p.name, p.stopTimeout)
	}
	if p.err != nil {
		return errors.Wrap(p.err, p.name)
	}
	return nil
}

// Kill sends SIGKILL and waits. It isn't an error if the process has already ended.
func (p *process) Kill() error {
	_ = p.cmd.Process.Kill()
	<-p.ended
	return nil
}

// pause and resume stop and continue the process, like a paused VM.
func (p *process) pause() error  { return p.cmd.Process.Signal(syscall.SIGSTOP) }
func (p *process) resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }
