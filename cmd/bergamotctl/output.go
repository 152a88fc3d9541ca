package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/operator"
)

// printJSON writes v indented.
func (c *call) printJSON(v any) {
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// columns writes rows in columns.
func (c *call) columns(write func(row func(cells ...any))) {
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	write(func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	})
	_ = w.Flush()
}

// failed prints the error and returns the exit code that its kind has.
func (c *call) failed(o *options, err error) int {
	code := exitCode(err)
	if !o.json {
		fmt.Fprintln(c.errOut, err)
		return code
	}
	report := failureReport{Error: err.Error(), Exit: code}
	var conflict *catalogue.VersionConflict
	if errors.As(err, &conflict) {
		report.CurrentVersion = conflict.Current
	}
	var lost *operator.Unreachable
	if errors.As(err, &lost) {
		report.CommandID = lost.ID
	}
	c.printJSON(report)
	return code
}

// failureReport is a failed command's JSON.
type failureReport struct {
	Error string `json:"error"`
	Exit  int    `json:"exit"`
	// CurrentVersion is set after a conflict.
	CurrentVersion uint64 `json:"currentVersion,omitempty"`
	// CommandID repeats a command whose answer was lost.
	CommandID string `json:"commandId,omitempty"`
}

// exitCode tells errors apart for scripts.
func exitCode(err error) int {
	var (
		conflict *catalogue.VersionConflict
		lost     *operator.Unreachable
		failure  *operator.Failure
	)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, operator.ErrLagging):
		return exitLagging
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &lost):
		return exitUnreachable
	case errors.As(err, &failure):
		return exitRefused
	case refused(err):
		return exitRefused
	}
	return exitFailed
}

// refused tells whether the catalogue itself turned the command down.
func refused(err error) bool {
	var (
		preset  *catalogue.UnknownPreset
		service *catalogue.UnknownService
		invalid *catalogue.Invalid
		refusal *catalogue.Refusal
		reused  *catalogue.IdentityReused
	)
	return errors.As(err, &preset) || errors.As(err, &service) || errors.As(err, &invalid) ||
		errors.As(err, &refusal) || errors.As(err, &reused)
}
