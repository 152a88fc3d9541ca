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

// changeFlags are what every changing command takes.
type changeFlags struct {
	ifVersion uint64
	id        string
	wait      time.Duration
}

func (o *options) change() *changeFlags {
	f := new(changeFlags)
	o.flags.Uint64Var(&f.ifVersion, "if-version", 0, "change only if the catalogue has this `version`; 0 for any")
	o.flags.StringVar(&f.id, "command-id", "", "the command's `identity`: sent again, it brings the first outcome")
	o.flags.DurationVar(&f.wait, "wait", 0, "wait at most this `time` until every balancer has the change")
	return f
}

// changed is a changing command's result.
type changed struct {
	CommandID string         `json:"commandId"`
	Version   uint64         `json:"version"`
	Revision  table.Revision `json:"revision"`
	Outcome   string         `json:"outcome"`
	// InForce says whether every balancer has it, where -wait was given.
	InForce *bool `json:"inForce,omitempty"`
	// AfterMS is how long that took, in milliseconds.
	AfterMS int64 `json:"afterMs,omitempty"`
	// Balancers is how many live balancers have it.
	Balancers int `json:"balancers,omitempty"`
	// Lagging are the balancers that don't have it.
	Lagging []operator.BalancerStatus `json:"lagging,omitempty"`
}

// submit sends a change, waits if asked to, and reports.
func (c *call) submit(ctx context.Context, o *options, f *changeFlags, cmd catalogue.Command) int {
	ctx, cancel := context.WithTimeout(ctx, o.timeout+f.wait)
	defer cancel()
	cmd.ID, cmd.Expected = f.id, f.ifVersion
	if cmd.ID == "" {
		cmd.ID = operator.NewCommandID()
	}
	began := time.Now()
	out, err := o.client.Command(ctx, cmd)
	if err != nil {
		return c.failed(o, err)
	}
	result := changed{CommandID: cmd.ID, Version: out.Version, Revision: out.Revision, Outcome: out.Text}
	if f.wait > 0 {
		err = result.await(ctx, o.client, f.wait)
		result.AfterMS = time.Since(began).Milliseconds()
	}
	c.report(o, &result, err)
	return exitCode(err)
}

func (r *changed) await(ctx context.Context, client *operator.Client, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	fleet, err := client.WaitInForce(ctx, r.Revision)
	inForce := err == nil
	r.InForce = &inForce
	r.Lagging = fleet.Lagging(r.Revision)
	r.Balancers = fleet.Live() - len(r.Lagging)
	return err
}

func (c *call) report(o *options, r *changed, err error) {
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
			fmt.Fprintf(c.errOut, "  %s\n", lagLine(b))
		}
	}
}

// lagLine says where one balancer stands.
func lagLine(b operator.BalancerStatus) string {
	if !b.Heard {
		return fmt.Sprintf("%s (%s): no asked control VM has its stream", b.Name, b.DataCentre)
	}
	return fmt.Sprintf("%s (%s): revision %d, heard %d ms ago", b.Name, b.DataCentre, b.Revision, b.AgeMS)
}

func runApply(ctx context.Context, c *call) int {
	o := c.options()
	f := o.change()
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

func runSwitch(ctx context.Context, c *call) int {
	o := c.options()
	f := o.change()
	if code, done := o.parse(c, 1); done {
		return code
	}
	return c.submit(ctx, o, f, catalogue.Command{Switch: &catalogue.SwitchPreset{Preset: o.args[0]}})
}

func runDrain(ctx context.Context, c *call) int {
	o := c.options()
	f := o.change()
	if code, done := o.parse(c, 1); done {
		return code
	}
	return c.submit(ctx, o, f, catalogue.Command{Drain: &catalogue.DrainHost{Host: o.args[0]}})
}

func runUndrain(ctx context.Context, c *call) int {
	o := c.options()
	f := o.change()
	if code, done := o.parse(c, 1); done {
		return code
	}
	return c.submit(ctx, o, f, catalogue.Command{Undrain: &catalogue.UndrainHost{Host: o.args[0]}})
}
