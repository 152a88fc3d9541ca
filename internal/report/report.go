// Package report writes the results of a load or scenario run as a Markdown page with
// plots. It shows operators how, for instance, a preset switch or a drain affected callers.
package report

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/check"
	"bergamotstall/internal/loadgen"
)

const (
	folderMode    = 0o755
	fileMode      = 0o644
	latenciesFile = "times.png"
	failuresFile  = "broken.png"
	sharesFile    = "shares.png"
)

// Page is the content of a report.
type Page struct {
	Title string
	// Machine describes the machine that the run was made on, as Machine returns it.
	Machine string
	Summary loadgen.Report
	Seconds []loadgen.Second
	// Marks are what was done to the system during the run.
	Marks []loadgen.Mark
	// Shares are the requests that each target ran.
	Shares []check.Share
	// Verdicts are the results of the checks, or empty if the targets' ledgers, which the
	// checks need, weren't read.
	Verdicts []check.Verdict
}

// Write writes report.md and its plots into a folder, which it creates if it doesn't exist.
func Write(folder string, p Page) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "report: folder")
	}
	if err := plotLatencies(filepath.Join(folder, latenciesFile), p); err != nil {
		return err
	}
	if err := plotFailures(filepath.Join(folder, failuresFile), p); err != nil {
		return err
	}
	if err := plotWorkPerTarget(filepath.Join(folder, sharesFile), p); err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Join(folder, "report.md"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "report: page")
	}
	writePage(file, p)
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "report: page")
	}
	return nil
}

func writePage(w io.Writer, p Page) {
	fmt.Fprintf(w, "# %s\n\nMachine: %s\n\n```\n", p.Title, p.Machine)
	p.Summary.Write(w)
	fmt.Fprint(w, "```\n\n")
	if len(p.Marks) > 0 {
		fmt.Fprint(w, "## What was done\n\n| after | what |\n|---|---|\n")
		for _, m := range p.Marks {
			fmt.Fprintf(w, "| %v | %s |\n", m.At.Round(time.Millisecond), m.Name)
		}
		fmt.Fprintln(w)
	}
	if len(p.Verdicts) > 0 {
		fmt.Fprint(w, "## Promises\n\n```\n")
		WriteVerdicts(w, p.Verdicts)
		fmt.Fprint(w, "```\n\n")
	}
	fmt.Fprint(w, "## Imbalance\n\n| service | hosts | max/mean | coefficient of variation |\n|---|---|---|---|\n")
	for _, i := range check.Imbalances(p.Shares) {
		fmt.Fprintf(w, "| %s | %d | %.3f | %.3f |\n", i.Service, i.Hosts, i.MaxToMean, i.Variation)
	}
	fmt.Fprintf(w, "\n![answer times](%s)\n\n![broken, cut and refused](%s)\n\n![work per target](%s)\n", latenciesFile, failuresFile, sharesFile)
}

// WriteVerdicts prints one line for each promise that was checked, and the violations
// below it.
func WriteVerdicts(w io.Writer, verdicts []check.Verdict) {
	for _, verdict := range verdicts {
		result := "held  "
		switch {
		case !verdict.Held():
			result = "BROKEN"
		case verdict.Checked == 0:
			result = "empty "
		}
		fmt.Fprintf(w, "%s  %-38s %7d looked at, %d violations\n", result, verdict.Promise, verdict.Checked, verdict.Count)
		for _, line := range verdict.Violations {
			fmt.Fprintf(w, "        %s\n", line)
		}
	}
}
