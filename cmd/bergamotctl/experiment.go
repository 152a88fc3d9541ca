package main

import (
	"context"
	"flag"
	"fmt"

	"bergamotstall/internal/experiment"
)

// defaultSeeds are those of docs/PLACEMENT.md.
const defaultSeeds = 5

// runExperiment prints the tables from which defaults were chosen.
func runExperiment(_ context.Context, c *call) int {
	flags := flag.NewFlagSet("bergamotctl experiment", flag.ContinueOnError)
	flags.SetOutput(c.errOut)
	seeds := flags.Int("seeds", defaultSeeds, "runs of each case, for mean and worst")
	switch err := flags.Parse(c.args); {
	case err == flag.ErrHelp:
		return exitOK
	case err != nil:
		return exitUsage
	}
	switch {
	case *seeds < 1 || flags.NArg() != 1:
	case flags.Arg(0) == "placement":
		experiment.Placement(c.out, *seeds)
		return exitOK
	case flags.Arg(0) == "sweeps":
		experiment.Sweeps(c.out, *seeds)
		return exitOK
	case flags.Arg(0) == "slots":
		experiment.Slots(c.out)
		return exitOK
	case flags.Arg(0) == "retries":
		experiment.Retries(c.out)
		return exitOK
	}
	fmt.Fprintln(c.errOut, "usage: bergamotctl experiment [-seeds N] placement|sweeps|slots|retries")
	return exitUsage
}
