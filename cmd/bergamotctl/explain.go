package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"bergamotstall/internal/explain"
)

// examplesPerCause is the maximum number of flows that -worst lists for each cause.
const examplesPerCause = 3

// runExplain analyses logs of balancers and agents and prints what happened to flows, or asks
// balancers where a new flow would go.
func runExplain(ctx context.Context, c *invocation) int {
	flags := flag.NewFlagSet("bergamotctl explain", flag.ContinueOnError)
	flags.SetOutput(c.errOut)
	flow := flags.String("flow", "", "the `flow` to tell of, CALLER:PORT>SERVICE:PORT")
	worst := flags.Bool("worst", false, "group the flows that failed or were late by cause")
	traffic := flags.Bool("traffic", false, "tell how much the processes sent and received, by kind of message")
	late := flags.Duration("late", explain.DefaultLateThreshold, "with -worst: the wait from which on a flow is late")
	where := flags.String("where", "", "ask balancers where a new flow to this service `address` would go, without sending it")
	client := flags.String("client", anyClient, "with -where: the caller's `address`")
	asJSON := flags.Bool("json", false, "with -where: print the answers as JSON")
	switch err := flags.Parse(c.args); {
	case err == flag.ErrHelp:
		return exitOK
	case err != nil:
		return exitUsage
	}
	if !exactlyOne(*flow != "", *worst, *traffic, *where != "") || *where != "" && flags.NArg() == 0 {
		fmt.Fprintln(c.errOut, "usage: bergamotctl explain -flow CALLER:PORT>SERVICE:PORT | -worst [-late TIME] | -traffic [FILE ...]\nwithout a file the logs are read from standard input\n       bergamotctl explain -where SERVICE:PORT [-client CALLER:PORT] [-json] BALANCER:METRICS_PORT ...")
		return exitUsage
	}
	if *where != "" {
		return c.explainWhere(ctx, question{service: *where, client: *client, asJSON: *asJSON}, flags.Args())
	}
	log := explain.NewLog()
	if err := addLogs(log, flags.Args()); err != nil {
		fmt.Fprintln(c.errOut, err)
		return exitFailed
	}
	fmt.Fprintf(c.errOut, "%d lines, %d unreadable, %d flows\n", log.Read, log.Unreadable, log.Flows())
	switch {
	case *traffic:
		explain.WriteTraffic(c.out, log.Traffic())
		return exitOK
	case *worst:
		explain.WriteGroups(c.out, log.FailuresByCause(*late), examplesPerCause)
		return exitOK
	}
	lines := log.Timeline(*flow)
	if len(lines) == 0 {
		fmt.Fprintf(c.errOut, "no line on flow %q: name it as the logs do, and give the logs of all balancers and agents\n", *flow)
		return exitRefused
	}
	explain.WriteTimeline(c.out, lines)
	return exitOK
}

// exactlyOne reports whether exactly one of choices is true.
func exactlyOne(choices ...bool) bool {
	n := 0
	for _, chosen := range choices {
		if chosen {
			n++
		}
	}
	return n == 1
}

// addLogs reads the files into log, or standard input if there are no files.
func addLogs(log *explain.Log, files []string) error {
	if len(files) == 0 {
		return log.Add(os.Stdin)
	}
	for _, name := range files {
		if err := addLog(log, name); err != nil {
			return err
		}
	}
	return nil
}

func addLog(log *explain.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return log.Add(file)
}
