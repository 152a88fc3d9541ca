package main

import (
	"context"
	"io"

	"github.com/sirupsen/logrus"

	"bergamotstall/control"
	"bergamotstall/platform"
)

func runControl(ctx context.Context, args []string, out, errOut io.Writer) int {
	s := new(control.Settings)
	return roleOf{
		name:     "control",
		settings: s,
		build:    func(log logrus.FieldLogger) (runner, error) { return control.New(*s, log) },
		placed:   platform.RunControl,
	}.run(ctx, args, out, errOut)
}
