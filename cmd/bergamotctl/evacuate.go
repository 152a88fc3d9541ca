package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/platform"
)

// runEvacuate evacuates a data centre, whose targets then get no new pass-through flows,
// withdraws an evacuation, or lists the evacuated data centres.
func runEvacuate(ctx context.Context, c *invocation) int {
	flags := flag.NewFlagSet("bergamotctl evacuate", flag.ContinueOnError)
	flags.SetOutput(c.errOut)
	control := flags.String("control", "", "`addresses` where control VMs take the platform's calls, ip:port,ip:port")
	withdraw := flags.Bool("withdraw", false, "take the data centre back")
	asJSON := flags.Bool("json", false, "print the list as JSON")
	timeout := flags.Duration("timeout", defaultTimeout, "give up after this `time`")
	switch err := flags.Parse(c.args); {
	case err == flag.ErrHelp:
		return exitOK
	case err != nil:
		return exitUsage
	}
	zone := flags.Arg(0)
	if *control == "" || flags.NArg() > 1 || *withdraw && zone == "" {
		fmt.Fprintln(c.errOut, "usage: bergamotctl evacuate -control IP:PORT[,IP:PORT] [-withdraw] [DATA_CENTRE]\nwithout a data centre those in force are listed")
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	o := &platform.Operator{Controls: strings.Split(*control, ",")}
	var err error
	switch {
	case zone == "":
		err = listEvacuated(ctx, c, o, *asJSON)
	case *withdraw:
		if err = o.Withdraw(ctx, zone); err == nil {
			fmt.Fprintf(c.out, "%s takes new flows again\n", zone)
		}
	default:
		if err = o.Evacuate(ctx, zone); err == nil {
			fmt.Fprintf(c.out, "%s is evacuated: its targets get no new flows\n", zone)
		}
	}
	return evacuateExit(c, err)
}

func listEvacuated(ctx context.Context, c *invocation, o *platform.Operator, asJSON bool) error {
	zones, err := o.Evacuated(ctx)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(c.out).Encode(zones)
	}
	if len(zones) == 0 {
		fmt.Fprintln(c.out, "no data centre is evacuated")
	}
	for _, z := range zones {
		fmt.Fprintf(c.out, "%s  evacuated since %s\n", z.Zone, z.Since.Format(time.RFC3339))
	}
	return nil
}

// evacuateExit prints err and returns its exit code.
func evacuateExit(c *invocation, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(c.errOut, "bergamotctl evacuate:", err)
	switch {
	case errors.Is(err, platform.ErrRefused):
		return exitRefused
	case errors.Is(err, platform.ErrUnanswered):
		return exitUnreachable
	}
	return exitFailed
}
