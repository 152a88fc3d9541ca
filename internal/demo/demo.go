// Package demo is what a newcomer runs first: every role on loopback in one
// process, with callers at work while a balancer dies, targets stop as planned
// and the preset is switched.
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

// ShortestRun leaves each step of the timeline time to show.
const ShortestRun = 10 * time.Second

// Options are what a user of the demo sets.
type Options struct {
	// Layout is a user's installation, as scenario.LayoutNamed knows it.
	Layout string
	// For is how long callers run; zero keeps the system up without callers.
	For time.Duration
	// Folder holds keys and control's state; empty is a temporary one.
	Folder string
	// Report is the folder for a page with plots; empty writes none.
	Report string
	Seed   uint64
	// Net is the /24 of 127.0.0.0/8 that is used.
	Net scenario.Net
	Out io.Writer
	Log logrus.FieldLogger
}

// ErrPromise is returned where a promise did not hold in the run.
var ErrPromise = errors.New("demo: a promise did not hold")

// Run plays the demo. It returns nil only if nothing was broken, doubled, lost
// or crossed.
func Run(ctx context.Context, o Options) error {
	l, err := scenario.LayoutNamed(o.Layout)
	if err != nil {
		return err
	}
	folder, remove, err := folderOf(o)
	if err != nil {
		return err
	}
	defer remove()
	f, err := scenario.Open(scenario.Config{
		Layout: l, Net: o.Net, Folder: folder, Seed: o.Seed, Launch: scenario.InProcess{Log: o.Log}, Log: o.Log,
	})
	defer func() {
		if err := f.Close(); err != nil {
			fmt.Fprintln(o.Out, err)
		}
	}()
	if err != nil {
		return err
	}
	p, err := scenario.NewPlay(ctx, f, func(format string, args ...any) { fmt.Fprintf(o.Out, format+"\n", args...) })
	if err != nil {
		return err
	}
	if o.For == 0 {
		stayUp(ctx, f, o.Out)
		return nil
	}
	return judge(ctx, o, p)
}

func judge(ctx context.Context, o Options, p *scenario.Play) error {
	r, failed := p.Run(ctx, scenario.Scenario{Name: "demo", Steps: timeline(p.Layout)}, o.For)
	fmt.Fprintln(o.Out)
	r.Write(o.Out)
	if o.Report != "" {
		if err := report.Write(o.Report, r.Page(p.Layout.Name)); err != nil {
			return err
		}
	}
	if failed != nil {
		return failed
	}
	if !check.Held(r.Verdicts) {
		return ErrPromise
	}
	return nil
}

// timeline is what the demo does while callers are at work.
func timeline(l scenario.Layout) []scenario.Step {
	first, second := l.Services[0].Name, l.Services[1].Name
	drained, replaced, leaving := first+"-2", first+"-4", second+"-1"
	return []scenario.Step{
		{At: 0.08, What: "balancer-2 dies", Do: func(_ context.Context, p *scenario.Play) error { return p.KillBalancer(1) }},
		{At: 0.20, What: "balancer-2 joins", Do: func(ctx context.Context, p *scenario.Play) error { return p.JoinBalancer(ctx, 1) }},
		{At: 0.28, What: "switch to peak", Do: func(ctx context.Context, p *scenario.Play) error { return p.SwitchTo(ctx, scenario.Peak) }},
		{At: 0.38, What: "drain " + drained, Do: func(ctx context.Context, p *scenario.Play) error { return p.Drain(ctx, drained) }},
		{At: 0.50, What: "undrain " + drained, Do: func(ctx context.Context, p *scenario.Play) error { return p.Undrain(ctx, drained) }},
		{At: 0.55, What: "planned stop of " + replaced, Do: func(ctx context.Context, p *scenario.Play) error { return p.StopHost(ctx, replaced) }},
		{At: 0.66, What: replaced + " is back", Do: func(ctx context.Context, p *scenario.Play) error { return p.ReturnHost(ctx, replaced) }},
		{At: 0.72, What: "switch to maintenance", Do: func(ctx context.Context, p *scenario.Play) error { return p.SwitchTo(ctx, scenario.Maintenance) }},
		{At: 0.82, What: "planned stop of " + leaving, Do: func(ctx context.Context, p *scenario.Play) error { return p.StopHost(ctx, leaving) }},
	}
}

func folderOf(o Options) (string, func(), error) {
	if o.Folder != "" {
		return o.Folder, func() {}, nil
	}
	folder, err := os.MkdirTemp("", "bergamotstall-demo-")
	if err != nil {
		return "", nil, errors.Wrap(err, "demo: folder")
	}
	return folder, func() { _ = os.RemoveAll(folder) }, nil
}

// stayUp prints where everything listens and waits.
func stayUp(ctx context.Context, f *scenario.Fleet, w io.Writer) {
	fmt.Fprintln(w, "\ncallers:")
	for _, s := range f.Layout.Services {
		fmt.Fprintf(w, "  bergamotctl call -ca %s 'https://%s/download?bytes=100'   (%s)\n", f.CallersCertificate(), s.Address(f.Net), s.Name)
		fmt.Fprintf(w, "  bergamotctl load -ca %s -service %s %s\n", f.CallersCertificate(), s.Name, s.Address(f.Net))
	}
	identity, err := f.OperatorIdentity("demo")
	if err != nil {
		fmt.Fprintln(w, err)
		return
	}
	fmt.Fprintf(w, "operators:\n  bergamotctl status -control %s -tls-authority %s -tls-certificate %s -tls-key %s\n",
		strings.Join(f.OperatorAddresses(), ","), identity.Authority, identity.Certificate, identity.Key)
	fmt.Fprintln(w, "stop with Ctrl-C")
	<-ctx.Done()
}
