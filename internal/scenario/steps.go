package scenario

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/check"
	"bergamotstall/internal/operator"
	"bergamotstall/internal/table"
	"bergamotstall/internal/wait"
)

const (
	commandTime = 15 * time.Second
	// NoticeTime is how long the fabric goes on sending to a dead balancer.
	NoticeTime = 500 * time.Millisecond
	readyTime  = 30 * time.Second
	pollPause  = 50 * time.Millisecond
)

// ErrHost is returned for a host that the layout doesn't have.
var ErrHost = errors.New("scenario: no such host")

// Host returns the named host.
func (f *Fleet) Host(name string) (*Host, error) {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h, nil
		}
	}
	return nil, errors.Wrapf(ErrHost, "%q", name)
}

// KillBalancer ends a balancer as a crash does: its packets are lost until the
// fabric notices.
func (p *Play) KillBalancer(i int) error {
	e := p.Entries[i]
	p.Fabric.Partition(p.ip(e))
	err := e.take().Kill()
	time.Sleep(NoticeTime)
	p.Fabric.RemoveBalancer(p.ip(e))
	p.Fabric.Heal(p.ip(e))
	return err
}

// StopBalancer is a planned stop: the fabric is told first.
func (p *Play) StopBalancer(i int) error {
	e := p.Entries[i]
	p.Fabric.RemoveBalancer(p.ip(e))
	return e.take().Stop()
}

// JoinBalancer starts a balancer and waits until it has a table in force.
func (p *Play) JoinBalancer(ctx context.Context, i int) error {
	e := p.Entries[i]
	if err := p.StartBalancer(e); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for p.Counter(e.varsAddress(p.Fleet), "balancer_revision") == 0 {
		if !wait.For(ctx, pollPause) {
			return errors.Wrapf(ctx.Err(), "scenario: %s has no table", e.Name)
		}
	}
	return nil
}

// Command runs an operator's command with a fresh identity.
func (p *Play) Command(ctx context.Context, cmd catalogue.Command) (catalogue.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	cmd.ID = operator.NewCommandID()
	out, err := p.Client.Command(ctx, cmd)
	if err != nil {
		return out, errors.Wrap(err, "scenario: command")
	}
	return out, nil
}

// SwitchTo switches the preset and notes when every balancer that runs has it
// in force, by the balancers' own counters.
func (p *Play) SwitchTo(ctx context.Context, preset string) error {
	began := time.Now()
	out, err := p.Command(ctx, catalogue.Command{Switch: &catalogue.SwitchPreset{Preset: preset}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	s := check.Switch{Preset: preset}
	for !p.inForce(out.Revision) && wait.For(ctx, pollPause) {
	}
	if ctx.Err() == nil {
		s.Took = time.Since(began)
		p.progress("  %s in force on every balancer after %v", preset, s.Took.Round(time.Millisecond))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Switches = append(p.record.Switches, s)
	return nil
}

// inForce tells whether every balancer that runs has the revision or a later.
func (p *Play) inForce(revision table.Revision) bool {
	for _, e := range p.Entries {
		if e.running() && p.Counter(e.varsAddress(p.Fleet), "balancer_revision") < int64(revision) {
			return false
		}
	}
	return true
}

// Drain takes a host out of new work.
func (p *Play) Drain(ctx context.Context, name string) error {
	if _, err := p.Command(ctx, catalogue.Command{Drain: &catalogue.DrainHost{Host: name}}); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Drains = append(p.record.Drains, check.Drain{Host: name, At: time.Now()})
	return nil
}

// Undrain gives a host new work again.
func (p *Play) Undrain(ctx context.Context, name string) error {
	p.mu.Lock()
	for i := range p.record.Drains {
		if d := &p.record.Drains[i]; d.Host == name && d.Until.IsZero() {
			d.Until = time.Now()
		}
	}
	p.mu.Unlock()
	_, err := p.Command(ctx, catalogue.Command{Undrain: &catalogue.UndrainHost{Host: name}})
	return err
}

// StopHost is the planned stop of a target and its agent: the agent drains, the
// target ends its feeds, and both end when nothing is in progress.
func (p *Play) StopHost(ctx context.Context, name string) error {
	h, err := p.Host(name)
	if err != nil {
		return err
	}
	stopped := make(chan error, 1)
	go func() { stopped <- h.Agent.Stop() }()
	time.Sleep(NoticeTime)
	h.Target.EndFeeds()
	err = <-stopped
	h.Agent = nil
	return errors.Join(err, p.stopTarget(ctx, h))
}

func (p *Play) stopTarget(ctx context.Context, h *Host) error {
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	err := h.Target.Stop(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	h.past = append(h.past, h.Target.Runs()...)
	h.Target = nil
	return err
}

// KillHost ends a target and its agent as the loss of their VM does.
func (p *Play) KillHost(name string) error {
	h, err := p.Host(name)
	if err != nil {
		return err
	}
	err = h.Agent.Kill()
	h.Agent = nil
	h.Target.Kill()
	p.mu.Lock()
	defer p.mu.Unlock()
	h.past = append(h.past, h.Target.Runs()...)
	h.Target = nil
	return err
}

// ReturnHost starts a stopped host again and waits until control has it.
func (p *Play) ReturnHost(ctx context.Context, name string) error {
	h, err := p.Host(name)
	if err != nil {
		return err
	}
	if err := p.StartHost(h); err != nil {
		return err
	}
	return p.AwaitTargets(ctx)
}

// AwaitControls waits until every control VM that runs is a voter: a fleet that
// has just started bears no loss of a control VM before.
func (p *Play) AwaitControls(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for {
		voters := 0
		for _, vm := range p.Client.Fleet(ctx).VMs {
			if vm.Local != nil {
				voters = max(voters, countVoters(vm.Local.Replicas))
			}
		}
		if voters >= len(p.Controls) {
			return nil
		}
		if !wait.For(ctx, pollPause) {
			return errors.Wrapf(ctx.Err(), "scenario: %d voters", voters)
		}
	}
}

func countVoters(all []operator.Replica) int {
	n := 0
	for _, r := range all {
		if r.Role == "voter" {
			n++
		}
	}
	return n
}

// AwaitTargets waits until control has an active target for each host that
// runs.
func (p *Play) AwaitTargets(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for {
		view, err := p.Client.Read(ctx, operator.PartTargets)
		if err == nil && p.allActive(view) {
			return nil
		}
		if !wait.For(ctx, pollPause) {
			return errors.Wrap(ctx.Err(), "scenario: targets not announced in time")
		}
	}
}

func (p *Play) allActive(v *operator.View) bool {
	active := map[string]bool{}
	for _, t := range v.Targets {
		active[t.Host] = active[t.Host] || t.State == "active"
	}
	for _, h := range p.Hosts {
		if h.Agent != nil && !active[h.Name] && !p.drained(h.Name) {
			return false
		}
	}
	return true
}

func (p *Play) drained(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.record.Drains {
		if d.Host == name && d.Until.IsZero() {
			return true
		}
	}
	return false
}
