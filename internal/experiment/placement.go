package experiment

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// results are the results of one run.
type results struct {
	maxToMean, variation float64 // of work per target
	p50, p99             float64 // milliseconds
	refusedPercent       float64 // including requests answered too late
	probes               float64 // per request
}

func (l *loop) results() results {
	var sum, highest, squares float64
	for _, h := range l.hosts {
		sum += h.busy.Seconds()
		highest = max(highest, h.busy.Seconds())
	}
	mean := sum / float64(len(l.hosts))
	for _, h := range l.hosts {
		d := h.busy.Seconds() - mean
		squares += d * d
	}
	slices.Sort(l.answerTimes)
	quantile := func(q float64) float64 {
		if len(l.answerTimes) == 0 {
			return math.NaN()
		}
		return l.answerTimes[int(q*float64(len(l.answerTimes)-1))]
	}
	return results{
		maxToMean: highest / mean,
		variation: math.Sqrt(squares/float64(len(l.hosts))) / mean,
		p50:       quantile(0.5), p99: quantile(0.99),
		refusedPercent: 100 * float64(l.refused) / float64(max(l.sent, 1)),
		probes:         float64(l.probes) / float64(max(l.sent, 1)),
	}
}

// summary holds the mean and the worst results over several seeds.
type summary struct{ mean, worst results }

func runSeeds(sz size, sc scenario, p policy, t tuning, seeds int) summary {
	var s summary
	for seed := range seeds {
		l := newLoop(sz, sc, p, t, uint64(seed))
		l.run()
		f := l.results()
		accumulate(&s.mean.maxToMean, &s.worst.maxToMean, f.maxToMean, seeds)
		accumulate(&s.mean.variation, &s.worst.variation, f.variation, seeds)
		accumulate(&s.mean.p50, &s.worst.p50, f.p50, seeds)
		accumulate(&s.mean.p99, &s.worst.p99, f.p99, seeds)
		accumulate(&s.mean.refusedPercent, &s.worst.refusedPercent, f.refusedPercent, seeds)
		accumulate(&s.mean.probes, &s.worst.probes, f.probes, seeds)
	}
	return s
}

func accumulate(mean, worst *float64, value float64, n int) {
	*mean += value / float64(n)
	*worst = max(*worst, value)
}

func (s summary) row(name string) string {
	m, w := s.mean, s.worst
	return fmt.Sprintf("| %s | %.2f / %.2f | %.2f | %.0f | %.0f / %.0f | %.2f / %.2f | %.2f |",
		name, m.maxToMean, w.maxToMean, m.variation, m.p50, m.p99, w.p99, m.refusedPercent, w.refusedPercent, m.probes)
}

const tableHeader = "| %s | work max/mean (worst) | CV | p50 ms | p99 ms (worst) | refused %% (worst) | probes per request |\n|---|---|---|---|---|---|---|\n"

// cell formats the results of one policy in one scenario: work max/mean as mean (worst),
// CV; p50, p99 as mean (worst) in ms; refused in percent.
func (s summary) cell() string {
	m, w := s.mean, s.worst
	return fmt.Sprintf("%.2f (%.2f), %.2f; %.0f, %.0f (%.0f); %.1f", m.maxToMean, w.maxToMean, m.variation, m.p50, m.p99, w.p99, m.refusedPercent)
}

// longWork is an overload with requests that take half a second on average.
var longWork = scenario{
	name: "saturation with long work", load: 1.3, meanWork: 10 * meanWork,
	work: func(rng *rand.Rand) time.Duration { return 10 * shortWork(rng) },
}

func currentPolicy() policy {
	for _, p := range policies {
		if p.name == currentPolicyName {
			return p
		}
	}
	panic("no such policy")
}

func scenarioByName(name string) scenario {
	for _, s := range scenarios {
		if s.name == name {
			return s
		}
	}
	panic("no such scenario")
}

// Placement writes a table of all policies in all scenarios, for each size. The table
// is in docs/PLACEMENT.md.
func Placement(w io.Writer, seeds int) {
	for _, sz := range sizes {
		fmt.Fprintf(w, "\n### %s\n\n| policy |", sz.name)
		for _, sc := range scenarios {
			fmt.Fprintf(w, " %s |", sc.name)
		}
		fmt.Fprintf(w, "\n|---%s|\n", strings.Repeat("|---", len(scenarios)))
		for _, p := range policies {
			fmt.Fprintf(w, "| %s |", p.name)
			for _, sc := range scenarios {
				fmt.Fprintf(w, " %s |", runSeeds(sz, sc, p, defaultTuning, seeds).cell())
			}
			fmt.Fprintln(w)
		}
	}
}

// Sweeps writes a table for each threshold of placement, admission queue and slow start.
func Sweeps(w io.Writer, seeds int) {
	sweep := func(title string, sc scenario, set func(*tuning, int), values ...int) {
		for _, sz := range []size{sizes[0], sizes[2]} {
			fmt.Fprintf(w, "\n### %s: %s, %s\n\n"+tableHeader, title, sz.name, sc.name, title)
			for _, v := range values {
				t := defaultTuning
				set(&t, v)
				fmt.Fprintln(w, runSeeds(sz, sc, currentPolicy(), t, seeds).row(fmt.Sprint(v)))
			}
		}
	}
	probeThreshold := func(t *tuning, v int) { t.probeThreshold = float64(v) / 100 }
	for _, s := range []string{"even load", "few heavy callers", "one slow target", "long among short"} {
		sweep("look around from, % of the slots", scenarioByName(s), probeThreshold, 0, 25, 50, 75, 100)
	}
	draws := func(t *tuning, v int) { t.probesPerRound = v }
	for _, s := range []string{"burst", "few heavy callers", "preset switched at peak"} {
		sweep("draws", scenarioByName(s), draws, 1, 2, 3, 4)
	}
	queue := func(t *tuning, v int) { t.queueLimit = v }
	for _, s := range []string{"burst", "data centre drained", "saturation"} {
		sweep("queue limit", scenarioByName(s), queue, 4, 8, 16, 32, 64)
	}
	queueNoDeadlines := func(t *tuning, v int) { t.noDeadlines = true; queue(t, v) }
	sweep("queue limit, callers without deadlines", longWork, queueNoDeadlines, 4, 8, 16, 32, 64)
	overloadAfter := func(t *tuning, v int) { t.noDeadlines = true; t.overloadAfter = time.Duration(v) * time.Millisecond }
	for _, s := range []scenario{scenarioByName("saturation"), longWork} {
		sweep("queue patience, ms, callers without deadlines", s, overloadAfter, 50, 200, 500, 1000, 100_000)
	}
	slowStart := func(t *tuning, v int) { t.noSlowStart = v == 0; t.slowStart = time.Duration(v) * time.Second }
	sweep("slow start, s", scenarioByName("cold start"), slowStart, 0, 5, 10, 20)
}
