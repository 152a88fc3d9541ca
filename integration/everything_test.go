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

// Guards against faults that only show together, in two rounds: packets are lost,
// duplicated and reordered, a balancer, a control VM and a target's host crash, another
// host is drained, and the preset is switched. Flows of the crashed host may break; no
// submission may run twice, no request reported as not run may have run, answers must
// be complete, and switches must be in force within seconds.
func TestCombinedFaultsTwice(t *testing.T) {
	forEachLayout(t, func(t *testing.T, l scenario.Layout) {
		f := newTestFleet(t, l, false)
		limits := check.DefaultLimits()
		limits.Unplanned = true
		steps := append(faultRound(f, 0.1, 0, scenario.PresetPeak), faultRound(f, 0.5, 1, scenario.PresetMaintenance)...)
		f.runScenario(t, scenario.Scenario{Name: "everything-twice", Limits: limits, Steps: steps})
		f.close(t)
	})
}

// faultRound returns the steps of one round: all faults in quick succession, then the
// repair.
func faultRound(f *testFleet, at float64, round int, preset string) []scenario.Step {
	victim, drained := f.Hosts[1+round], f.Hosts[4+round]
	vm := f.Controls[round]
	faults := func(context.Context, *scenario.Runner) error {
		f.Fabric.SetFaults(fabric.Faults{
			Delay: f.Layout.Delay, ReorderDelay: 5 * time.Millisecond, Loss: 0.01, Duplicate: 0.01, Reorder: 0.02,
		})
		return nil
	}
	failures := func(ctx context.Context, run *scenario.Runner) error {
		done := make(chan error, 4)
		go func() { done <- run.KillBalancer(round) }()
		go func() { done <- run.KillHost(victim.Name) }()
		go func() { done <- vm.Process.Kill() }()
		go func() { done <- run.Drain(ctx, drained.Name) }()
		var all error
		for range cap(done) {
			all = errors.Join(all, <-done)
		}
		vm.Process = nil
		return all
	}
	repair := func(ctx context.Context, run *scenario.Runner) error {
		f.Fabric.SetFaults(fabric.Faults{Delay: f.Layout.Delay})
		return errors.Join(run.StartControl(vm), run.StartBalancerAndWait(ctx, round), run.RestartHost(ctx, victim.Name), run.Undrain(ctx, drained.Name))
	}
	return []scenario.Step{
		{At: at, Name: "packets lost, duplicated and reordered", Do: faults},
		{At: at + 0.01, Name: "a balancer, a control VM and " + victim.Name + " crash, " + drained.Name + " is drained", Do: failures},
		{At: at + 0.02, Name: "switch to " + preset, Do: func(ctx context.Context, run *scenario.Runner) error { return run.SwitchTo(ctx, preset) }},
		{At: at + 0.25, Name: "repair", Do: repair},
	}
}
