package integration

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/check"
	"bergamotstall/internal/scenario"
)

// switchTwice are two switches with time between them.
func switchTwice() []scenario.Step {
	return []scenario.Step{
		{At: 0.2, What: "switch to peak", Do: func(ctx context.Context, p *scenario.Play) error { return p.SwitchTo(ctx, scenario.Peak) }},
		{At: 0.6, What: "switch to ordinary", Do: func(ctx context.Context, p *scenario.Play) error { return p.SwitchTo(ctx, scenario.Ordinary) }},
	}
}

// Every link between control and its subscribers carries 5 KB a second and takes
// 50 ms each way. The operator's switches are in force within 9 s all the same.
func TestSwitchOverLinksOfFiveKilobytes(t *testing.T) {
	is := is.New(t)
	r := newRig(t, scenario.Layouts()[1], true)
	for i := range r.Controls {
		is.NoErr(poison(r.links.subscribers(i), "bandwidth", `{"rate":5}`))
		is.NoErr(poison(r.links.subscribers(i), "latency", `{"latency":50}`))
	}
	result := r.play(t, scenario.Scenario{Name: "slow-links", Steps: switchTwice(), Limits: check.DefaultLimits()})
	is.Equal(len(result.Record.Switches), 2)
	r.close(t)
}

// The subscribers' connections to one control VM go silent for good, without an
// end: something between has lost track of them, and new ones are accepted and
// go silent too. Subscribers find out by missing heartbeats and go elsewhere, so
// that the operator's switches are in force within 9 s.
func TestSubscribersLeaveASilentControlVM(t *testing.T) {
	is := is.New(t)
	r := newRig(t, scenario.Layouts()[0], true)
	silent := 0 // the first to be up, where most subscribers are
	steps := append([]scenario.Step{{At: 0.05, What: "connections to " + r.Controls[silent].Name + " go silent", Do: func(context.Context, *scenario.Play) error {
		return poison(r.links.subscribers(silent), "timeout", `{"timeout":0}`)
	}}}, switchTwice()...)
	result := r.play(t, scenario.Scenario{Name: "silent-links", Steps: steps})
	is.Equal(len(result.Record.Switches), 2)
	r.close(t)
}
