package raft

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	exploreSeeds = flag.Int("explore.seeds", 40, "seeds for each number of voters")
	exploreSteps = flag.Int("explore.steps", 6000, "steps for each seed")
	exploreFirst = flag.Int("explore.first", 1, "first seed")
)

// profile is how often each thing happens, in thousandths of the turns left to
// chance. Seeds differ in it: some failures need many crashes, others long
// partitions or many membership changes.
type profile struct {
	crash, start, stall, cut, heal, change, wipe, snapshot int
}

func (w *world) drawProfile() {
	level := func(common int) int {
		return common * []int{0, 1, 1, 4, 10}[w.rng.IntN(5)] / 2
	}
	w.profile = profile{
		crash: level(6), start: 18 + level(20), stall: level(4), cut: level(4), heal: level(3),
		change: level(6), wipe: level(1), snapshot: level(8),
	}
}

// turn does one random thing.
func (w *world) turn() {
	w.step++
	switch p := w.rng.IntN(100); {
	case p < 58:
		w.deliver()
	case p < 78:
		w.tick()
	case p < 92:
		w.clientTurn()
	default:
		w.mishap()
	}
	if w.step%100 == 0 {
		w.check.logMatching(w)
	}
}

// connect tells a replica that has started, and those that run, of the connections
// between them.
func (w *world) connect(n *node) {
	for _, other := range w.nodes {
		if other == n || !other.up {
			continue
		}
		n.core.Met(w.clock(n), other.disk.id)
		other.core.Met(w.clock(other), n.disk.id)
	}
}

func (w *world) mishap() {
	x := w.profile
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	p := w.rng.IntN(1000) / 8 // the rest of the thousandths pass quietly
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
		n.stalled = w.now + time.Duration(w.rng.Int64N(int64(2*time.Second)))
	case chance(x.cut):
		w.partition()
	case chance(x.heal):
		clear(w.cut)
	case chance(x.change):
		w.change()
		for i := 0; w.broken.hasty && i < 3; i++ {
			w.change()
		}
	case chance(x.wipe):
		w.wipe()
	case chance(x.snapshot):
		w.takeSnapshot()
	}
}

// calm heals everything and lets the replicas settle: they must serve again.
func (w *world) calm() {
	w.quiet = true
	clear(w.cut)
	w.flight = nil
	for _, n := range w.nodes {
		n.stalled = 0
		if !n.up {
			w.start(n)
		}
	}
	before := w.check.count()
	deadline := w.now + 5*time.Minute
	for w.check.failure == "" && w.check.count() < before+3 {
		w.step++
		if w.now > deadline {
			w.check.fail("liveness: nothing is answered after all is healed: %s", w.describe())
			return
		}
		for range 6 {
			w.deliver()
		}
		w.tick()
		if w.step%10 == 0 {
			w.clientTurn()
		}
		if w.wiped != 0 && w.step%200 == 0 {
			w.change()
		}
	}
}

func (k *checker) count() int {
	n := 0
	for _, ops := range k.history {
		for _, op := range ops {
			if op.Output.(int) != unknown && op.Input.(operation).number != 0 {
				n++
			}
		}
	}
	return n
}

func (w *world) describe() string {
	out := ""
	for _, n := range w.nodes {
		s := n.core.Status()
		out += fmt.Sprintf("\n%s %s %v term %d commit %d last %d probation %v err %v members %d",
			n.name, s.ID, s.State, s.Term, s.Commit, s.Last, s.Probation, n.core.Err(), len(s.Members))
	}
	return out
}

// explore runs one seed and returns what went wrong, if anything.
func explore(seed uint64, voters, steps int, f faults, broken worldFaults) (string, *world) {
	w := newWorld(seed, voters, f, broken)
	for w.step < steps && w.check.failure == "" {
		w.turn()
	}
	if w.check.failure == "" {
		w.calm()
	}
	if w.check.failure == "" {
		w.check.finish(w)
	}
	return w.check.failure, w
}

// Replicas crash, lose what they had not synced, are cut apart, replaced, and
// get messages late, twice or never. Whatever the order, clients must see one
// history, and the replicas must serve again once all is healed.
func TestExplorer(t *testing.T) {
	for _, voters := range []int{3, 5} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			t.Parallel()
			steps, answered, elections, installs := 0, 0, 0, 0
			for i := range *exploreSeeds {
				seed := uint64(*exploreFirst + i)
				failure, w := explore(seed, voters, *exploreSteps, faults{}, worldFaults{})
				if failure != "" {
					t.Fatalf("seed %d, step %d: %s", seed, w.step, failure)
				}
				steps += w.step
				answered += w.check.count()
				elections += len(w.check.leaders)
				installs += w.installs
			}
			t.Logf("%d seeds, %d steps, %d commands answered, %d terms with a leader, %d snapshots installed",
				*exploreSeeds, steps, answered, elections, installs)
		})
	}
}
