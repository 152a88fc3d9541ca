package raft

import (
	"flag"
	"testing"
)

var variantSeeds = flag.Int("explore.hunt", 1500, "seeds to try for each broken variant")

// variant is a replica or environment with one safeguard disabled.
type variant struct {
	name   string
	voters int
	// seed is known to expose the fault. The others are tried in case a change of the
	// core has moved it.
	seed uint64
	core faults
	env  environmentFaults
}

var variants = []variant{
	{name: "acknowledged before sync", voters: 3, seed: 826, core: faults{ackBeforeSync: true}},
	{name: "acknowledged before sync, no recovery after a restart", voters: 3, seed: 613, core: faults{ackBeforeSync: true, noRecovery: true}},
	{name: "two votes in a term", voters: 3, seed: 98, core: faults{voteTwice: true}},
	{name: "vote for an older log", voters: 3, core: faults{voteForOlderLog: true}},
	{name: "conflicting entries kept", voters: 3, seed: 1, core: faults{keepConflict: true}},
	{name: "two membership changes at once", voters: 5, seed: 193, core: faults{concurrentChanges: true}, env: environmentFaults{burstChanges: true}},
	{name: "read without a heartbeat round", voters: 3, seed: 49, core: faults{unconfirmedReads: true}},
	{name: "quorum contact reported without replies", voters: 3, seed: 13, core: faults{noCheckQuorum: true}},
	{name: "learner counted as voter", voters: 3, seed: 1, core: faults{countLearners: true}},
	{name: "empty disk votes under its old ID", voters: 3, seed: 4, core: faults{emptyDiskVotes: true}, env: environmentFaults{lostDiskKeepsID: true}},
	{name: "snapshot without command outcomes", voters: 3, seed: 1, env: environmentFaults{dropOutcomes: true}},
}

// Guards against an explorer that can't see failures: each safeguard is disabled in turn,
// and the explorer must notice. One that passes a broken variant could pass a broken
// core.
func TestExplorerCatchesBrokenVariants(t *testing.T) {
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			steps := 0
			for i := range *variantSeeds + 1 {
				seed := uint64(i)
				if i == 0 {
					seed = v.seed
				}
				failure, w := explore(seed, v.voters, *exploreSteps, v.core, v.env)
				steps += w.step
				if failure != "" {
					t.Logf("%s: seed %d, step %d (%d steps in all): %s", v.name, seed, w.step, steps, failure)
					return
				}
			}
			t.Fatalf("not caught in %d seeds, %d steps", *variantSeeds, steps)
		})
	}
}
