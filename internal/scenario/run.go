package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/check"
	"bergamotstall/internal/loadgen"
	"bergamotstall/internal/standin/target"
	"bergamotstall/internal/wait"
)

// Step is a change to the system. At is when it starts, as a fraction of the run.
type Step struct {
	At   float64
	Name string
	Do   func(ctx context.Context, r *Runner) error
}

// Scenario is callers' load together with the changes made during it.
type Scenario struct {
	Name  string
	Steps []Step
	// Loads returns the callers' loads; nil means Runner.DefaultLoads.
	Loads func(r *Runner, length time.Duration) []loadgen.Spec
	// Limits are the limits for the checks; zero means check.DefaultLimits.
	Limits check.Limits
}

// Runner runs scenarios on a fleet.
type Runner struct {
	*Fleet
	Recorder *loadgen.Recorder
	progress func(format string, args ...any)

	mu     sync.Mutex
	record check.Record
}

// Result is the outcome of a run.
type Result struct {
	Scenario string
	Record   check.Record
	Verdicts []check.Verdict
	Shares   []check.Share
	Summary  loadgen.Report
	Seconds  []loadgen.Second
	Marks    []loadgen.Mark
}

// NewRunner prepares a fleet for runs: it applies the layout's catalogue and waits
// until all control VMs vote and all targets are active. progress may be nil.
func NewRunner(ctx context.Context, f *Fleet, progress func(format string, args ...any)) (*Runner, error) {
	if progress == nil {
		progress = func(string, ...any) {}
	}
	r := &Runner{Fleet: f, progress: progress}
	began := time.Now()
	definition := f.Layout.Definition(f.Net)
	for {
		_, err := r.Command(ctx, catalogue.Command{Apply: &catalogue.ApplyCatalogue{Definition: definition}})
		if err == nil {
			break
		}
		if time.Since(began) > readyTimeout || !wait.For(ctx, pollInterval) {
			return nil, err
		}
	}
	if err := r.AwaitControls(ctx); err != nil {
		return nil, err
	}
	if err := r.AwaitTargets(ctx); err != nil {
		return nil, err
	}
	r.progress("%s: %d control VMs, %d balancers, %d hosts ready after %v",
		f.Layout.Name, len(f.Controls), len(f.Balancers), len(f.Hosts), time.Since(began).Round(time.Millisecond))
	return r, nil
}

// Run generates load and executes the steps for the given time, or until the last step
// is done if that is later, then checks the run. The error joins those of failed steps.
func (r *Runner) Run(ctx context.Context, s Scenario, length time.Duration) (Result, error) {
	r.Recorder = loadgen.NewRecorder()
	r.mu.Lock()
	r.record = check.Record{}
	r.mu.Unlock()
	loads := s.Loads
	if loads == nil {
		loads = (*Runner).DefaultLoads
	}
	began := time.Now()
	callerContext, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var wg sync.WaitGroup
	for _, spec := range loads(r, length) {
		wg.Go(func() {
			if err := loadgen.Run(callerContext, spec, r.Recorder); err != nil {
				r.progress("callers of %s: %v", spec.Service, err)
			}
		})
	}
	pollContext, stopPolling := context.WithCancel(ctx)
	defer stopPolling()
	samples := make(chan []check.RevisionSample, 1)
	go func() { samples <- r.pollRevisions(pollContext) }()

	failed := r.runSteps(ctx, s, began, length)
	wait.For(ctx, time.Until(began.Add(length)))
	stopCallers()
	wg.Wait()
	stopPolling()
	return r.result(s, <-samples), failed
}

// runSteps executes each step at its time, or after the previous one if that takes
// longer.
func (r *Runner) runSteps(ctx context.Context, s Scenario, began time.Time, length time.Duration) error {
	var failed error
	for _, step := range s.Steps {
		at := time.Duration(float64(length) * step.At)
		if !wait.For(ctx, time.Until(began.Add(at))) {
			return errors.Join(failed, errors.Wrap(ctx.Err(), step.Name))
		}
		r.progress("%6.1fs  %s", time.Since(began).Seconds(), step.Name)
		r.Recorder.Mark(step.Name)
		if err := step.Do(ctx, r); err != nil {
			r.progress("  failed: %v", err)
			failed = errors.Join(failed, errors.Wrap(err, step.Name))
		}
	}
	return failed
}

func (r *Runner) result(s Scenario, samples []check.RevisionSample) Result {
	record := r.Recorder.Record()
	record.Runs = r.targetRuns()
	record.RevisionSamples = samples
	r.mu.Lock()
	record.Drains, record.Switches = r.record.Drains, r.record.Switches
	r.mu.Unlock()
	limits := s.Limits
	if limits == (check.Limits{}) {
		limits = check.DefaultLimits()
	}
	return Result{
		Scenario: s.Name, Record: record, Verdicts: check.All(record, limits), Shares: check.Shares(record.Runs),
		Summary: r.Recorder.Report(), Seconds: r.Recorder.Seconds(), Marks: r.Recorder.Marks(),
	}
}

// revisionPollInterval is the time between two reads of the balancers' revisions.
const revisionPollInterval = 100 * time.Millisecond

// pollRevisions records the revision in force at each balancer until ctx is done.
// Balancers without a table are skipped.
func (r *Runner) pollRevisions(ctx context.Context) []check.RevisionSample {
	var out []check.RevisionSample
	for wait.For(ctx, revisionPollInterval) {
		for _, b := range r.Balancers {
			if n := r.Counter(b.metricsAddress(r.Fleet), "balancer_revision"); n > 0 {
				out = append(out, check.RevisionSample{Balancer: b.Name, Revision: uint64(n), At: time.Now()})
			}
		}
	}
	return out
}

func (b *Balancer) metricsAddress(f *Fleet) string {
	return f.Net.Address(b.octet, balancerMetricsPort)
}

// MetricsAddress returns the address at which the host's agent serves its counters.
func (h *Host) MetricsAddress(f *Fleet) string { return f.Net.Address(h.octet, agentMetricsPort) }

// counterTimeout bounds one read of a process's counters.
const counterTimeout = time.Second

var counterClient = &http.Client{Timeout: counterTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// Counter reads a counter from a process's /debug/vars. It returns 0 if the process
// doesn't have the counter or doesn't answer.
func (r *Runner) Counter(address, name string) int64 {
	resp, err := counterClient.Get("http://" + address + "/debug/vars")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var all map[string]json.RawMessage
	if json.NewDecoder(resp.Body).Decode(&all) != nil {
		return 0
	}
	var n int64
	if json.Unmarshal(all[name], &n) != nil {
		return 0
	}
	return n
}

// targetRuns collects the executions that all targets recorded.
func (r *Runner) targetRuns() []check.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []check.Run
	for _, h := range r.Hosts {
		seen := h.pastRuns
		if h.Target != nil {
			seen = append(seen, h.Target.LedgerEntries()...)
		}
		for _, run := range seen {
			out = append(out, checkRuns(h, run)...)
		}
	}
	return out
}

func checkRuns(h *Host, run target.LedgerEntry) []check.Run {
	execution := check.Run{
		ID: run.RequestID, Submission: loadgen.SubmissionOf(run.RequestID),
		Service: h.Service.Name, Host: h.Name, At: run.FirstSeen,
	}
	out := make([]check.Run, run.Runs)
	for i := range out {
		out[i] = execution
	}
	return out
}

// largeDownloadTimeout is how long callers wait for a large download.
const largeDownloadTimeout = time.Minute

// DefaultLoads returns the load of most scenarios: downloads and submissions on every
// service, feeds that stay open for most of the run, and large downloads.
func (r *Runner) DefaultLoads(length time.Duration) []loadgen.Spec {
	var out []loadgen.Spec
	for i, s := range r.Layout.Services {
		base := loadgen.Spec{Service: s.Name, Address: s.Address(r.Net), TLS: r.CallerTLS, Seed: r.Seed + uint64(10*i)}
		work, feeds, large := base, base, base
		work.Flows, work.RequestsPerFlow, work.Pause = 24, 12, 20*time.Millisecond
		work.Mix = loadgen.Mix{Download: 2, Submit: 1}
		work.DownloadBytes, work.Keyed = 64<<10, true
		feeds.Flows, feeds.RequestsPerFlow, feeds.Mix, feeds.Seed = 6, 1, loadgen.Mix{Feed: 1}, base.Seed+1
		feeds.FeedFor = length * 3 / 4
		large.Flows, large.RequestsPerFlow, large.Mix, large.Seed = 2, 2, loadgen.Mix{Download: 1}, base.Seed+2
		large.DownloadBytes, large.Timeout = 16<<20, largeDownloadTimeout
		out = append(out, work, feeds, large)
	}
	return out
}

// String returns the name of the result's scenario.
func (r Result) String() string { return fmt.Sprintf("scenario %s", r.Scenario) }
