package experiment

import (
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/retry"
)

// The choice must hold: against the simpler policies the kept one spreads work
// better, with no worse p99 or refusals.
func TestKeptPolicyBeatsTheBaselines(t *testing.T) {
	for _, name := range []string{"burst", "few heavy callers", "one slow target", "data centre drained"} {
		t.Run(name, func(t *testing.T) {
			kept := measure(sizes[2], named(name), product(), standard, 1)
			for _, p := range policies[:7] {
				base := measure(sizes[2], named(name), p, standard, 1)
				if kept.mean.maxMean > base.mean.maxMean+0.05 {
					t.Errorf("work max/mean %.2f, %s has %.2f", kept.mean.maxMean, p.name, base.mean.maxMean)
				}
				if kept.mean.p99 > 1.2*base.mean.p99 {
					t.Errorf("p99 %.0f ms, %s has %.0f ms", kept.mean.p99, p.name, base.mean.p99)
				}
				if kept.mean.refused > base.mean.refused+0.1 {
					t.Errorf("refused %.2f%%, %s has %.2f%%", kept.mean.refused, p.name, base.mean.refused)
				}
			}
		})
	}
}

// Long among short: kept to the end of the answer, slots go to feeds and
// downloads until the host refuses nearly everything, with its cores idle.
func TestSlotsAreNotHeldByStreams(t *testing.T) {
	is := is.New(t)
	toTheEnd := runSlots(4, slotRule{"", never, never}, 1)
	kept := runSlots(4, keptRule, 1)
	is.True(toTheEnd.refused > toTheEnd.shorts/2)
	is.True(kept.refused < kept.shorts/4)
	is.True(kept.busy > 2*toTheEnd.busy)
}

// The default must hide a dead target and must not feed an overload.
func TestDefaultBudget(t *testing.T) {
	is := is.New(t)
	failed, _ := play(troubles[0], retry.DefaultPercent)
	is.True(failed < 1)
	_, load := play(troubles[2], retry.DefaultPercent)
	is.True(load < 1.33*1.25)
}
