package main

import (
	"context"
	"fmt"
	"time"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/operator"
	"bergamotstall/internal/settings"
	"bergamotstall/internal/table"
)

// changeFlags are the flags of the commands that change the catalogue.
type changeFlags struct {
	ifVersion uint64
	id        string
	wait      time.Duration
}

// addChangeFlags declares the flags of the commands that change the catalogue.
func (o *options) addChangeFlags() *changeFlags {
	f := new(changeFlags)
	o.flags.Uint64Var(&f.ifVersion, "if-version", 0, "change only if the catalogue has this `version`; 0 for any")
	o.flags.StringVar(&f.id, "command-id", "", "the command's `identity`: sent again, it brings the first outcome")
	o.flags.DurationVar(&f.wait, "wait", 0, "wait at most this `time` until every balancer has the change")
	return f
}

// changeResult is the result of a command that changes the catalogue; -json prints it.
type changeResult struct {
	CommandID string         `json:"commandId"`
	Version   uint64         `json:"version"`
	Revision  table.Revision `json:"revision"`
	Outcome   string         `json:"outcome"`
	// InForce says whether every live balancer has the change. It is set only with -wait.
	InForce *bool `json:"inForce,omitempty"`
	// AfterMS is the time from sending the change to the end of the wait, in milliseconds.
	AfterMS int64 `json:"afterMs,omitempty"`
	// Balancers is the number of live balancers that have the change.
	Balancers int `json:"balancers,omitempty"`
	// Lagging are the live balancers that don't have the change.
	Lagging []operator.BalancerStatus `json:"lagging,omitempty"`
}

// submit sends a change, waits for it with -wait, prints the result and returns the exit
// code.
func (c *invocation) submit(ctx context.Context, o *options, f *changeFlags, cmd catalogue.Command) int {
	ctx, cancel := context.WithTimeout(ctx, o.timeout+f.wait)
	defer cancel()
	cmd.ID, cmd.Expected = f.id, f.ifVersion
	if cmd.ID == "" {
		cmd.ID = operator.NewCommandID()
	}
	start := time.Now()
	out, err := o.client.Command(ctx, cmd)
	if err != nil {
		return c.printError(o, err)
	}
	result := changeResult{CommandID: cmd.ID, Version: out.Version, Revision: out.Revision, Outcome: out.Text}
	if f.wait > 0 {
		err = result.waitInForce(ctx, o.client, f.wait)
		result.AfterMS = time.Since(start).Milliseconds()
	}
	c.printChange(o, &result, err)
	return exitCode(err)
}

// waitInForce waits at most limit until every live balancer has the change, and records
// how far they are.
func (r *changeResult) waitInForce(ctx context.Context, client *operator.Client, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	fleet, err := client.WaitInForce(ctx, r.Revision)
	inForce := err == nil
	r.InForce = &inForce
	r.Lagging = fleet.Lagging(r.Revision)
	r.Balancers = fleet.Live() - len(r.Lagging)
	return err
}

func (c *invocation) printChange(o *options, r *changeResult, err error) {
	if o.json {
		c.printJSON(r)
		return
	}
	fmt.Fprintf(c.out, "%s (version %d, table revision %d, command %s)\n", r.Outcome, r.Version, r.Revision, r.CommandID)
	switch {
	case r.InForce == nil:
	case err == nil:
		fmt.Fprintf(c.out, "in force on all %d balancers after %d ms\n", r.Balancers, r.AfterMS)
	default:
		fmt.Fprintln(c.errOut, err)
		for _, b := range r.Lagging {
			fmt.Fprintf(c.errOut, "  %s\n", describeLag(b))
		}
	}
}

// describeLag returns a balancer's name, revision and the age of that information.
func describeLag(b operator.BalancerStatus) string {
	if !b.Heard {
		return fmt.Sprintf("%s (%s): no asked control VM has its stream", b.Name, b.DataCentre)
	}
	return fmt.Sprintf("%s (%s): revision %d, heard %d ms ago", b.Name, b.DataCentre, b.Revision, b.AgeMS)
}

func runApply(ctx context.Context, c *invocation) int {
	o := c.newOptions()
	f := o.addChangeFlags()
	file := o.flags.String("f", "", "YAML `file` with all services and presets")
	if code, done := o.parse(c, 0); done {
		return code
	}
	if *file == "" {
		fmt.Fprintln(c.errOut, "bergamotctl apply: -f FILE is missing")
		return exitUsage
	}
	definition := new(catalogue.Definition)
	if err := settings.Load(*file, definition); err != nil {
		fmt.Fprintln(c.errOut, err)
		return exitUsage
	}
	return c.submit(ctx, o, f, catalogue.Command{Apply: &catalogue.ApplyCatalogue{Definition: *definition}})
}

func runSwitch(ctx context.Context, c *invocation) int {
	o := c.newOptions()
	f := o.addChangeFlags()
	if code, done := o.parse(c, 1); done {
		return code
	}
	return c.submit(ctx, o, f, catalogue.Command{Switch: &catalogue.SwitchPreset{Preset: o.args[0]}})
}

func runDrain(ctx context.Context, c *invocation) int {
	o := c.newOptions()
	f := o.addChangeFlags()
	if code, done := o.parse(c, 1); done {
		return code
	}
	return c.submit(ctx, o, f, catalogue.Command{Drain: &catalogue.DrainHost{Host: o.args[0]}})
}

func runUndrain(ctx context.Context, c *invocation) int {
	o := c.newOptions()
	f := o.addChangeFlags()
	if code, done := o.parse(c, 1); done {
		return code
	}
	return c.submit(ctx, o, f, catalogue.Command{Undrain: &catalogue.UndrainHost{Host: o.args[0]}})
}
