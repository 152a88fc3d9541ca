package main

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/operator"
)

// Scripts branch on the exit code; each way to fail has its own, also where a
// layer has wrapped the error.
func TestExitCodes(t *testing.T) {
	conflict := catalogue.Outcome{Code: catalogue.Conflict, Version: 7}
	for _, c := range []struct {
		err  error
		want int
	}{
		{nil, exitOK},
		{errors.New("anything else"), exitFailed},
		{&catalogue.UnknownPreset{Preset: "peek"}, exitRefused},
		{&catalogue.UnknownService{Service: "case"}, exitRefused},
		{&catalogue.Invalid{Why: "no"}, exitRefused},
		{&catalogue.Refusal{Why: "no"}, exitRefused},
		{&catalogue.IdentityReused{ID: "x"}, exitRefused},
		{&operator.Failure{Code: operator.Denied}, exitRefused},
		{&operator.Failure{Code: operator.MembersRefused}, exitRefused},
		{conflict.Err(), exitConflict},
		{&operator.Unreachable{}, exitUnreachable},
		{operator.ErrLagging, exitLagging},
	} {
		if got := exitCode(c.err); got != c.want {
			t.Errorf("%v: exit code %d, expected %d", c.err, got, c.want)
		}
		if c.err == nil {
			continue
		}
		if got := exitCode(fmt.Errorf("outer: %w", c.err)); got != c.want {
			t.Errorf("%v, wrapped: exit code %d, expected %d", c.err, got, c.want)
		}
	}
}
