package main

import (
	"context"
	"fmt"
	"time"

	"bergamotstall/internal/loadgen"
	"bergamotstall/internal/report"
)

// runLoad generates load on one service as callers do, and prints a summary.
func runLoad(ctx context.Context, c *invocation) int {
	f := c.newCallerFlags()
	spec := loadgen.Spec{}
	f.flags.StringVar(&spec.Service, "service", "", "the service's `name`; answers of another are counted as damaged")
	f.flags.IntVar(&spec.Flows, "flows", 10, "flows open at once (closed loop), or at most (open loop)")
	f.flags.Float64Var(&spec.Rate, "rate", 0, "new flows a second (open loop); 0 is a closed loop")
	f.flags.IntVar(&spec.RequestsPerFlow, "requests", 10, "requests on each flow")
	f.flags.IntVar(&spec.Mix.Download, "downloads", 2, "`weight` of downloads among the requests")
	f.flags.IntVar(&spec.Mix.Submit, "submissions", 1, "`weight` of submissions")
	f.flags.IntVar(&spec.Mix.Feed, "feeds", 0, "`weight` of feeds")
	f.flags.IntVar(&spec.DownloadBytes, "bytes", 256<<10, "size of a download")
	f.flags.DurationVar(&spec.FeedFor, "feed-for", 10*time.Second, "how long a feed stays open")
	f.flags.DurationVar(&spec.Pause, "pause", 0, "a caller's own time between two requests")
	f.flags.BoolVar(&spec.Keyed, "keyed", true, "submissions carry an Idempotency-Key and are sent again with it")
	f.flags.Uint64Var(&spec.Seed, "seed", 1, "`seed` of what callers do")
	length := f.flags.Duration("for", 10*time.Second, "how long new requests are begun")
	folder := f.flags.String("report", "", "`folder` for a page with plots")
	if code, done := f.parse(c, 1); done {
		return code
	}
	spec.Address, spec.Timeout = f.flags.Arg(0), f.timeout
	config, err := f.tlsConfig()
	if err != nil {
		fmt.Fprintln(c.errOut, "bergamotctl load:", err)
		return exitUsage
	}
	spec.TLS = config
	rec := loadgen.NewRecorder()
	ctx, cancel := context.WithTimeout(ctx, *length)
	defer cancel()
	if err := loadgen.Run(ctx, spec, rec); err != nil {
		fmt.Fprintln(c.errOut, "bergamotctl load:", err)
		return exitUsage
	}
	return c.reportLoad(rec, f.json, *folder, spec)
}

// reportLoad prints the summary, writes a report into the folder if it is given, and
// returns the exit code: exitUnreachable if no flow could be opened, exitFailed if flows
// broke or answers were damaged or cut.
func (c *invocation) reportLoad(rec *loadgen.Recorder, json bool, folder string, spec loadgen.Spec) int {
	summary := rec.Report()
	if json {
		c.printJSON(summary)
	} else {
		summary.Write(c.out)
	}
	if folder != "" {
		page := report.Page{
			Title: "Load on " + spec.Service, Machine: report.Machine(),
			Summary: summary, Seconds: rec.Seconds(), Marks: rec.Marks(),
		}
		if err := report.Write(folder, page); err != nil {
			fmt.Fprintln(c.errOut, "bergamotctl load:", err)
			return exitFailed
		}
	}
	switch {
	case summary.FlowsOpened == 0:
		return exitUnreachable
	case summary.FlowsBroken > 0 || summary.Damaged > 0 || summary.Cut > 0:
		return exitFailed
	}
	return exitOK
}
