package main

import (
	"context"
	"flag"
	"fmt"

	"bergamotstall/internal/experiment"
)

// defaultSeeds is the number of runs of each case in docs/PLACEMENT.md.
const defaultSeeds = 5

// defaultDeployments is the number of simulated deployments; the run takes a minute or two.
const defaultDeployments = 100

// runExperiment simulates load and prints tables that compare the values of settings and
// policies; the defaults are based on them.
func runExperiment(_ context.Context, c *invocation) int {
	flags := flag.NewFlagSet("bergamotctl experiment", flag.ContinueOnError)
	flags.SetOutput(c.errOut)
	seeds := flags.Int("seeds", defaultSeeds, "runs of each case, for mean and worst")
	var pass passOptions
	flags.IntVar(&pass.deployments, "deployments", defaultDeployments, "pass: drawn deployments")
	flags.Uint64Var(&pass.deploymentSeed, "seed", 1, "pass: what the deployments are drawn from")
	flags.BoolVar(&pass.ablation, "ablation", false, "pass: each mechanism switched off by itself")
	flags.BoolVar(&pass.sweep, "sweep", false, "pass: each threshold a third and three times as large")
	flags.StringVar(&pass.plot, "plot", "", "pass: PNG file for the gains")
	switch err := flags.Parse(c.args); {
	case err == flag.ErrHelp:
		return exitOK
	case err != nil:
		return exitUsage
	}
	switch {
	case *seeds < 1 || pass.deployments < 1 || flags.NArg() != 1:
	case flags.Arg(0) == "placement":
		experiment.Placement(c.out, *seeds)
		return exitOK
	case flags.Arg(0) == "sweeps":
		experiment.Sweeps(c.out, *seeds)
		return exitOK
	case flags.Arg(0) == "slots":
		experiment.Slots(c.out)
		return exitOK
	case flags.Arg(0) == "pass":
		return runPass(c, pass)
	case flags.Arg(0) == "retries":
		experiment.Retries(c.out)
		return exitOK
	}
	fmt.Fprintln(c.errOut, "usage: bergamotctl experiment [-seeds N] placement|sweeps|slots|retries\n       bergamotctl experiment [-deployments N] [-seed N] [-ablation] [-sweep] [-plot FILE] pass")
	return exitUsage
}
