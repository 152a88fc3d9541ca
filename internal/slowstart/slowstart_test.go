package slowstart

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/table"
)

func TestColdTargetShareGrows(t *testing.T) {
	is := is.New(t)
	x := table.Target{State: table.Active, Weight: 100, JoinedAtMS: 50_000, ChangedAtMS: 50_000}
	is.Equal(Share(x, 50_000), 10.0)
	is.True(math.Abs(Share(x, 50_000+SlowStartMS/2)-55) < 1e-9) // floating-point rounding
	is.Equal(Share(x, 50_000+SlowStartMS), 100.0)
	is.Equal(Share(x, 40_000), 10.0) // the clock is behind the leader's: cold, not negative
	last := 0.0
	for now := int64(49_000); now < 65_000; now += 100 {
		is.True(Share(x, now) >= last) // never decreases
		last = Share(x, now)
	}
}

// Guards against shares that jump when a preset is switched at peak load: of two targets
// one gains and one loses all its weight. Shares move linearly, and after the shift the
// weights are exact.
func TestWeightChangeIsGradual(t *testing.T) {
	is := is.New(t)
	gain := table.Target{State: table.Active, PreviousWeight: 50, Weight: 100, ChangedAtMS: 90_000}
	lose := table.Target{State: table.Active, PreviousWeight: 100, Weight: 0, ChangedAtMS: 90_000}
	is.Equal(Share(gain, 90_000), 50.0)
	is.Equal(Share(gain, 90_000+ShiftMS/2), 75.0)
	is.Equal(Share(lose, 90_000+ShiftMS/2), 50.0)
	is.Equal(Share(lose, 90_000+ShiftMS), 0.0)
}

func TestDrainingTargetShareIsZero(t *testing.T) {
	is := is.New(t)
	for _, s := range []table.State{table.Draining, table.Retired} {
		is.Equal(Share(table.Target{State: s, PreviousWeight: 100, Weight: 100}, 1), 0.0)
	}
}
