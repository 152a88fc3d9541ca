package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/demo"
	"bergamotstall/internal/scenario"
	"bergamotstall/platform/standin"
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
	usePlatform := flags.Bool("platform", false, "play pass-through flows on a stand-in of the users' platform, for 20s unless -for says otherwise")
	scheme := flags.String("scheme", string(standin.Rendezvous), "how the platform's fabric chooses balancers: steady or mod")
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
	if *usePlatform {
		return runPlatformDemo(ctx, standin.DayOptions{
			Options: standin.Options{Net: platformLoopbackOctet, Scheme: standin.Scheme(*scheme), Folder: o.Folder, Log: log},
			For:     o.For, Out: out,
		}, errOut)
	}
	if err := demo.Run(ctx, o); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitOK
}

const (
	// platformLoopbackOctet is the second byte of the loopback addresses 127.N.x.y that the stand-in
	// for the users' platform uses.
	platformLoopbackOctet = 30
	// platformRunTime is how long the demo on the stand-in runs by default.
	platformRunTime = 20 * time.Second
)

// runPlatformDemo runs the demo of pass-through flows on a stand-in for the users' platform.
func runPlatformDemo(ctx context.Context, o standin.DayOptions, errOut io.Writer) int {
	if o.For == 0 {
		o.For = platformRunTime
	}
	if o.Scheme != standin.Rendezvous && o.Scheme != standin.Modulo {
		fmt.Fprintf(errOut, "bergamotstall demo: scheme %q (allowed: %s, %s)\n", o.Scheme, standin.Rendezvous, standin.Modulo)
		return exitUsage
	}
	if err := standin.RunDay(ctx, o); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitOK
}
