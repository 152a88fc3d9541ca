package integration

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/check"
	"bergamotstall/internal/scenario"
	"bergamotstall/internal/standin/fabric"
)

// Everything at once, and then again: packets are lost, doubled and late, a
// balancer and a control VM die, a host with its target dies, another is
// drained, and the preset is switched. Flows of the dead host break; nothing
// runs twice, what was refused as not run wasn't, whole answers stay whole, and
// the switches are in force within seconds.
func TestEverythingAtOnceTwice(t *testing.T) {
	eachLayout(t, func(t *testing.T, l scenario.Layout) {
		r := newRig(t, l, false)
		limits := check.DefaultLimits()
		limits.Unplanned = true
		steps := append(together(r, 0.1, 0, scenario.Peak), together(r, 0.5, 1, scenario.Maintenance)...)
		r.play(t, scenario.Scenario{Name: "everything-twice", Limits: limits, Steps: steps})
		r.close(t)
	})
}

// together is one round: all faults within a second, then repair.
func together(r *rig, at float64, round int, preset string) []scenario.Step {
	victim, drained := r.Hosts[1+round], r.Hosts[4+round]
	vm := r.Controls[round]
	faults := func(context.Context, *scenario.Play) error {
		r.Fabric.SetFaults(fabric.Faults{
			Delay: r.Layout.Delay, Hold: 5 * time.Millisecond, Loss: 0.01, Duplicate: 0.01, Reorder: 0.02,
		})
		return nil
	}
	strike := func(ctx context.Context, p *scenario.Play) error {
		done := make(chan error, 4)
		go func() { done <- p.KillBalancer(round) }()
		go func() { done <- p.KillHost(victim.Name) }()
		go func() { done <- vm.Process.Kill() }()
		go func() { done <- p.Drain(ctx, drained.Name) }()
		var all error
		for range cap(done) {
			all = errors.Join(all, <-done)
		}
		vm.Process = nil
		return all
	}
	repair := func(ctx context.Context, p *scenario.Play) error {
		r.Fabric.SetFaults(fabric.Faults{Delay: r.Layout.Delay})
		return errors.Join(p.StartControl(vm), p.JoinBalancer(ctx, round), p.ReturnHost(ctx, victim.Name), p.Undrain(ctx, drained.Name))
	}
	return []scenario.Step{
		{At: at, What: "packets lost, doubled and late", Do: faults},
		{At: at + 0.01, What: "a balancer, a control VM and " + victim.Name + " die, " + drained.Name + " is drained", Do: strike},
		{At: at + 0.02, What: "switch to " + preset, Do: func(ctx context.Context, p *scenario.Play) error { return p.SwitchTo(ctx, preset) }},
		{At: at + 0.25, What: "repair", Do: repair},
	}
}
