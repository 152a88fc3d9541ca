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
	commandTimeout = 15 * time.Second
	// FailureDetectionTime is how long the fabric keeps sending to a failed balancer.
	FailureDetectionTime = 500 * time.Millisecond
	readyTimeout         = 30 * time.Second
	pollInterval         = 50 * time.Millisecond
)

// ErrUnknownHost is returned for a host that the layout doesn't have.
var ErrUnknownHost = errors.New("scenario: unknown host")

// Host returns the named host.
func (f *Fleet) Host(name string) (*Host, error) {
	for _, h := range f.Hosts {
		if h.Name == name {
			return h, nil
		}
	}
	return nil, errors.Wrapf(ErrUnknownHost, "%q", name)
}

// KillBalancer simulates the crash of a balancer: packets to it are lost for
// FailureDetectionTime, then the fabric removes it.
func (r *Runner) KillBalancer(i int) error {
	b := r.Balancers[i]
	r.Fabric.Partition(r.balancerIP(b))
	err := b.takeProcess().Kill()
	time.Sleep(FailureDetectionTime)
	r.Fabric.RemoveBalancer(r.balancerIP(b))
	r.Fabric.Heal(r.balancerIP(b))
	return err
}

// StopBalancer removes a balancer from the fabric, then stops it gracefully.
func (r *Runner) StopBalancer(i int) error {
	b := r.Balancers[i]
	r.Fabric.RemoveBalancer(r.balancerIP(b))
	return b.takeProcess().Stop()
}

// StartBalancerAndWait starts a balancer and waits until it has a table in force.
func (r *Runner) StartBalancerAndWait(ctx context.Context, i int) error {
	b := r.Balancers[i]
	if err := r.StartBalancer(b); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for r.Counter(b.metricsAddress(r.Fleet), "balancer_revision") == 0 {
		if !wait.For(ctx, pollInterval) {
			return errors.Wrapf(ctx.Err(), "scenario: %s has no table", b.Name)
		}
	}
	return nil
}

// Command runs an operator's command under a new command ID.
func (r *Runner) Command(ctx context.Context, cmd catalogue.Command) (catalogue.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	cmd.ID = operator.NewCommandID()
	out, err := r.Client.Command(ctx, cmd)
	if err != nil {
		return out, errors.Wrap(err, "scenario: command")
	}
	return out, nil
}

// SwitchTo switches the preset and records how long it takes until it is in force on
// every running balancer, according to the balancers' own counters.
func (r *Runner) SwitchTo(ctx context.Context, preset string) error {
	began := time.Now()
	out, err := r.Command(ctx, catalogue.Command{Switch: &catalogue.SwitchPreset{Preset: preset}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	s := check.Switch{Preset: preset}
	for !r.inForce(out.Revision) && wait.For(ctx, pollInterval) {
	}
	if ctx.Err() == nil {
		s.Took = time.Since(began)
		r.progress("  %s in force on every balancer after %v", preset, s.Took.Round(time.Millisecond))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Switches = append(r.record.Switches, s)
	return nil
}

// inForce reports whether every running balancer has this or a later revision.
func (r *Runner) inForce(revision table.Revision) bool {
	for _, b := range r.Balancers {
		if b.running() && r.Counter(b.metricsAddress(r.Fleet), "balancer_revision") < int64(revision) {
			return false
		}
	}
	return true
}

// Drain excludes a host from new work.
func (r *Runner) Drain(ctx context.Context, name string) error {
	if _, err := r.Command(ctx, catalogue.Command{Drain: &catalogue.DrainHost{Host: name}}); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Drains = append(r.record.Drains, check.Drain{Host: name, At: time.Now()})
	return nil
}

// Undrain ends a drain; the host gets new work again.
func (r *Runner) Undrain(ctx context.Context, name string) error {
	r.mu.Lock()
	for i := range r.record.Drains {
		if d := &r.record.Drains[i]; d.Host == name && d.Until.IsZero() {
			d.Until = time.Now()
		}
	}
	r.mu.Unlock()
	_, err := r.Command(ctx, catalogue.Command{Undrain: &catalogue.UndrainHost{Host: name}})
	return err
}

// StopHost stops a target and its agent as planned: the agent drains, the target ends
// its feeds, and both exit when no request is in progress.
func (r *Runner) StopHost(ctx context.Context, name string) error {
	h, err := r.Host(name)
	if err != nil {
		return err
	}
	stopped := make(chan error, 1)
	go func() { stopped <- h.Agent.Stop() }()
	time.Sleep(FailureDetectionTime)
	h.Target.EndFeeds()
	err = <-stopped
	h.Agent = nil
	return errors.Join(err, r.stopTarget(ctx, h))
}

func (r *Runner) stopTarget(ctx context.Context, h *Host) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	err := h.Target.Stop(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	h.pastRuns = append(h.pastRuns, h.Target.LedgerEntries()...)
	h.Target = nil
	return err
}

// KillHost ends a target and its agent at once, like the loss of their VM.
func (r *Runner) KillHost(name string) error {
	h, err := r.Host(name)
	if err != nil {
		return err
	}
	err = h.Agent.Kill()
	h.Agent = nil
	h.Target.Kill()
	r.mu.Lock()
	defer r.mu.Unlock()
	h.pastRuns = append(h.pastRuns, h.Target.LedgerEntries()...)
	h.Target = nil
	return err
}

// RestartHost starts a stopped host again and waits until its target is active.
func (r *Runner) RestartHost(ctx context.Context, name string) error {
	h, err := r.Host(name)
	if err != nil {
		return err
	}
	if err := r.StartHost(h); err != nil {
		return err
	}
	return r.AwaitTargets(ctx)
}

// AwaitControls waits until every control VM is a voter. Until then the fleet doesn't
// tolerate the loss of a control VM.
func (r *Runner) AwaitControls(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		voters := 0
		for _, vm := range r.Client.Fleet(ctx).VMs {
			if vm.Local != nil {
				voters = max(voters, countVoters(vm.Local.Replicas))
			}
		}
		if voters >= len(r.Controls) {
			return nil
		}
		if !wait.For(ctx, pollInterval) {
			return errors.Wrapf(ctx.Err(), "scenario: only %d control VMs vote", voters)
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

// AwaitTargets waits until control lists an active target for each running host that
// isn't drained.
func (r *Runner) AwaitTargets(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		view, err := r.Client.Read(ctx, operator.PartTargets)
		if err == nil && r.allActive(view) {
			return nil
		}
		if !wait.For(ctx, pollInterval) {
			return errors.Wrap(ctx.Err(), "scenario: not all targets became active in time")
		}
	}
}

func (r *Runner) allActive(v *operator.View) bool {
	active := map[string]bool{}
	for _, t := range v.Targets {
		active[t.Host] = active[t.Host] || t.State == "active"
	}
	for _, h := range r.Hosts {
		if h.Agent != nil && !active[h.Name] && !r.drained(h.Name) {
			return false
		}
	}
	return true
}

func (r *Runner) drained(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.record.Drains {
		if d.Host == name && d.Until.IsZero() {
			return true
		}
	}
	return false
}
