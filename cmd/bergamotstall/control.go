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
	return serverRole{
		name:          "control",
		settings:      s,
		newRunner:     func(log logrus.FieldLogger) (runner, error) { return control.New(*s, log) },
		runOnPlatform: platform.RunControl,
	}.run(ctx, args, out, errOut)
}
