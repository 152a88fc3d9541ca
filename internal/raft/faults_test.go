package raft

import (
	"flag"
	"testing"
)

var huntSeeds = flag.Int("explore.hunt", 1500, "seeds to try for each broken variant")

// variant is a replica, or its surroundings, with one safeguard off.
type variant struct {
	name   string
	voters int
	// seed is the first that is known to catch it; others are tried when a
	// change of the core has moved it.
	seed  uint64
	core  faults
	world worldFaults
}

var variants = []variant{
	{name: "acknowledged before sync", voters: 3, seed: 826, core: faults{ackBeforeSync: true}},
	{name: "acknowledged before sync, nobody asked after a restart", voters: 3, seed: 613, core: faults{ackBeforeSync: true, noProbation: true}},
	{name: "two votes in a term", voters: 3, seed: 98, core: faults{voteTwice: true}},
	{name: "vote for an older log", voters: 3, core: faults{voteBehind: true}},
	{name: "conflicting entries kept", voters: 3, seed: 1, core: faults{keepConflict: true}},
	{name: "two membership changes at once", voters: 5, seed: 193, core: faults{openChanges: true}, world: worldFaults{hasty: true}},
	{name: "read without a heartbeat round", voters: 3, seed: 49, core: faults{readUnchecked: true}},
	{name: "contact claimed without answers", voters: 3, seed: 13, core: faults{leadForever: true}},
	{name: "learner counted as voter", voters: 3, seed: 1, core: faults{learnersCount: true}},
	{name: "empty disk votes under its old identity", voters: 3, seed: 4, core: faults{emptyDiskVotes: true}, world: worldFaults{wipeKeepsID: true}},
	{name: "snapshot without command outcomes", voters: 3, seed: 1, world: worldFaults{dropOutcomes: true}},
}

// Each safeguard is switched off in turn; the explorer must notice. An explorer
// that passes a broken variant would pass a broken core.
func TestExplorerCatchesBrokenVariants(t *testing.T) {
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			steps := 0
			for i := range *huntSeeds + 1 {
				seed := uint64(i)
				if i == 0 {
					seed = v.seed
				}
				failure, w := explore(seed, v.voters, *exploreSteps, v.core, v.world)
				steps += w.step
				if failure != "" {
					t.Logf("%s: seed %d, step %d (%d steps in all): %s", v.name, seed, w.step, steps, failure)
					return
				}
			}
			t.Fatalf("not caught in %d seeds, %d steps", *huntSeeds, steps)
		})
	}
}
