package main

import (
	"fmt"
	"time"

	"bergamotstall/internal/passthrough/simulation"
	"bergamotstall/internal/report"
)

// passOptions are the options of the simulation of pass-through flows.
type passOptions struct {
	// deployments is how many random deployments are simulated; deploymentSeed is the seed
	// of the random number generator that draws them.
	deployments    int
	deploymentSeed uint64
	// ablation adds variants with one mechanism switched off each, sweep variants with one
	// threshold each at a third and at three times its value.
	ablation, sweep bool
	// plot is the name of a PNG file for a plot of the gains, or "" for no plot.
	plot string
}

// runPass simulates the deployments with each variant, prints how they compare and plots
// their gains.
func runPass(c *invocation, o passOptions) int {
	start := time.Now()
	variants := []simulation.Variant{simulation.Reference()}
	if o.ablation {
		variants = append(variants, simulation.Ablation()...)
	}
	if o.sweep {
		variants = append(variants, simulation.Sweep()...)
	}
	scenarios := simulation.Scenarios()
	all := simulation.Compare(variants, scenarios, o.deployments, o.deploymentSeed)
	simulation.Write(c.out, scenarios, all)
	fmt.Fprintf(c.errOut, "played in %v\n", time.Since(start).Round(time.Second))
	if o.plot == "" {
		return exitOK
	}
	var names []string
	var gains []float64
	for _, v := range all[1:] {
		names = append(names, v.Name)
		gains = append(gains, v.Gain(all[0]))
	}
	if err := report.PlotGains(o.plot, names, gains); err != nil {
		fmt.Fprintln(c.errOut, err)
		return exitFailed
	}
	return exitOK
}
