package main

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/operator"
)

// Guards against scripts that take the wrong branch: each kind of failure must have its
// exit code, also if the error is wrapped.
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
