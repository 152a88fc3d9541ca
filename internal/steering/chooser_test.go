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

// uneven gives shares from 50 to 150.
func uneven(i int) float64 { return 50 + float64(i*37%101) }

// pick is what both choosers under comparison can do.
type pick func(flow uint64) table.AgentNumber

func rendezvous(c []Candidate) pick {
	x := NewChooser(c)
	return func(flow uint64) table.AgentNumber {
		agent, _ := x.Choose(flow)
		return agent
	}
}

// tally counts the flows that each target gets, of a fixed sequence.
func tallyFlows(p pick, flows int) map[table.AgentNumber]int {
	random := rand.New(rand.NewPCG(1, 2))
	out := make(map[table.AgentNumber]int)
	for range flows {
		out[p(random.Uint64())]++
	}
	return out
}

// worstError is the largest relative distance of a target's flows from its share.
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

// moved is the part of the flows that two choosers place differently.
func moved(a, b pick, flows int) float64 {
	random := rand.New(rand.NewPCG(3, 4))
	n := 0
	for range flows {
		if f := random.Uint64(); a(f) != b(f) {
			n++
		}
	}
	return float64(n) / float64(flows)
}

// New flows follow the shares: a target with twice the share gets twice the
// flows, one without a share gets none.
func TestNewFlowsFollowShares(t *testing.T) {
	is := is.New(t)
	c := candidates(7, uneven)
	c = append(c, Candidate{Agent: 8})
	p := rendezvous(c)
	is.Equal(tallyFlows(p, 1000)[8], 0)
	is.True(worstError(c[:7], p, 200_000) < 0.02)
	_, ok := NewChooser(nil).Choose(1)
	is.True(!ok)
}

// A target that leaves gives its own flows up and moves nobody else's; the flows
// that it gave up go where After says.
func TestOnlyTheLeaversFlowsMove(t *testing.T) {
	is := is.New(t)
	c := candidates(20, uneven)
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

// A flow that each target refuses in turn meets every target once.
func TestAfterWalksAllTargetsOnce(t *testing.T) {
	is := is.New(t)
	c := NewChooser(candidates(9, uneven))
	seen := make(map[table.AgentNumber]bool)
	agent, ok := c.Choose(77)
	for ; ok; agent, ok = c.After(77, agent) {
		is.True(!seen[agent])
		seen[agent] = true
	}
	is.Equal(len(seen), c.Len())
}

// BenchmarkChoosers compares weighted rendezvous with a Maglev table at three
// sizes: time to build and to look up, memory, the worst error against the
// shares, and the part of the flows moved by one target that leaves.
func BenchmarkChoosers(b *testing.B) {
	for _, n := range []int{7, 100, 1000} {
		c := candidates(n, uneven)
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
		b.ReportMetric(100*moved(p, build(c[1:]), flows), "moved-%")
		b.ReportMetric(100*c[0].Share/total(c), "moved-ideal-%")
	})
}

func total(c []Candidate) (sum float64) {
	for _, x := range c {
		sum += x.Share
	}
	return sum
}
