package steering

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/table"
)

func candidates(n int, share func(int) float64) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{Agent: table.AgentNumber(i + 1), Share: share(i)})
	}
	return out
}

// unevenShare returns shares from 50 to 150.
func unevenShare(i int) float64 { return 50 + float64(i*37%101) }

// pick is the lookup function of a chooser under comparison.
type pick func(flow uint64) table.AgentNumber

func rendezvous(c []Candidate) pick {
	x := NewChooser(c)
	return func(flow uint64) table.AgentNumber {
		agent, _ := x.Choose(flow)
		return agent
	}
}

// tallyFlows counts the flows that each target gets out of a fixed sequence.
func tallyFlows(p pick, flows int) map[table.AgentNumber]int {
	random := rand.New(rand.NewPCG(1, 2))
	out := make(map[table.AgentNumber]int)
	for range flows {
		out[p(random.Uint64())]++
	}
	return out
}

// worstError returns the largest relative difference between a target's flows and its
// share.
func worstError(c []Candidate, p pick, flows int) float64 {
	got := tallyFlows(p, flows)
	sum := 0.0
	for _, x := range c {
		sum += x.Share
	}
	worst := 0.0
	for _, x := range c {
		want := float64(flows) * x.Share / sum
		worst = max(worst, math.Abs(float64(got[x.Agent])-want)/want)
	}
	return worst
}

// movedFraction returns the fraction of the flows that two choosers place differently.
func movedFraction(a, b pick, flows int) float64 {
	random := rand.New(rand.NewPCG(3, 4))
	n := 0
	for range flows {
		if f := random.Uint64(); a(f) != b(f) {
			n++
		}
	}
	return float64(n) / float64(flows)
}

// New flows must follow the shares: a target with twice the share gets twice the flows,
// one without a share gets none.
func TestNewFlowsFollowShares(t *testing.T) {
	is := is.New(t)
	c := candidates(7, unevenShare)
	c = append(c, Candidate{Agent: 8})
	p := rendezvous(c)
	is.Equal(tallyFlows(p, 1000)[8], 0)
	is.True(worstError(c[:7], p, 200_000) < 0.02)
	_, ok := NewChooser(nil).Choose(1)
	is.True(!ok)
}

// When a target leaves, only its own flows may move, each to the target that After
// returns.
func TestOnlyFlowsOfALeavingTargetMove(t *testing.T) {
	is := is.New(t)
	c := candidates(20, unevenShare)
	before, after := NewChooser(c), NewChooser(c[1:])
	random := rand.New(rand.NewPCG(5, 6))
	for range 10_000 {
		f := random.Uint64()
		was, _ := before.Choose(f)
		now, _ := after.Choose(f)
		if was != 1 {
			is.Equal(was, now)
			continue
		}
		next, _ := before.After(f, 1)
		is.Equal(next, now)
	}
}

// A flow that each target refuses in turn must try every target once.
func TestAfterReturnsAllTargetsOnce(t *testing.T) {
	is := is.New(t)
	c := NewChooser(candidates(9, unevenShare))
	seen := make(map[table.AgentNumber]bool)
	agent, ok := c.Choose(77)
	for ; ok; agent, ok = c.After(77, agent) {
		is.True(!seen[agent])
		seen[agent] = true
	}
	is.Equal(len(seen), c.Len())
}

// BenchmarkChoosers compares weighted rendezvous hashing with a Maglev table at three
// sizes: time to build and to look up, memory, the worst error against the shares, and
// the fraction of flows that move when one target leaves.
func BenchmarkChoosers(b *testing.B) {
	for _, n := range []int{7, 100, 1000} {
		c := candidates(n, unevenShare)
		b.Run(fmt.Sprintf("rendezvous/%d", n), func(b *testing.B) {
			compare(b, c, rendezvous, n*24)
		})
		size := maglevSize(n)
		build := func(c []Candidate) pick { return newMaglev(c, size).choose }
		b.Run(fmt.Sprintf("maglev/%d", n), func(b *testing.B) {
			compare(b, c, build, size*2)
		})
	}
}

func compare(b *testing.B, c []Candidate, build func([]Candidate) pick, bytes int) {
	const flows = 200_000
	b.Run("build", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			build(c)
		}
		b.ReportMetric(float64(bytes), "table-bytes")
	})
	p := build(c)
	b.Run("lookup", func(b *testing.B) {
		b.ReportAllocs()
		f := uint64(0)
		for b.Loop() {
			f++
			p(mix(f))
		}
		b.ReportMetric(100*worstError(c, p, flows), "worst-error-%")
		b.ReportMetric(100*movedFraction(p, build(c[1:]), flows), "moved-%")
		b.ReportMetric(100*c[0].Share/total(c), "moved-ideal-%")
	})
}

func total(c []Candidate) (sum float64) {
	for _, x := range c {
		sum += x.Share
	}
	return sum
}
