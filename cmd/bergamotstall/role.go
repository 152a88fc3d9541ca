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

// runner is a configured role.
type runner interface {
	// Run runs the role until ctx is done, stops it gracefully and returns.
	Run(ctx context.Context) error
}

// serverRole implements what the balancer, agent and control roles have in common: flags,
// loading of settings, the process's log events and the exit codes.
type serverRole struct {
	name string
	// settings is loaded and validated before newRunner is called.
	settings  settings.Validator
	newRunner func(log logrus.FieldLogger) (runner, error)
	// runOnPlatform runs the role with the settings file that the users' platform provides.
	// It returns after a graceful stop once ctx is done.
	runOnPlatform func(ctx context.Context, path string, log logrus.FieldLogger) error
}

// run parses the flags, loads the settings, runs the role until ctx is done, and returns
// the exit code.
func (r serverRole) run(ctx context.Context, args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("bergamotstall "+r.name, flag.ContinueOnError)
	flags.SetOutput(errOut)
	file := flags.String("settings", "", "the role's YAML `file`; see examples/")
	check := flags.Bool("check", false, "check the settings and end")
	usePlatform := flags.Bool("platform", false, "carry pass-through flows on the users' platform, by the settings that it places")
	switch err := flags.Parse(args); {
	case err == flag.ErrHelp:
		return exitOK
	case err != nil:
		return exitUsage
	case *usePlatform && *file == "" && !*check && flags.NArg() == 0:
		return r.serveOnPlatform(ctx, out, errOut)
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

// serveOnPlatform runs the role with the platform's settings. It logs JSON lines to out
// through a logsink, so that logging never blocks the role.
func (r serverRole) serveOnPlatform(ctx context.Context, out, errOut io.Writer) int {
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
	dropCtx, stop := context.WithCancel(ctx)
	defer stop()
	go logDropped(dropCtx, sink, log)
	events.Log(log, events.ProcessStarted, logrus.Fields{"role": r.name, "settings": path})
	cancelStopEvent := context.AfterFunc(ctx, func() {
		events.Log(log, events.ProcessStopping, logrus.Fields{"role": r.name})
	})
	defer cancelStopEvent()
	err = r.runOnPlatform(ctx, path, log)
	events.Log(log, events.ProcessStopped, logrus.Fields{"role": r.name, "error": err})
	if err != nil {
		return exitFailed
	}
	return exitOK
}

// logDropped logs, each logsink.DropInterval, how many log lines were dropped, if any.
func logDropped(ctx context.Context, sink *logsink.Sink, log logrus.FieldLogger) {
	for wait.For(ctx, logsink.DropInterval) {
		if n := sink.TakeDropped(); n > 0 {
			events.Log(log, events.LogLinesDropped, logrus.Fields{"lines": n})
		}
	}
}

// serve runs the role with the loaded settings and returns the exit code.
func (r serverRole) serve(ctx context.Context, log logrus.FieldLogger) int {
	process, err := r.newRunner(log)
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
