package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/check"
	"bergamotstall/internal/load"
	"bergamotstall/internal/report"
)

// Options are what a user of the demo sets.
type Options struct {
	// Layout is a user's installation, as LayoutNamed knows it.
	Layout string
	// For is how long callers run; zero keeps the system up without callers.
	For time.Duration
	// Folder holds keys and control's state; empty is a temporary one.
	Folder string
	// Report is the folder for a page with plots; empty writes none.
	Report string
	Seed   uint64
	// Net is the /24 of 127.0.0.0/8 that is used.
	Net Net
	Out io.Writer
	Log logrus.FieldLogger
}

// ErrPromise is returned where a promise did not hold in the run.
var ErrPromise = errors.New("demo: a promise did not hold")

// Run plays the demo. It returns nil only if nothing was broken, doubled, lost
// or crossed.
func Run(ctx context.Context, o Options) error {
	l, err := LayoutNamed(o.Layout)
	if err != nil {
		return err
	}
	folder, remove, err := folderOf(o)
	if err != nil {
		return err
	}
	defer remove()
	f, err := open(l, o.Net, folder, o.Seed, o.Log)
	if f != nil {
		defer func() {
			if err := f.close(); err != nil {
				fmt.Fprintln(o.Out, err)
			}
		}()
	}
	if err != nil {
		return err
	}
	p := &play{fleet: f, rec: load.NewRecorder()}
	p.progress = func(format string, args ...any) { fmt.Fprintf(o.Out, format+"\n", args...) }
	if err := p.ready(ctx); err != nil {
		return err
	}
	if o.For == 0 {
		p.stayUp(ctx, o.Out)
		return nil
	}
	return p.run(ctx, o)
}

func folderOf(o Options) (string, func(), error) {
	if o.Folder != "" {
		return o.Folder, func() {}, os.MkdirAll(o.Folder, folderMode)
	}
	folder, err := os.MkdirTemp("", "bergamotstall-demo-")
	if err != nil {
		return "", nil, errors.Wrap(err, "demo: folder")
	}
	return folder, func() { _ = os.RemoveAll(folder) }, nil
}

// ready applies the layout's catalogue and waits for every target.
func (p *play) ready(ctx context.Context) error {
	began := time.Now()
	definition := p.layout.Definition(p.net)
	for {
		_, err := p.command(ctx, catalogue.Command{Apply: &catalogue.ApplyCatalogue{Definition: definition}})
		if err == nil {
			break
		}
		if ctx.Err() != nil || time.Since(began) > readyTime {
			return err
		}
		time.Sleep(readyPause)
	}
	if err := p.awaitTargets(ctx, len(p.hosts)); err != nil {
		return err
	}
	p.progress("%s: %d control VMs, %d balancers, %d hosts ready after %v",
		p.layout.Name, len(p.controls), len(p.entries), len(p.hosts), time.Since(began).Round(time.Millisecond))
	return nil
}

// stayUp prints where everything listens and waits.
func (p *play) stayUp(ctx context.Context, w io.Writer) {
	fmt.Fprintln(w, "\ncallers' addresses (certificate: "+p.path("callers.pem")+"):")
	for _, s := range p.layout.Services {
		fmt.Fprintf(w, "  %-18s https://%s\n", s.Name, s.Address(p.net))
	}
	fmt.Fprintf(w, "operators: bergamotctl status -control %s\n", join(p.operatorAddresses()))
	fmt.Fprintln(w, "counters:  http://"+p.net.address(balancerFirst, balancerVars)+"/debug/vars and alike")
	fmt.Fprintln(w, "stop with Ctrl-C")
	<-ctx.Done()
}

func join(all []string) string {
	out := ""
	for i, s := range all {
		if i > 0 {
			out += ","
		}
		out += s
	}
	return out
}

// run plays callers and the timeline, and judges the run.
func (p *play) run(ctx context.Context, o Options) error {
	began := time.Now()
	callers, endCallers := context.WithTimeout(ctx, o.For)
	defer endCallers()
	var wg sync.WaitGroup
	for _, spec := range p.specs(o.For, o.Seed) {
		wg.Go(func() {
			if err := load.Run(callers, spec, p.rec); err != nil {
				p.progress("callers of %s: %v", spec.Service, err)
			}
		})
	}
	looking, endLooking := context.WithCancel(ctx)
	looks := make(chan []check.InForce, 1)
	go func() { looks <- p.look(looking) }()

	failed := p.playTimeline(callers, began, o.For)
	wg.Wait()
	endLooking()
	got := <-looks
	return p.judge(o, got, failed)
}

func (p *play) playTimeline(ctx context.Context, began time.Time, length time.Duration) error {
	var failed error
	for _, s := range timeline(p.layout) {
		at := time.Duration(float64(length) * s.at)
		if !sleepUntil(ctx, began.Add(at)) {
			return failed
		}
		p.progress("%s", describe(time.Since(began), s.what))
		p.rec.Mark(s.what)
		if err := s.do(ctx, p); err != nil {
			p.progress("  failed: %v", err)
			failed = errors.Join(failed, err)
		}
	}
	return failed
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// judge prints the closing table and returns ErrPromise where one broke.
func (p *play) judge(o Options, looks []check.InForce, failed error) error {
	record := p.rec.Record()
	record.Runs = p.ledgers()
	record.Drains = p.record.Drains
	record.Switches = p.record.Switches
	record.Looks = looks
	verdicts := check.All(record, check.DefaultLimits())
	shares := check.Shares(record.Runs)

	fmt.Fprintln(o.Out)
	p.rec.Report().Write(o.Out)
	for _, i := range check.Imbalances(shares) {
		fmt.Fprintf(o.Out, "imbalance %-18s max/mean %.3f, variation %.3f over %d hosts\n", i.Service, i.MaxToMean, i.Variation, i.Hosts)
	}
	for _, s := range record.Switches {
		fmt.Fprintf(o.Out, "switch to %-12s in force everywhere after %v\n", s.Preset, s.Took.Round(time.Millisecond))
	}
	fmt.Fprintln(o.Out)
	report.WriteVerdicts(o.Out, verdicts)
	if o.Report != "" {
		page := report.Page{
			Title: "Demo of " + p.layout.Name, Machine: report.Machine(), Summary: p.rec.Report(),
			Seconds: p.rec.Seconds(), Marks: p.rec.Marks(), Shares: shares, Verdicts: verdicts,
		}
		if err := report.Write(o.Report, page); err != nil {
			return err
		}
	}
	if failed != nil {
		return failed
	}
	if !check.Held(verdicts) {
		return ErrPromise
	}
	return nil
}
