// Package demo runs every role on loopback in one process. Callers send requests while
// a balancer crashes, targets stop as planned and the preset is switched.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/check"
	"bergamotstall/internal/report"
	"bergamotstall/internal/scenario"
)

// ShortestRun is the shortest run in which every step takes effect.
const ShortestRun = 10 * time.Second

// Options are the settings of the demo.
type Options struct {
	// Layout is the name of a layout, as for scenario.LayoutByName.
	Layout string
	// For is how long callers send requests. If zero, there are no callers and the
	// system runs until the context is done.
	For time.Duration
	// Folder holds the keys and control's state; if empty, a temporary folder is used.
	Folder string
	// Report is the folder for a report page with plots; if empty, none is written.
	Report string
	Seed   uint64
	// Net is the /24 of 127.0.0.0/8 to use.
	Net scenario.Net
	Out io.Writer
	Log logrus.FieldLogger
}

// ErrPromiseBroken is returned if a check of the run failed.
var ErrPromiseBroken = errors.New("demo: a promise did not hold")

// Run runs the demo. It returns nil only if every check held: no flow broke, no
// submission ran twice or was lost, and no answer belonged to another request.
func Run(ctx context.Context, o Options) error {
	l, err := scenario.LayoutByName(o.Layout)
	if err != nil {
		return err
	}
	folder, remove, err := createFolder(o)
	if err != nil {
		return err
	}
	defer remove()
	f, err := scenario.Open(scenario.Config{
		Layout: l, Net: o.Net, Folder: folder, Seed: o.Seed, Launcher: scenario.InProcess{Log: o.Log}, Log: o.Log,
	})
	defer func() {
		if err := f.Close(); err != nil {
			fmt.Fprintln(o.Out, err)
		}
	}()
	if err != nil {
		return err
	}
	runner, err := scenario.NewRunner(ctx, f, func(format string, args ...any) { fmt.Fprintf(o.Out, format+"\n", args...) })
	if err != nil {
		return err
	}
	if o.For == 0 {
		serveUntilDone(ctx, f, o.Out)
		return nil
	}
	return runScenario(ctx, o, runner)
}

func runScenario(ctx context.Context, o Options, runner *scenario.Runner) error {
	r, failed := runner.Run(ctx, scenario.Scenario{Name: "demo", Steps: steps(runner.Layout)}, o.For)
	fmt.Fprintln(o.Out)
	r.Write(o.Out)
	if o.Report != "" {
		if err := report.Write(o.Report, r.Page(runner.Layout.Name)); err != nil {
			return err
		}
	}
	if failed != nil {
		return failed
	}
	if !check.Held(r.Verdicts) {
		return ErrPromiseBroken
	}
	return nil
}

// steps returns the steps that the demo executes while callers send requests.
func steps(l scenario.Layout) []scenario.Step {
	first, second := l.Services[0].Name, l.Services[1].Name
	drained, replaced, stopped := first+"-2", first+"-4", second+"-1"
	return []scenario.Step{
		{At: 0.08, Name: "balancer-2 dies", Do: func(_ context.Context, run *scenario.Runner) error { return run.KillBalancer(1) }},
		{At: 0.20, Name: "balancer-2 joins", Do: func(ctx context.Context, run *scenario.Runner) error { return run.StartBalancerAndWait(ctx, 1) }},
		{At: 0.28, Name: "switch to peak", Do: func(ctx context.Context, run *scenario.Runner) error { return run.SwitchTo(ctx, scenario.PresetPeak) }},
		{At: 0.38, Name: "drain " + drained, Do: func(ctx context.Context, run *scenario.Runner) error { return run.Drain(ctx, drained) }},
		{At: 0.50, Name: "undrain " + drained, Do: func(ctx context.Context, run *scenario.Runner) error { return run.Undrain(ctx, drained) }},
		{At: 0.55, Name: "planned stop of " + replaced, Do: func(ctx context.Context, run *scenario.Runner) error { return run.StopHost(ctx, replaced) }},
		{At: 0.66, Name: replaced + " is back", Do: func(ctx context.Context, run *scenario.Runner) error { return run.RestartHost(ctx, replaced) }},
		{At: 0.72, Name: "switch to maintenance", Do: func(ctx context.Context, run *scenario.Runner) error {
			return run.SwitchTo(ctx, scenario.PresetMaintenance)
		}},
		{At: 0.82, Name: "planned stop of " + stopped, Do: func(ctx context.Context, run *scenario.Runner) error { return run.StopHost(ctx, stopped) }},
	}
}

func createFolder(o Options) (string, func(), error) {
	if o.Folder != "" {
		return o.Folder, func() {}, nil
	}
	folder, err := os.MkdirTemp("", "bergamotstall-demo-")
	if err != nil {
		return "", nil, errors.Wrap(err, "demo: folder")
	}
	return folder, func() { _ = os.RemoveAll(folder) }, nil
}

// serveUntilDone prints the addresses to use and waits until ctx is done.
func serveUntilDone(ctx context.Context, f *scenario.Fleet, w io.Writer) {
	fmt.Fprintln(w, "\ncallers:")
	for _, s := range f.Layout.Services {
		fmt.Fprintf(w, "  bergamotctl call -ca %s 'https://%s/download?bytes=100'   (%s)\n", f.CallerCertificateFile(), s.Address(f.Net), s.Name)
		fmt.Fprintf(w, "  bergamotctl load -ca %s -service %s %s\n", f.CallerCertificateFile(), s.Name, s.Address(f.Net))
	}
	certificate, err := f.IssueOperatorCertificate("demo")
	if err != nil {
		fmt.Fprintln(w, err)
		return
	}
	fmt.Fprintf(w, "operators:\n  bergamotctl status -control %s -tls-authority %s -tls-certificate %s -tls-key %s\n",
		strings.Join(f.OperatorAddresses(), ","), certificate.Authority, certificate.Certificate, certificate.Key)
	fmt.Fprintln(w, "stop with Ctrl-C")
	<-ctx.Done()
}
