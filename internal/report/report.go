// Package report turns one load or scenario run into a Markdown page with plots,
// so that an operator sees what a switch or a drain did to callers.
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
	folderMode = 0o755
	fileMode   = 0o644
	timesFile  = "times.png"
	brokenFile = "broken.png"
	sharesFile = "shares.png"
)

// Page is what a report shows.
type Page struct {
	Title string
	// Machine names where the run was made.
	Machine string
	Summary loadgen.Report
	Seconds []loadgen.Second
	Marks   []loadgen.Mark
	Shares  []check.Share
	// Verdicts are empty where the targets' ledgers weren't read.
	Verdicts []check.Verdict
}

// Write makes the folder and writes report.md and its plots into it.
func Write(folder string, p Page) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "report: folder")
	}
	if err := plotTimes(filepath.Join(folder, timesFile), p); err != nil {
		return err
	}
	if err := plotBroken(filepath.Join(folder, brokenFile), p); err != nil {
		return err
	}
	if err := plotShares(filepath.Join(folder, sharesFile), p); err != nil {
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
			fmt.Fprintf(w, "| %v | %s |\n", m.At.Round(time.Millisecond), m.What)
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
	fmt.Fprintf(w, "\n![answer times](%s)\n\n![broken, cut and refused](%s)\n\n![work per target](%s)\n", timesFile, brokenFile, sharesFile)
}

// WriteVerdicts prints one line for each promise, and what broke it.
func WriteVerdicts(w io.Writer, all []check.Verdict) {
	for _, v := range all {
		word := "held  "
		switch {
		case !v.Held():
			word = "BROKEN"
		case v.Looked == 0:
			word = "empty "
		}
		fmt.Fprintf(w, "%s  %-38s %7d looked at, %d violations\n", word, v.Promise, v.Looked, v.Count)
		for _, line := range v.Violations {
			fmt.Fprintf(w, "        %s\n", line)
		}
	}
}
