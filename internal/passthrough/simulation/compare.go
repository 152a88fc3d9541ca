package simulation

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"
)

// Variant is a change of the current policies to compare them with.
type Variant struct {
	Name string
	// Change modifies the current policies.
	Change func(p *Policies)
	// Reference replaces balancers and agents by the reference.
	Reference bool
}

// Reference returns the variant with a single ideal queue, an upper bound that no policy
// can reach; see reference.
func Reference() Variant {
	return Variant{Name: "one queue that knows all (reference)", Change: func(*Policies) {}, Reference: true}
}

// Ablation returns variants in which one mechanism each is switched off.
func Ablation() []Variant {
	return []Variant{
		{Name: "no waiting at agents: all through to the target", Change: func(p *Policies) { p.Flowtable.Unlimited = true }},
		{Name: "requests over open flows through to the target", Change: func(p *Policies) { p.Flowtable.PassOpenFlows = true }},
		{Name: "room for half as many again as slots", Change: func(p *Policies) { p.Flowtable.ExtraRequests = 0.5 }},
		{Name: "first requests expected for a fixed time", Change: func(p *Policies) { p.Flowtable.ExpectTimes = 0 }},
		{Name: "waiting callers in order of arrival", Change: func(p *Policies) { p.Flowtable.OldestFirst = true }},
		{Name: "no priority of urgent routes", Change: func(p *Policies) { p.Flowtable.IgnorePriority = true }},
		{Name: "early packets dropped", Change: func(p *Policies) { p.Forward.DropEarly = true }},
		{Name: "early packets in order of arrival", Change: func(p *Policies) { p.Forward.OldestFirst = true }},
		{Name: "one draw in place of two", Change: func(p *Policies) { p.Forward.Place.Draws = 1 }},
		{Name: "service times and capacities not learned", Change: func(p *Policies) { p.Overload.LearnedCapacity = false }},
		{Name: "placed by slots, whatever was learned", Change: func(p *Policies) { p.Forward.Place.IgnorePace = true }},
		{Name: "learned capacity doesn't bound admission", Change: func(p *Policies) { p.Flowtable.IgnoreCapacity = true }},
		{Name: "no preference for the near data centre", Change: func(p *Policies) { p.Forward.Place.IgnoreDistance = true }},
		{Name: "no overflow to the route's other service", Change: func(p *Policies) { p.Forward.Place.NoOverflow = true }},
		{Name: "overflow to idle targets only", Change: func(p *Policies) { p.Forward.Place.OverflowGain = math.Inf(1) }},
		{Name: "cold targets weigh like warm ones", Change: func(p *Policies) { p.Forward.Place.ColdSlowdown = 1 }},
		{Name: "idle flows count for nothing", Change: func(p *Policies) { p.Forward.Place.FlowShare = 0 }},
		{Name: "flows sent since the last report count for nothing", Change: func(p *Policies) { p.Forward.Place.SentShare = 0 }},
		{Name: "no youth of a balancer", Change: func(p *Policies) { p.Forward.Youth = 0 }},
	}
}

// Sweep returns variants with one threshold each set to a third of its value or to three
// times its value.
func Sweep() []Variant {
	var out []Variant
	for _, t := range []struct {
		name  string
		scale func(p *Policies, by float64)
	}{
		{"MaxWait", func(p *Policies, by float64) { p.Flowtable.MaxWait = scaled(p.Flowtable.MaxWait, by) }},
		{"ExpectFor", func(p *Policies, by float64) { p.Flowtable.ExpectFor = scaled(p.Flowtable.ExpectFor, by) }},
		{"ExpectTimes", func(p *Policies, by float64) { p.Flowtable.ExpectTimes *= by }},
		{"OverflowGain", func(p *Policies, by float64) { p.Forward.Place.OverflowGain *= by }},
		{"Youth", func(p *Policies, by float64) { p.Forward.Youth = scaled(p.Forward.Youth, by) }},
		{"FlowShare", func(p *Policies, by float64) { p.Forward.Place.FlowShare *= by }},
		{"SentShare", func(p *Policies, by float64) { p.Forward.Place.SentShare *= by }},
		{"SpillFrom", func(p *Policies, by float64) { p.Forward.Place.SpillFrom *= by }},
		{"SpillGain", func(p *Policies, by float64) { p.Forward.Place.SpillGain *= by }},
		{"ColdSlowdown", func(p *Policies, by float64) { p.Forward.Place.ColdSlowdown *= by }},
	} {
		out = append(out,
			Variant{Name: t.name + " / 3", Change: func(p *Policies) { t.scale(p, 1.0/3) }},
			Variant{Name: t.name + " x 3", Change: func(p *Policies) { t.scale(p, 3) }})
	}
	return out
}

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// Comparison holds the outcomes of a variant on the random deployments.
type Comparison struct {
	Name string
	// Outcomes is indexed by scenario and deployment.
	Outcomes [][]Outcome
}

// Compare runs every scenario on random deployments, with the current policies and with
// each variant. The same seed and count give the same comparisons.
func Compare(variants []Variant, scenarios []Scenario, deployments int, seed uint64) []Comparison {
	all := append([]Variant{{Name: "as it is", Change: func(*Policies) {}}}, variants...)
	out := make([]Comparison, len(all))
	var jobs []func()
	for v := range all {
		p := CurrentPolicies()
		all[v].Change(&p)
		out[v] = Comparison{Name: all[v].Name, Outcomes: make([][]Outcome, len(scenarios))}
		for s := range scenarios {
			out[v].Outcomes[s] = make([]Outcome, deployments)
			for n := range deployments {
				jobs = append(jobs, func() {
					d := RandomDeployment(rand.New(rand.NewPCG(seed, uint64(n))))
					run := Run
					if all[v].Reference {
						run = RunReference
					}
					out[v].Outcomes[s][n] = run(d, scenarios[s], p, seed+uint64(n))
				})
			}
		}
	}
	runParallel(jobs)
	return out
}

// runParallel runs all jobs on half of the processors.
func runParallel(jobs []func()) {
	var wg sync.WaitGroup
	next := make(chan func())
	for range max(1, runtime.NumCPU()/2) {
		wg.Go(func() {
			for job := range next {
				job()
			}
		})
	}
	for _, job := range jobs {
		next <- job
	}
	close(next)
	wg.Wait()
}

// Write prints the mean outcome for each scenario and variant, the gain over the current
// policies, and the gain on the deployment where it is lowest.
func Write(out io.Writer, scenarios []Scenario, comparisons []Comparison) {
	baseline := comparisons[0]
	for s, sc := range scenarios {
		fmt.Fprintf(out, "\n%s, %d deployments\n", sc.Name, len(baseline.Outcomes[s]))
		fmt.Fprintf(out, "%-52s %7s %7s %8s %7s %8s %8s %8s %8s\n", "policy", "in time", "late", "unserved", "worth", "p50 ms", "p99 ms", "gain", "worst")
		for _, c := range comparisons {
			writeRow(out, c.Name, c.Outcomes[s], baseline.Outcomes[s])
		}
	}
}

// Gain returns how much higher Worth is than in another comparison, on average over
// scenarios and deployments.
func (c Comparison) Gain(over Comparison) float64 {
	sum, n := 0.0, 0
	for s := range c.Outcomes {
		for i := range c.Outcomes[s] {
			sum += c.Outcomes[s][i].Worth - over.Outcomes[s][i].Worth
			n++
		}
	}
	return sum / float64(max(n, 1))
}

func writeRow(out io.Writer, name string, outcomes, baseline []Outcome) {
	var inTime, late, unserved, worth, p50, p99, gain float64
	worst := 0.0
	for i, o := range outcomes {
		inTime += o.Share(o.InTime)
		late += o.Share(o.Late)
		unserved += o.Share(o.Unserved)
		worth += o.Worth
		p50 += o.P50.Seconds() * 1000
		p99 += o.P99.Seconds() * 1000
		gain += o.Worth - baseline[i].Worth
		worst = min(worst, o.Worth-baseline[i].Worth)
	}
	n := float64(len(outcomes))
	fmt.Fprintf(out, "%-52s %7.3f %7.3f %8.3f %7.3f %8.0f %8.0f %+8.4f %+8.3f\n",
		name, inTime/n, late/n, unserved/n, worth/n, p50/n, p99/n, gain/n, worst)
}
