package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/operator"
)

// printJSON prints v as indented JSON.
func (c *invocation) printJSON(v any) {
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// printTable prints a table with aligned columns. write calls row for each row.
func (c *invocation) printTable(write func(row func(cells ...any))) {
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

// printError prints err, as JSON with -json, and returns its exit code.
func (c *invocation) printError(o *options, err error) int {
	code := exitCode(err)
	if !o.json {
		fmt.Fprintln(c.errOut, err)
		return code
	}
	failure := failureReport{Error: err.Error(), Exit: code}
	var conflict *catalogue.VersionConflict
	if errors.As(err, &conflict) {
		failure.CurrentVersion = conflict.Current
	}
	var unreachable *operator.Unreachable
	if errors.As(err, &unreachable) {
		failure.CommandID = unreachable.ID
	}
	c.printJSON(failure)
	return code
}

// failureReport is what a failed command prints with -json.
type failureReport struct {
	Error string `json:"error"`
	Exit  int    `json:"exit"`
	// CurrentVersion is the version of the catalogue, set only after a conflict.
	CurrentVersion uint64 `json:"currentVersion,omitempty"`
	// CommandID is the value of -command-id with which a command can be sent again safely
	// when it is unknown whether it was accepted.
	CommandID string `json:"commandId,omitempty"`
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var (
		conflict    *catalogue.VersionConflict
		unreachable *operator.Unreachable
		failure     *operator.Failure
	)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, operator.ErrLagging):
		return exitLagging
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &failure):
		return exitRefused
	case isRefusal(err):
		return exitRefused
	}
	return exitFailed
}

// isRefusal reports whether err says that the catalogue refused the command.
func isRefusal(err error) bool {
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
