package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/logsink"
	"bergamotstall/internal/settings"
	"bergamotstall/internal/wait"
	"bergamotstall/platform"
)

// runner is a role that is ready to run.
type runner interface {
	// Run returns after a graceful stop once ctx is done.
	Run(ctx context.Context) error
}

// roleOf is what the roles with a settings file have in common: flags, strict
// settings, the events of every process and the exit codes.
type roleOf struct {
	name string
	// settings is decoded into and judged before build is called.
	settings settings.Checked
	build    func(log logrus.FieldLogger) (runner, error)
	// placed runs the role by the settings that the platform places.
	placed func(ctx context.Context, path string, log logrus.FieldLogger) error
}

// run serves the role until ctx is done.
func (r roleOf) run(ctx context.Context, args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("bergamotstall "+r.name, flag.ContinueOnError)
	flags.SetOutput(errOut)
	file := flags.String("settings", "", "the role's YAML `file`; see examples/")
	check := flags.Bool("check", false, "check the settings and end")
	placed := flags.Bool("platform", false, "carry pass-through flows on the users' platform, by the settings that it places")
	switch err := flags.Parse(args); {
	case err == flag.ErrHelp:
		return exitOK
	case err != nil:
		return exitUsage
	case *placed && *file == "" && !*check && flags.NArg() == 0:
		return r.onPlatform(ctx, out, errOut)
	case *file == "" || flags.NArg() > 0:
		fmt.Fprintf(errOut, "usage: bergamotstall %s -settings FILE [-check] | -platform\n", r.name)
		return exitUsage
	}
	log := logrus.New()
	log.SetOutput(errOut)
	if err := settings.Load(*file, r.settings); err != nil {
		fmt.Fprintln(errOut, err)
		events.Log(log, events.SettingsRefused, logrus.Fields{"role": r.name, "file": *file})
		return exitUsage
	}
	if *check {
		fmt.Fprintf(out, "%s: settings of a %s are good\n", *file, r.name)
		return exitOK
	}
	return r.serve(ctx, log)
}

// onPlatform runs the role by the platform's settings. Log lines go to out and
// never make the role wait.
func (r roleOf) onPlatform(ctx context.Context, out, errOut io.Writer) int {
	path, err := platform.SettingsPath()
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	sink := logsink.New(out)
	defer sink.Close()
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log.SetOutput(sink)
	tell, stop := context.WithCancel(ctx)
	defer stop()
	go tellDropped(tell, sink, log)
	events.Log(log, events.ProcessStarted, logrus.Fields{"role": r.name, "settings": path})
	stopping := context.AfterFunc(ctx, func() {
		events.Log(log, events.ProcessStopping, logrus.Fields{"role": r.name})
	})
	defer stopping()
	err = r.placed(ctx, path, log)
	events.Log(log, events.ProcessStopped, logrus.Fields{"role": r.name, "error": err})
	if err != nil {
		return exitFailed
	}
	return exitOK
}

// tellDropped logs how many lines were left out.
func tellDropped(ctx context.Context, sink *logsink.Sink, log logrus.FieldLogger) {
	for wait.For(ctx, logsink.DropInterval) {
		if n := sink.Dropped(); n > 0 {
			events.Log(log, events.LogLinesDropped, logrus.Fields{"lines": n})
		}
	}
}

func (r roleOf) serve(ctx context.Context, log logrus.FieldLogger) int {
	process, err := r.build(log)
	if err != nil {
		log.WithError(err).Error("start failed")
		return exitFailed
	}
	events.Log(log, events.ProcessStarted, logrus.Fields{"role": r.name})
	stop := context.AfterFunc(ctx, func() {
		events.Log(log, events.ProcessStopping, logrus.Fields{"role": r.name})
	})
	defer stop()
	err = process.Run(ctx)
	events.Log(log, events.ProcessStopped, logrus.Fields{"role": r.name, "error": err})
	if err != nil {
		return exitFailed
	}
	return exitOK
}
