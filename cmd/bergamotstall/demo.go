package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/demo"
	"bergamotstall/internal/scenario"
)

func runDemo(ctx context.Context, args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("bergamotstall demo", flag.ContinueOnError)
	flags.SetOutput(errOut)
	o := demo.Options{Out: out}
	flags.StringVar(&o.Layout, "layout", scenario.Layouts()[0].Name, "the `user` whose installation is shown: vetrate-cortesi or odumase")
	flags.DurationVar(&o.For, "for", 0, "play callers and changes for this `time`, at least 10s, and judge the run; 0 stays up without callers")
	flags.StringVar(&o.Folder, "data", "", "`folder` for keys and control's state; a temporary one if not given")
	flags.StringVar(&o.Report, "report", "", "`folder` for a page with plots")
	flags.Uint64Var(&o.Seed, "seed", 1, "`seed` of callers and fabric")
	net := flags.Uint("net", 0, "use the loopback addresses 127.0.`N`.0/24, N at most 255")
	verbose := flags.Bool("v", false, "show the log events of all roles")
	switch err := flags.Parse(args); {
	case err == flag.ErrHelp:
		return exitOK
	case err != nil:
		return exitUsage
	case *net > 255 || flags.NArg() > 0 || (o.For != 0 && o.For < demo.ShortestRun):
		fmt.Fprintf(errOut, "usage: bergamotstall demo [-for TIME], TIME at least %v\n", demo.ShortestRun)
		return exitUsage
	}
	o.Net = scenario.Net(*net)
	log := logrus.New()
	log.SetOutput(errOut)
	if !*verbose {
		log.SetOutput(io.Discard)
	}
	o.Log = log
	if err := demo.Run(ctx, o); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitOK
}
