package scenario

import (
	"fmt"
	"io"
	"time"

	"bergamotstall/internal/check"
	"bergamotstall/internal/report"
)

// Write prints the summary and the verdicts.
func (r Result) Write(w io.Writer) {
	r.Summary.Write(w)
	for _, i := range check.Imbalances(r.Shares) {
		fmt.Fprintf(w, "imbalance %-18s max/mean %.3f, variation %.3f over %d hosts\n", i.Service, i.MaxToMean, i.Variation, i.Hosts)
	}
	for _, s := range r.Record.Switches {
		fmt.Fprintf(w, "switch to %-12s in force everywhere after %v\n", s.Preset, s.Took.Round(time.Millisecond))
	}
	fmt.Fprintln(w)
	report.WriteVerdicts(w, r.Verdicts)
}

// Page returns the result as a report page.
func (r Result) Page(layout string) report.Page {
	return report.Page{
		Title: r.Scenario + ", " + layout, Machine: report.Machine(), Summary: r.Summary,
		Seconds: r.Seconds, Marks: r.Marks, Shares: r.Shares, Verdicts: r.Verdicts,
	}
}
