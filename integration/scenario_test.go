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

// Environment variables for longer runs.
const (
	// lengthEnv sets how long callers send requests in each scenario, such as 60s.
	lengthEnv = "BERGAMOTSTALL_SCENARIO"
	// reportEnv sets a folder for a report page with plots of each scenario.
	reportEnv = "BERGAMOTSTALL_REPORT"
)

const (
	defaultLength = 12 * time.Second
	seed          = 42
)

// lastNet counts the nets in use. Each fleet gets its own /24, which differs from the
// demo's default.
var lastNet atomic.Uint32

func nextNet() scenario.Net { return scenario.Net(100 + lastNet.Add(1)) }

func scenarioLength(t *testing.T) time.Duration {
	text := os.Getenv(lengthEnv)
	if text == "" {
		return defaultLength
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("%s: %v", lengthEnv, err)
	}
	return d
}

// testFleet is a fleet whose roles run as processes.
type testFleet struct {
	*scenario.Runner
	processes *processes
	links     *controlLinks
}

// newTestFleet starts a fleet. With proxied, toxiproxy is in front of every control VM.
func newTestFleet(t *testing.T, layout scenario.Layout, proxied bool) *testFleet {
	t.Helper()
	folder := t.TempDir()
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(logrus.ErrorLevel)
	f := &testFleet{processes: newProcesses(t, folder)}
	cfg := scenario.Config{Layout: layout, Net: nextNet(), Folder: folder, Seed: seed, Launcher: f.processes, Log: log}
	if proxied {
		f.links = newControlLinks(t, cfg.Net)
		cfg.AdvertiseAddress, cfg.ProxyIPs = f.links.advertisedAddress, f.links.proxyIPs()
	}
	fleet, err := scenario.Open(cfg)
	t.Cleanup(func() {
		if t.Failed() {
			printLogs(t, folder)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f.Runner, err = scenario.NewRunner(ctx, fleet, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// runScenario runs a scenario, prints every promise with its counts, and fails the
// test for each promise that didn't hold.
func (f *testFleet) runScenario(t *testing.T, s scenario.Scenario) scenario.Result {
	t.Helper()
	result, err := f.Run(t.Context(), s, scenarioLength(t))
	var text bytes.Buffer
	result.Write(&text)
	t.Log("\n" + text.String())
	if folder := os.Getenv(reportEnv); folder != "" {
		if err := report.Write(filepath.Join(folder, f.Layout.Name+"-"+s.Name), result.Page(f.Layout.Name)); err != nil {
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
		t.Error("no request was answered, so the run proves nothing")
	}
	return result
}

// close stops the whole fleet gracefully; each process must exit without an error.
func (f *testFleet) close(t *testing.T) {
	t.Helper()
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}

// printLogs prints the end of each process's log.
func printLogs(t *testing.T, folder string) {
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

// forEachLayout runs a test for each user's layout, in parallel.
func forEachLayout(t *testing.T, run func(t *testing.T, l scenario.Layout)) {
	for _, l := range scenario.Layouts() {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			run(t, l)
		})
	}
}

// Guards against errors without any change to the system: no request may be cut.
func TestOrdinaryDay(t *testing.T) {
	forEachLayout(t, func(t *testing.T, l scenario.Layout) {
		is := is.New(t)
		f := newTestFleet(t, l, false)
		result := f.runScenario(t, scenario.Scenario{Name: "ordinary-day"})
		is.Equal(result.Summary.Cut, 0)
		f.close(t)
	})
}

// Guards against a preset switch that disturbs callers: the peak preset comes into
// force, later the ordinary one. Open feeds and downloads must continue.
func TestPeakSwitch(t *testing.T) {
	forEachLayout(t, func(t *testing.T, l scenario.Layout) {
		f := newTestFleet(t, l, false)
		f.runScenario(t, scenario.Scenario{Name: "peak", Steps: []scenario.Step{
			{At: 0.25, Name: "switch to peak", Do: func(ctx context.Context, run *scenario.Runner) error { return run.SwitchTo(ctx, scenario.PresetPeak) }},
			{At: 0.70, Name: "switch to ordinary", Do: func(ctx context.Context, run *scenario.Runner) error {
				return run.SwitchTo(ctx, scenario.PresetOrdinary)
			}},
		}})
		f.close(t)
	})
}

// Guards against losses in the maintenance of a data centre: its hosts get no new work
// and are then stopped as planned. Feeds and downloads there must not be cut.
func TestMaintenanceOfADataCentre(t *testing.T) {
	forEachLayout(t, func(t *testing.T, l scenario.Layout) {
		f := newTestFleet(t, l, false)
		last := l.DataCentres[len(l.DataCentres)-1]
		steps := []scenario.Step{
			{At: 0.15, Name: "switch to maintenance", Do: func(ctx context.Context, run *scenario.Runner) error {
				return run.SwitchTo(ctx, scenario.PresetMaintenance)
			}},
		}
		at := 0.35
		for _, h := range f.Hosts {
			if h.DataCentre != last {
				continue
			}
			steps = append(steps, scenario.Step{At: at, Name: "planned stop of " + h.Name, Do: func(ctx context.Context, run *scenario.Runner) error {
				return run.StopHost(ctx, h.Name)
			}})
			at += 0.15
		}
		f.runScenario(t, scenario.Scenario{Name: "maintenance", Steps: steps})
		f.close(t)
	})
}

// Guards against flows that break when every balancer is replaced in turn while feeds
// are open.
func TestRollingBalancers(t *testing.T) {
	forEachLayout(t, func(t *testing.T, l scenario.Layout) {
		f := newTestFleet(t, l, false)
		var steps []scenario.Step
		for i, e := range f.Balancers {
			steps = append(steps, scenario.Step{At: 0.1 + 0.25*float64(i), Name: "replace " + e.Name, Do: func(ctx context.Context, run *scenario.Runner) error {
				if err := run.StopBalancer(i); err != nil {
					return err
				}
				return run.StartBalancerAndWait(ctx, i)
			}})
		}
		f.runScenario(t, scenario.Scenario{Name: "rolling-balancers", Steps: steps})
		f.close(t)
	})
}

// Guards against losses in a rolling restart of every target and its agent: no request
// may be cut and no submission may run twice.
func TestRollingTargets(t *testing.T) {
	forEachLayout(t, func(t *testing.T, l scenario.Layout) {
		f := newTestFleet(t, l, false)
		var steps []scenario.Step
		for i, h := range f.Hosts {
			steps = append(steps, scenario.Step{At: 0.05 + 0.085*float64(i), Name: "restart " + h.Name, Do: func(ctx context.Context, run *scenario.Runner) error {
				if err := run.StopHost(ctx, h.Name); err != nil {
					return err
				}
				return run.RestartHost(ctx, h.Name)
			}})
		}
		f.runScenario(t, scenario.Scenario{Name: "rolling-targets", Steps: steps})
		f.close(t)
	})
}

// Guards against flows that break when balancers crash: one crashes about every second
// and is restarted. Packets to it are lost until the fabric detects the failure; no flow
// may break.
func TestBalancerCrashEverySecond(t *testing.T) {
	f := newTestFleet(t, scenario.Layouts()[0], false)
	var steps []scenario.Step
	for n := range 6 {
		i := n % len(f.Balancers)
		steps = append(steps, scenario.Step{At: 0.1 + 0.13*float64(n), Name: "crash of " + f.Balancers[i].Name, Do: func(ctx context.Context, run *scenario.Runner) error {
			if err := run.KillBalancer(i); err != nil {
				return err
			}
			return run.StartBalancerAndWait(ctx, i)
		}})
	}
	f.runScenario(t, scenario.Scenario{Name: "balancers-die", Steps: steps})
	f.close(t)
}

// Guards against submissions that run twice when targets and their agents crash.
// Callers lose the flows to these targets and open new ones. Nothing may run twice, and
// no request reported as not run may have run.
func TestTargetCrashes(t *testing.T) {
	f := newTestFleet(t, scenario.Layouts()[1], false)
	first, second := f.Hosts[1].Name, f.Hosts[4].Name
	limits := check.DefaultLimits()
	limits.Unplanned = true
	result := f.runScenario(t, scenario.Scenario{Name: "targets-die", Limits: limits, Steps: []scenario.Step{
		{At: 0.2, Name: "crash of " + first, Do: func(_ context.Context, run *scenario.Runner) error { return run.KillHost(first) }},
		{At: 0.5, Name: "restart of " + first, Do: func(ctx context.Context, run *scenario.Runner) error { return run.RestartHost(ctx, first) }},
		{At: 0.6, Name: "crash of " + second, Do: func(_ context.Context, run *scenario.Runner) error { return run.KillHost(second) }},
	}})
	if result.Summary.FlowsBroken == 0 {
		t.Error("no flow broke when targets crashed, so the run proves nothing")
	}
	f.close(t)
}
