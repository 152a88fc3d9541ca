package raft

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	exploreSeeds = flag.Int("explore.seeds", 40, "seeds for each size of cluster")
	exploreSteps = flag.Int("explore.steps", 6000, "steps for each seed")
	exploreFirst = flag.Int("explore.first", 1, "first seed")
)

// faultRates is how often each fault occurs, in thousandths of the steps that inject one.
// The rates differ by seed: some failures need many crashes, others long partitions or
// many membership changes.
type faultRates struct {
	crash, start, stall, cut, heal, change, loseDisk, snapshot int
}

func (w *simulation) drawFaultRates() {
	level := func(common int) int {
		return common * []int{0, 1, 1, 4, 10}[w.rng.IntN(5)] / 2
	}
	w.rates = faultRates{
		crash: level(6), start: 18 + level(20), stall: level(4), cut: level(4), heal: level(3),
		change: level(6), loseDisk: level(1), snapshot: level(8),
	}
}

// randomStep performs one random action.
func (w *simulation) randomStep() {
	w.step++
	switch p := w.rng.IntN(100); {
	case p < 58:
		w.deliver()
	case p < 78:
		w.tick()
	case p < 92:
		w.clientStep()
	default:
		w.injectFault()
	}
	if w.step%100 == 0 {
		w.checker.logMatching(w)
	}
}

// connect reports the new connections to a replica that has started, and to those that
// run.
func (w *simulation) connect(n *node) {
	for _, other := range w.nodes {
		if other == n || !other.up {
			continue
		}
		n.core.PeerConnected(w.clock(n), other.disk.id)
		other.core.PeerConnected(w.clock(other), n.disk.id)
	}
}

func (w *simulation) injectFault() {
	x := w.rates
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	p := w.rng.IntN(1000) / 8 // higher values cause no fault
	chance := func(share int) bool {
		p -= share
		return p < 0 && p+share >= 0
	}
	switch {
	case chance(x.crash):
		if l := w.leader(); l != nil && w.rng.IntN(3) == 0 {
			n = l
		}
		if n.up {
			w.crash(n)
		}
	case chance(x.start):
		if !n.up {
			w.start(n)
		}
	case chance(x.stall):
		n.stalledUntil = w.now + time.Duration(w.rng.Int64N(int64(2*time.Second)))
	case chance(x.cut):
		w.partition()
	case chance(x.heal):
		clear(w.blocked)
	case chance(x.change):
		w.changeMembership()
		for i := 0; w.envFaults.consecutiveChanges && i < 3; i++ {
			w.changeMembership()
		}
	case chance(x.loseDisk):
		w.loseDisk()
	case chance(x.snapshot):
		w.takeSnapshot()
	}
}

// healAndVerify heals all partitions, starts all replicas and checks that commands are
// answered again.
func (w *simulation) healAndVerify() {
	w.faultFree = true
	clear(w.blocked)
	w.inFlight = nil
	for _, n := range w.nodes {
		n.stalledUntil = 0
		if !n.up {
			w.start(n)
		}
	}
	before := w.checker.count()
	deadline := w.now + 5*time.Minute
	for w.checker.failure == "" && w.checker.count() < before+3 {
		w.step++
		if w.now > deadline {
			w.checker.fail("liveness: no command is answered after all faults are healed: %s", w.describe())
			return
		}
		for range 6 {
			w.deliver()
		}
		w.tick()
		if w.step%10 == 0 {
			w.clientStep()
		}
		if w.lostDiskID != 0 && w.step%200 == 0 {
			w.changeMembership()
		}
	}
}

func (k *checker) count() int {
	n := 0
	for _, ops := range k.history {
		for _, op := range ops {
			if op.Output.(int) != unknownOutcome && op.Input.(operation).number != 0 {
				n++
			}
		}
	}
	return n
}

func (w *simulation) describe() string {
	out := ""
	for _, n := range w.nodes {
		s := n.core.Status()
		out += fmt.Sprintf("\n%s %s %v term %d commit %d last %d probation %v err %v members %d",
			n.name, s.ID, s.State, s.Term, s.Commit, s.Last, s.Recovering, n.core.Err(), len(s.Members))
	}
	return out
}

// explore runs one seed and returns the first failure, if any.
func explore(seed uint64, size clusterSize, steps int, f faults, broken environmentFaults) (string, *simulation) {
	w := newSimulation(seed, size, f, broken)
	for w.step < steps && w.checker.failure == "" {
		w.randomStep()
	}
	if w.checker.failure == "" {
		w.healAndVerify()
	}
	if w.checker.failure == "" {
		w.checker.checkHistory(w)
	}
	return w.checker.failure, w
}

// Guards against violations of safety and liveness under random faults: replicas crash,
// lose unsynced data, are partitioned and replaced, and messages are delayed, duplicated
// or lost. Clients must see one history, and the cluster must serve again after all
// faults are healed.
func TestExplorer(t *testing.T) {
	for _, size := range []clusterSize{{voters: 3}, {voters: 5}, {voters: 3, standbys: true}, {voters: 5, standbys: true}} {
		t.Run(fmt.Sprintf("%d voters, standbys %t", size.voters, size.standbys), func(t *testing.T) {
			t.Parallel()
			steps, answered, elections, installs := 0, 0, 0, 0
			for i := range *exploreSeeds {
				seed := uint64(*exploreFirst + i)
				failure, w := explore(seed, size, *exploreSteps, faults{}, environmentFaults{})
				if failure != "" {
					t.Fatalf("seed %d, step %d: %s", seed, w.step, failure)
				}
				steps += w.step
				answered += w.checker.count()
				elections += len(w.checker.leaders)
				installs += w.installs
			}
			t.Logf("%d seeds, %d steps, %d commands answered, %d terms with a leader, %d snapshots installed",
				*exploreSeeds, steps, answered, elections, installs)
		})
	}
}
