package raft

import (
	"flag"
	"testing"
)

var variantSeeds = flag.Int("explore.hunt", 1500, "seeds to try for each broken variant")

// faultyVariant is a simulation with one safeguard of the replica or its environment
// disabled.
type faultyVariant struct {
	name   string
	voters int
	// seed is known to expose the fault. The others are tried in case a change of the
	// core has moved it.
	seed       uint64
	coreFaults faults
	envFaults  environmentFaults
}

var faultyVariants = []faultyVariant{
	{name: "acknowledged before sync", voters: 3, seed: 826, coreFaults: faults{ackBeforeSync: true}},
	{name: "acknowledged before sync, no recovery after a restart", voters: 3, seed: 613, coreFaults: faults{ackBeforeSync: true, noRecovery: true}},
	{name: "two votes in a term", voters: 3, seed: 98, coreFaults: faults{voteTwice: true}},
	{name: "vote for an older log", voters: 3, coreFaults: faults{voteForOlderLog: true}},
	{name: "conflicting entries kept", voters: 3, seed: 1, coreFaults: faults{keepConflict: true}},
	{name: "two membership changes at once", voters: 5, seed: 193, coreFaults: faults{concurrentChanges: true}, envFaults: environmentFaults{consecutiveChanges: true}},
	{name: "read without a heartbeat round", voters: 3, seed: 49, coreFaults: faults{unconfirmedReads: true}},
	{name: "quorum contact reported without replies", voters: 3, seed: 13, coreFaults: faults{noCheckQuorum: true}},
	{name: "learner counted as voter", voters: 3, seed: 1, coreFaults: faults{countLearners: true}},
	{name: "empty disk votes under its old ID", voters: 3, seed: 4, coreFaults: faults{emptyDiskVotes: true}, envFaults: environmentFaults{lostDiskKeepsID: true}},
	{name: "snapshot without command outcomes", voters: 3, seed: 1, envFaults: environmentFaults{dropOutcomes: true}},
}

// Guards against an explorer that can't see failures: each safeguard is disabled in turn,
// and the explorer must notice. One that passes a broken variant could pass a broken
// core.
func TestExplorerCatchesBrokenVariants(t *testing.T) {
	for _, v := range faultyVariants {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			steps := 0
			for i := range *variantSeeds + 1 {
				seed := uint64(i)
				if i == 0 {
					seed = v.seed
				}
				failure, w := explore(seed, clusterSize{voters: v.voters}, *exploreSteps, v.coreFaults, v.envFaults)
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
