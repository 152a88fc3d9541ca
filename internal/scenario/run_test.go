package scenario

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/loadgen"
)

// Guards against a run that ends before its steps are done, as on a busy machine, and
// reports no error.
func TestRunWaitsForSlowSteps(t *testing.T) {
	is := is.New(t)
	r := &Runner{Fleet: &Fleet{}, progress: t.Logf}
	var done []string
	step := func(at float64, name string, takes time.Duration) Step {
		return Step{At: at, Name: name, Do: func(context.Context, *Runner) error {
			time.Sleep(takes)
			done = append(done, name)
			return nil
		}}
	}
	const length = 20 * time.Millisecond
	_, err := r.Run(t.Context(), Scenario{
		Steps: []Step{step(0.1, "slow", 3*length), step(0.5, "second", 0)},
		Loads: func(*Runner, time.Duration) []loadgen.Spec { return nil },
	}, length)
	is.NoErr(err)
	is.Equal(done, []string{"slow", "second"})
}

// Guards against a cancelled run that reports success although a step was skipped.
func TestCancelledRunReportsSkippedStep(t *testing.T) {
	is := is.New(t)
	r := &Runner{Fleet: &Fleet{}, progress: t.Logf}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := r.Run(ctx, Scenario{
		Steps: []Step{{At: 0.9, Name: "never", Do: func(context.Context, *Runner) error { return nil }}},
		Loads: func(*Runner, time.Duration) []loadgen.Spec { return nil },
	}, time.Hour)
	is.True(err != nil)
}
