package scenario

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/loadgen"
)

// Guards against a run on a busy machine that ends before its steps are done and says nothing.
func TestRunLastsUntilItsStepsAreDone(t *testing.T) {
	is := is.New(t)
	p := &Play{Fleet: &Fleet{}, progress: t.Logf}
	var done []string
	step := func(at float64, name string, takes time.Duration) Step {
		return Step{At: at, What: name, Do: func(context.Context, *Play) error {
			time.Sleep(takes)
			done = append(done, name)
			return nil
		}}
	}
	const length = 20 * time.Millisecond
	_, err := p.Run(t.Context(), Scenario{
		Steps: []Step{step(0.1, "slow", 3*length), step(0.5, "second", 0)},
		Loads: func(*Play, time.Duration) []loadgen.Spec { return nil },
	}, length)
	is.NoErr(err)
	is.Equal(done, []string{"slow", "second"})
}

// Guards against a run that is cut short and looks whole.
func TestRunCutShortNamesTheStepLeftOut(t *testing.T) {
	is := is.New(t)
	p := &Play{Fleet: &Fleet{}, progress: t.Logf}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := p.Run(ctx, Scenario{
		Steps: []Step{{At: 0.9, What: "never", Do: func(context.Context, *Play) error { return nil }}},
		Loads: func(*Play, time.Duration) []loadgen.Spec { return nil },
	}, time.Hour)
	is.True(err != nil)
}
