package integration

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/check"
	"bergamotstall/internal/scenario"
)

// twoSwitches returns two preset switches with time between them.
func twoSwitches() []scenario.Step {
	return []scenario.Step{
		{At: 0.2, Name: "switch to peak", Do: func(ctx context.Context, run *scenario.Runner) error { return run.SwitchTo(ctx, scenario.PresetPeak) }},
		{At: 0.6, Name: "switch to ordinary", Do: func(ctx context.Context, run *scenario.Runner) error {
			return run.SwitchTo(ctx, scenario.PresetOrdinary)
		}},
	}
}

// Guards against switches that take too long over slow links. Every connection between
// control and its subscribers is limited to 5 KB/s with 50 ms of latency each way; a
// switch must be in force within 9 s.
func TestSwitchOverSlowLinks(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, scenario.Layouts()[1], true)
	for i := range f.Controls {
		is.NoErr(addToxic(f.links.subscriberProxy(i), "bandwidth", `{"rate":5}`))
		is.NoErr(addToxic(f.links.subscriberProxy(i), "latency", `{"latency":50}`))
	}
	result := f.runScenario(t, scenario.Scenario{Name: "slow-links", Steps: twoSwitches(), Limits: check.DefaultLimits()})
	is.Equal(len(result.Record.Switches), 2)
	f.close(t)
}

// Guards against subscribers that stay with a silent control VM. Connections to it carry
// no data but aren't closed, as when a middlebox loses their state; new connections are
// accepted and stay silent too. Subscribers must detect missing heartbeats and use
// another control VM, so that a switch is in force within 9 s.
func TestSubscribersLeaveSilentControlVM(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, scenario.Layouts()[0], true)
	silent := 0 // the first control VM to start, which has most subscribers
	steps := append([]scenario.Step{{At: 0.05, Name: "connections to " + f.Controls[silent].Name + " go silent", Do: func(context.Context, *scenario.Runner) error {
		return addToxic(f.links.subscriberProxy(silent), "timeout", `{"timeout":0}`)
	}}}, twoSwitches()...)
	result := f.runScenario(t, scenario.Scenario{Name: "silent-links", Steps: steps})
	is.Equal(len(result.Record.Switches), 2)
	f.close(t)
}
