package main

import (
	"fmt"
	"time"

	"bergamotstall/internal/passthrough/simulation"
	"bergamotstall/internal/report"
)

// passOptions say what is compared in the model of pass-through flows.
type passOptions struct {
	deployments int
	seed        uint64
	// ablation adds each mechanism switched off, sweep each threshold a third and
	// three times as large.
	ablation, sweep bool
	// plot is the file that a plot of the gains goes to; "" for none.
	plot string
}

// runPass plays drawn deployments and prints what callers get.
func runPass(c *call, o passOptions) int {
	began := time.Now()
	variants := []simulation.Variant{simulation.Reference()}
	if o.ablation {
		variants = append(variants, simulation.Ablation()...)
	}
	if o.sweep {
		variants = append(variants, simulation.Sweep()...)
	}
	scenarios := simulation.Scenarios()
	all := simulation.Compare(variants, scenarios, o.deployments, o.seed)
	simulation.Write(c.out, scenarios, all)
	fmt.Fprintf(c.errOut, "played in %v\n", time.Since(began).Round(time.Second))
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
