package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/check"
	"bergamotstall/internal/load"
	"bergamotstall/internal/operator"
	"bergamotstall/internal/standin/target"
)

// ShortestRun leaves each step of the timeline time to show.
const ShortestRun = 10 * time.Second

const (
	commandTime = 10 * time.Second
	// noticeTime is how long the fabric goes on sending to a dead balancer.
	noticeTime = 500 * time.Millisecond
	lookPause  = 50 * time.Millisecond
	readyTime  = 30 * time.Second
	readyPause = 50 * time.Millisecond
)

// step is one thing done to the system, at a fraction of the run.
type step struct {
	at   float64
	what string
	do   func(ctx context.Context, p *play) error
}

// timeline is what the demo does while callers are at work.
func timeline(l Layout) []step {
	first, second := l.Services[0], l.Services[1]
	drained := first.Name + "-2"
	replaced := first.Name + "-4"
	return []step{
		{0.08, "balancer-2 dies", func(_ context.Context, p *play) error { return p.killBalancer(1) }},
		{0.20, "balancer-2 joins", func(_ context.Context, p *play) error { return p.startBalancer(p.entries[1]) }},
		{0.28, "switch to " + Peak, func(ctx context.Context, p *play) error { return p.switchTo(ctx, Peak) }},
		{0.38, "drain " + drained, func(ctx context.Context, p *play) error { return p.drain(ctx, drained) }},
		{0.50, "undrain " + drained, func(ctx context.Context, p *play) error { return p.undrain(ctx, drained) }},
		{0.55, "planned stop of " + replaced, func(ctx context.Context, p *play) error { return p.stopHost(ctx, replaced) }},
		{0.66, replaced + " is back", func(ctx context.Context, p *play) error { return p.returnHost(ctx, replaced) }},
		{0.72, "switch to " + Maintenance, func(ctx context.Context, p *play) error { return p.switchTo(ctx, Maintenance) }},
		{0.82, "planned stop of " + second.Name + "-1", func(ctx context.Context, p *play) error { return p.stopHost(ctx, second.Name+"-1") }},
	}
}

// play is one run of the demo's callers.
type play struct {
	*fleet
	rec      *load.Recorder
	record   check.Record
	progress func(format string, args ...any)
}

func (p *play) host(name string) (*host, error) {
	for _, h := range p.hosts {
		if h.name == name {
			return h, nil
		}
	}
	return nil, errors.Errorf("demo: no host %q", name)
}

// killBalancer ends a balancer as a crash does: its packets are lost until the
// fabric notices.
func (p *play) killBalancer(i int) error {
	e := p.entries[i]
	p.fabric.Partition(p.ip(e))
	time.Sleep(noticeTime)
	p.fabric.RemoveBalancer(p.ip(e))
	p.fabric.Heal(p.ip(e))
	err := e.process.stop()
	e.process = nil
	return err
}

func (p *play) command(ctx context.Context, cmd catalogue.Command) (catalogue.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	cmd.ID = operator.NewCommandID()
	out, err := p.client.Command(ctx, cmd)
	if err != nil {
		return out, errors.Wrap(err, "demo: command")
	}
	return out, nil
}

// switchTo switches the preset and notes when every balancer has it in force.
func (p *play) switchTo(ctx context.Context, preset string) error {
	began := time.Now()
	out, err := p.command(ctx, catalogue.Command{Switch: &catalogue.SwitchPreset{Preset: preset}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	s := check.Switch{Preset: preset}
	if _, err := p.client.WaitInForce(ctx, out.Revision); err == nil {
		s.Took = time.Since(began)
		p.progress("  %s in force on every balancer after %v", preset, s.Took.Round(time.Millisecond))
	}
	p.record.Switches = append(p.record.Switches, s)
	return nil
}

func (p *play) drain(ctx context.Context, name string) error {
	if _, err := p.command(ctx, catalogue.Command{Drain: &catalogue.DrainHost{Host: name}}); err != nil {
		return err
	}
	p.record.Drains = append(p.record.Drains, check.Drain{Host: name, At: time.Now()})
	return nil
}

func (p *play) undrain(ctx context.Context, name string) error {
	for i := range p.record.Drains {
		if p.record.Drains[i].Host == name {
			p.record.Drains[i].Until = time.Now()
		}
	}
	_, err := p.command(ctx, catalogue.Command{Undrain: &catalogue.UndrainHost{Host: name}})
	return err
}

// stopHost is the planned stop of a target and its agent: the agent drains
// while the target ends its feeds, and both end when nothing is in progress.
func (p *play) stopHost(ctx context.Context, name string) error {
	h, err := p.host(name)
	if err != nil {
		return err
	}
	stopped := make(chan error, 1)
	go func() { stopped <- h.agent.stop() }()
	time.Sleep(noticeTime)
	h.target.EndFeeds()
	err = <-stopped
	h.agent = nil
	h.past = append(h.past, h.target.Runs()...)
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	err = errors.Join(err, h.target.Stop(ctx))
	h.target = nil
	return err
}

func (p *play) returnHost(ctx context.Context, name string) error {
	h, err := p.host(name)
	if err != nil {
		return err
	}
	if err := p.startHost(h); err != nil {
		return err
	}
	return p.awaitTargets(ctx, 1)
}

// awaitTargets waits until control has at least so many targets registered for
// the layout's hosts that run.
func (p *play) awaitTargets(ctx context.Context, least int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for {
		view, err := p.client.Read(ctx, operator.PartTargets)
		if err == nil && countActive(view) >= least {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "demo: targets not announced in time")
		}
		time.Sleep(readyPause)
	}
}

func countActive(v *operator.View) int {
	n := 0
	for _, t := range v.Targets {
		if t.State == "active" {
			n++
		}
	}
	return n
}

// look notes the revision in force at each balancer until ctx is done.
func (p *play) look(ctx context.Context) []check.InForce {
	var out []check.InForce
	tick := time.NewTicker(lookPause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return out
		case <-tick.C:
		}
		for _, e := range p.entries {
			revision := e.role.Metrics().Value("balancer_revision")
			if revision == 0 {
				continue // it has no table in force yet
			}
			out = append(out, check.InForce{Balancer: e.name, Revision: uint64(revision), At: time.Now()})
		}
	}
}

// ledgers gathers what every target ran.
func (p *play) ledgers() []check.Run {
	var out []check.Run
	for _, h := range p.hosts {
		runs := h.past
		if h.target != nil {
			runs = append(runs, h.target.Runs()...)
		}
		for _, r := range runs {
			out = append(out, runsOf(h, r)...)
		}
	}
	return out
}

func runsOf(h *host, r target.Run) []check.Run {
	one := check.Run{
		ID: r.RequestID, Submission: load.SubmissionOf(r.RequestID),
		Service: h.service.Name, Host: h.name, At: r.FirstSeen,
	}
	out := make([]check.Run, r.Runs)
	for i := range out {
		out[i] = one
	}
	return out
}

// specs are the callers' loads: downloads and submissions on every service, and
// a feed or more that stays open for most of the run.
func (p *play) specs(length time.Duration, seed uint64) []load.Spec {
	var out []load.Spec
	for i, s := range p.layout.Services {
		base := load.Spec{Service: s.Name, Address: s.Address(p.net), TLS: p.callers, Seed: seed + uint64(10*i)}
		work, feeds, large := base, base, base
		work.Flows, work.RequestsPerFlow, work.Pause = 24, 12, 20*time.Millisecond
		work.Mix = load.Mix{Download: 2, Submit: 1}
		work.DownloadBytes, work.Keyed = 64<<10, true
		feeds.Flows, feeds.RequestsPerFlow, feeds.Mix, feeds.Seed = 6, 1, load.Mix{Feed: 1}, base.Seed+1
		feeds.FeedFor = length * 3 / 4
		large.Flows, large.RequestsPerFlow, large.Mix, large.Seed = 2, 2, load.Mix{Download: 1}, base.Seed+2
		large.DownloadBytes, large.Timeout = 16<<20, time.Minute
		out = append(out, work, feeds, large)
	}
	return out
}

func describe(at time.Duration, what string) string {
	return fmt.Sprintf("%6.1fs  %s", at.Seconds(), what)
}
