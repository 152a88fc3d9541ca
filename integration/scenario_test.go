package integration

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/check"
	"bergamotstall/internal/report"
	"bergamotstall/internal/scenario"
)

// Environment of longer runs.
const (
	// lengthVar sets the callers' time of each scenario, such as 60s.
	lengthVar = "BERGAMOTSTALL_SCENARIO"
	// reportVar names a folder for a page with plots of each scenario.
	reportVar = "BERGAMOTSTALL_REPORT"
)

const (
	usualLength = 12 * time.Second
	seed        = 42
)

// nets hands each fleet a /24 of its own, away from the demo's default.
var nets atomic.Uint32

func nextNet() scenario.Net { return scenario.Net(100 + nets.Add(1)) }

func length(t *testing.T) time.Duration {
	text := os.Getenv(lengthVar)
	if text == "" {
		return usualLength
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("%s: %v", lengthVar, err)
	}
	return d
}

// rig is one fleet of processes.
type rig struct {
	*scenario.Play
	procs *processes
	links *links
}

// newRig starts a fleet; proxied puts toxiproxy on every control link.
func newRig(t *testing.T, layout scenario.Layout, proxied bool) *rig {
	t.Helper()
	folder := t.TempDir()
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(logrus.ErrorLevel)
	r := &rig{procs: newProcesses(t, folder)}
	cfg := scenario.Config{Layout: layout, Net: nextNet(), Folder: folder, Seed: seed, Launch: r.procs, Log: log}
	if proxied {
		r.links = newLinks(t, cfg.Net)
		cfg.Via, cfg.ProxyIPs = r.links.via, r.links.ips()
	}
	f, err := scenario.Open(cfg)
	t.Cleanup(func() {
		if t.Failed() {
			keepLogs(t, folder)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r.Play, err = scenario.NewPlay(ctx, f, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// play runs a scenario, prints every promise with its counts, and fails the
// test for each that broke.
func (r *rig) play(t *testing.T, s scenario.Scenario) scenario.Result {
	t.Helper()
	result, err := r.Run(t.Context(), s, length(t))
	var text bytes.Buffer
	result.Write(&text)
	t.Log("\n" + text.String())
	if folder := os.Getenv(reportVar); folder != "" {
		if err := report.Write(filepath.Join(folder, r.Layout.Name+"-"+s.Name), result.Page(r.Layout.Name)); err != nil {
			t.Error(err)
		}
	}
	if err != nil {
		t.Error(err)
	}
	for _, v := range result.Verdicts {
		if !v.Held() {
			t.Errorf("%s: %d violations, first: %s", v.Promise, v.Count, v.Violations[0])
		}
	}
	if result.Summary.Whole == 0 {
		t.Error("no request was answered: the run proves nothing")
	}
	return result
}

// close is a graceful stop of the whole fleet; each process must end cleanly.
func (r *rig) close(t *testing.T) {
	t.Helper()
	if err := r.Close(); err != nil {
		t.Error(err)
	}
}

// keepLogs prints the ends of the processes' logs.
func keepLogs(t *testing.T, folder string) {
	const tail = 3000
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil || len(data) == 0 {
			continue
		}
		t.Logf("%s:\n%s", filepath.Base(f), data[max(0, len(data)-tail):])
	}
}

// eachLayout runs a scenario on both users' layouts beside each other.
func eachLayout(t *testing.T, run func(t *testing.T, l scenario.Layout)) {
	for _, l := range scenario.Layouts() {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			run(t, l)
		})
	}
}

// An ordinary day: nothing is done to the system, and nobody notices anything.
func TestOrdinaryDay(t *testing.T) {
	eachLayout(t, func(t *testing.T, l scenario.Layout) {
		is := is.New(t)
		r := newRig(t, l, false)
		result := r.play(t, scenario.Scenario{Name: "ordinary-day"})
		is.Equal(result.Summary.Cut, 0)
		r.close(t)
	})
}

// The morning's peak: callers are at work when the peak preset comes into
// force, and again when the ordinary one does. Open feeds and downloads go on.
func TestPeakSwitch(t *testing.T) {
	eachLayout(t, func(t *testing.T, l scenario.Layout) {
		r := newRig(t, l, false)
		r.play(t, scenario.Scenario{Name: "peak", Steps: []scenario.Step{
			{At: 0.25, What: "switch to peak", Do: func(ctx context.Context, p *scenario.Play) error { return p.SwitchTo(ctx, scenario.Peak) }},
			{At: 0.70, What: "switch to ordinary", Do: func(ctx context.Context, p *scenario.Play) error { return p.SwitchTo(ctx, scenario.Ordinary) }},
		}})
		r.close(t)
	})
}

// A data centre is taken out for maintenance: its hosts get nothing new and are
// then stopped as planned. Callers with feeds and downloads there lose nothing.
func TestMaintenanceOfADataCentre(t *testing.T) {
	eachLayout(t, func(t *testing.T, l scenario.Layout) {
		r := newRig(t, l, false)
		last := l.DataCentres[len(l.DataCentres)-1]
		steps := []scenario.Step{
			{At: 0.15, What: "switch to maintenance", Do: func(ctx context.Context, p *scenario.Play) error { return p.SwitchTo(ctx, scenario.Maintenance) }},
		}
		at := 0.35
		for _, h := range r.Hosts {
			if h.DataCentre != last {
				continue
			}
			steps = append(steps, scenario.Step{At: at, What: "planned stop of " + h.Name, Do: func(ctx context.Context, p *scenario.Play) error {
				return p.StopHost(ctx, h.Name)
			}})
			at += 0.15
		}
		r.play(t, scenario.Scenario{Name: "maintenance", Steps: steps})
		r.close(t)
	})
}

// Every balancer is replaced, one after the other, under open feeds.
func TestRollingBalancers(t *testing.T) {
	eachLayout(t, func(t *testing.T, l scenario.Layout) {
		r := newRig(t, l, false)
		var steps []scenario.Step
		for i, e := range r.Entries {
			steps = append(steps, scenario.Step{At: 0.1 + 0.25*float64(i), What: "replace " + e.Name, Do: func(ctx context.Context, p *scenario.Play) error {
				if err := p.StopBalancer(i); err != nil {
					return err
				}
				return p.JoinBalancer(ctx, i)
			}})
		}
		r.play(t, scenario.Scenario{Name: "rolling-balancers", Steps: steps})
		r.close(t)
	})
}

// Every target and its agent restart, one after the other, as planned. No
// request is cut and no submission runs twice.
func TestRollingTargets(t *testing.T) {
	eachLayout(t, func(t *testing.T, l scenario.Layout) {
		r := newRig(t, l, false)
		var steps []scenario.Step
		for i, h := range r.Hosts {
			steps = append(steps, scenario.Step{At: 0.05 + 0.085*float64(i), What: "restart " + h.Name, Do: func(ctx context.Context, p *scenario.Play) error {
				if err := p.StopHost(ctx, h.Name); err != nil {
					return err
				}
				return p.ReturnHost(ctx, h.Name)
			}})
		}
		r.play(t, scenario.Scenario{Name: "rolling-targets", Steps: steps})
		r.close(t)
	})
}

// A balancer dies every second and the one before comes back. The callers'
// packets to it are lost until the fabric notices; their flows stay whole.
func TestABalancerDiesEverySecond(t *testing.T) {
	r := newRig(t, scenario.Layouts()[0], false)
	var steps []scenario.Step
	for n := range 6 {
		i := n % len(r.Entries)
		steps = append(steps, scenario.Step{At: 0.1 + 0.13*float64(n), What: "death of " + r.Entries[i].Name, Do: func(ctx context.Context, p *scenario.Play) error {
			if err := p.KillBalancer(i); err != nil {
				return err
			}
			return p.JoinBalancer(ctx, i)
		}})
	}
	r.play(t, scenario.Scenario{Name: "balancers-die", Steps: steps})
	r.close(t)
}

// Targets with their agents die without warning. Callers of those lose their
// flows and open new ones; nothing runs twice, and what was refused as not run
// was not run.
func TestTargetsDie(t *testing.T) {
	r := newRig(t, scenario.Layouts()[1], false)
	first, second := r.Hosts[1].Name, r.Hosts[4].Name
	limits := check.DefaultLimits()
	limits.Unplanned = true
	result := r.play(t, scenario.Scenario{Name: "targets-die", Limits: limits, Steps: []scenario.Step{
		{At: 0.2, What: "death of " + first, Do: func(_ context.Context, p *scenario.Play) error { return p.KillHost(first) }},
		{At: 0.5, What: "return of " + first, Do: func(ctx context.Context, p *scenario.Play) error { return p.ReturnHost(ctx, first) }},
		{At: 0.6, What: "death of " + second, Do: func(_ context.Context, p *scenario.Play) error { return p.KillHost(second) }},
	}})
	if result.Summary.FlowsBroken == 0 {
		t.Error("no flow noticed the deaths: the run proves nothing")
	}
	r.close(t)
}
