package experiment

import (
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/retry"
)

// Guards against a placement policy that is worse than the simpler ones: it must
// distribute work at least as evenly, without a higher p99 or more refusals.
func TestCurrentPolicyBeatsBaselines(t *testing.T) {
	for _, name := range []string{"burst", "few heavy callers", "one slow target", "data centre drained"} {
		t.Run(name, func(t *testing.T) {
			current := runSeeds(sizes[2], scenarioByName(name), currentPolicy(), defaultTuning, 1)
			for _, p := range policies[:7] {
				baseline := runSeeds(sizes[2], scenarioByName(name), p, defaultTuning, 1)
				if current.mean.maxToMean > baseline.mean.maxToMean+0.05 {
					t.Errorf("work max/mean %.2f, %s has %.2f", current.mean.maxToMean, p.name, baseline.mean.maxToMean)
				}
				if current.mean.p99 > 1.2*baseline.mean.p99 {
					t.Errorf("p99 %.0f ms, %s has %.0f ms", current.mean.p99, p.name, baseline.mean.p99)
				}
				if current.mean.refusedPercent > baseline.mean.refusedPercent+0.1 {
					t.Errorf("refused %.2f%%, %s has %.2f%%", current.mean.refusedPercent, p.name, baseline.mean.refusedPercent)
				}
			}
		})
	}
}

// Guards against slots that are occupied by streams. If feeds and downloads keep their
// slots until the end of the answer, the host refuses most short requests while its
// cores are idle.
func TestStreamsReleaseSlots(t *testing.T) {
	is := is.New(t)
	untilEnd := runSlots(4, slotRule{"", forever, forever}, 1)
	current := runSlots(4, currentSlotRule, 1)
	is.True(untilEnd.shortRefused > untilEnd.shortRequests/2)
	is.True(current.shortRefused < current.shortRequests/4)
	is.True(current.coreTime > 2*untilEnd.coreTime)
}

// Guards against a default retry budget that is too small to hide a failed target or so
// large that retries increase an overload.
func TestDefaultRetryBudget(t *testing.T) {
	is := is.New(t)
	failed, _ := simulateRetries(failureCases[0], retry.DefaultPercent)
	is.True(failed < 1)
	_, load := simulateRetries(failureCases[2], retry.DefaultPercent)
	is.True(load < 1.33*1.25)
}
