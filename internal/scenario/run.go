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

// Step is one thing done to the system, at a fraction of the run.
type Step struct {
	At   float64
	What string
	Do   func(ctx context.Context, p *Play) error
}

// Scenario is callers and what is done to the system meanwhile.
type Scenario struct {
	Name  string
	Steps []Step
	// Loads are the callers'; nil is Play.Usual.
	Loads func(p *Play, length time.Duration) []loadgen.Spec
	// Limits are zero for check.DefaultLimits.
	Limits check.Limits
}

// Play is one run of a scenario.
type Play struct {
	*Fleet
	Rec      *loadgen.Recorder
	progress func(format string, args ...any)

	mu     sync.Mutex
	record check.Record
}

// Result is what came of a run.
type Result struct {
	Scenario string
	Record   check.Record
	Verdicts []check.Verdict
	Shares   []check.Share
	Summary  loadgen.Report
	Seconds  []loadgen.Second
	Marks    []loadgen.Mark
}

// NewPlay prepares a run on a fleet: it applies the layout's catalogue and
// waits for every target. progress may be nil.
func NewPlay(ctx context.Context, f *Fleet, progress func(format string, args ...any)) (*Play, error) {
	if progress == nil {
		progress = func(string, ...any) {}
	}
	p := &Play{Fleet: f, progress: progress}
	began := time.Now()
	definition := f.Layout.Definition(f.Net)
	for {
		_, err := p.Command(ctx, catalogue.Command{Apply: &catalogue.ApplyCatalogue{Definition: definition}})
		if err == nil {
			break
		}
		if time.Since(began) > readyTime || !wait.For(ctx, pollPause) {
			return nil, err
		}
	}
	if err := p.AwaitControls(ctx); err != nil {
		return nil, err
	}
	if err := p.AwaitTargets(ctx); err != nil {
		return nil, err
	}
	p.progress("%s: %d control VMs, %d balancers, %d hosts ready after %v",
		f.Layout.Name, len(f.Controls), len(f.Entries), len(f.Hosts), time.Since(began).Round(time.Millisecond))
	return p, nil
}

// Run plays callers and steps for the given time, or until the steps are done if that is
// later, and judges the run. The error is of a step that couldn't be done.
func (p *Play) Run(ctx context.Context, s Scenario, length time.Duration) (Result, error) {
	p.Rec = loadgen.NewRecorder()
	p.mu.Lock()
	p.record = check.Record{}
	p.mu.Unlock()
	loads := s.Loads
	if loads == nil {
		loads = (*Play).Usual
	}
	began := time.Now()
	callers, endCallers := context.WithCancel(ctx)
	defer endCallers()
	var wg sync.WaitGroup
	for _, spec := range loads(p, length) {
		wg.Go(func() {
			if err := loadgen.Run(callers, spec, p.Rec); err != nil {
				p.progress("callers of %s: %v", spec.Service, err)
			}
		})
	}
	looking, endLooking := context.WithCancel(ctx)
	defer endLooking()
	looks := make(chan []check.InForce, 1)
	go func() { looks <- p.look(looking) }()

	failed := p.steps(ctx, s, began, length)
	wait.For(ctx, time.Until(began.Add(length)))
	endCallers()
	wg.Wait()
	endLooking()
	return p.result(s, <-looks), failed
}

// steps does each step in its time, or after the one before if that takes longer.
func (p *Play) steps(ctx context.Context, s Scenario, began time.Time, length time.Duration) error {
	var failed error
	for _, step := range s.Steps {
		at := time.Duration(float64(length) * step.At)
		if !wait.For(ctx, time.Until(began.Add(at))) {
			return errors.Join(failed, errors.Wrap(ctx.Err(), step.What))
		}
		p.progress("%6.1fs  %s", time.Since(began).Seconds(), step.What)
		p.Rec.Mark(step.What)
		if err := step.Do(ctx, p); err != nil {
			p.progress("  failed: %v", err)
			failed = errors.Join(failed, errors.Wrap(err, step.What))
		}
	}
	return failed
}

func (p *Play) result(s Scenario, looks []check.InForce) Result {
	record := p.Rec.Record()
	record.Runs = p.ledgers()
	record.Looks = looks
	p.mu.Lock()
	record.Drains, record.Switches = p.record.Drains, p.record.Switches
	p.mu.Unlock()
	limits := s.Limits
	if limits == (check.Limits{}) {
		limits = check.DefaultLimits()
	}
	return Result{
		Scenario: s.Name, Record: record, Verdicts: check.All(record, limits), Shares: check.Shares(record.Runs),
		Summary: p.Rec.Report(), Seconds: p.Rec.Seconds(), Marks: p.Rec.Marks(),
	}
}

// lookPause is the time between two looks at the balancers' revisions.
const lookPause = 100 * time.Millisecond

// look notes the revision in force at each balancer until ctx is done. One
// without a table in force is left out.
func (p *Play) look(ctx context.Context) []check.InForce {
	var out []check.InForce
	for wait.For(ctx, lookPause) {
		for _, e := range p.Entries {
			if n := p.Counter(e.varsAddress(p.Fleet), "balancer_revision"); n > 0 {
				out = append(out, check.InForce{Balancer: e.Name, Revision: uint64(n), At: time.Now()})
			}
		}
	}
	return out
}

func (e *Entry) varsAddress(f *Fleet) string { return f.Net.Address(e.last, balancerVars) }

// VarsAddress is where the host's agent publishes its counters.
func (h *Host) VarsAddress(f *Fleet) string { return f.Net.Address(h.last, agentVars) }

// varsTime bounds one look at a process's counters.
const varsTime = time.Second

var varsClient = &http.Client{Timeout: varsTime, Transport: &http.Transport{DisableKeepAlives: true}}

// Counter reads a counter from a process's /debug/vars; 0 where it has none or
// doesn't answer.
func (p *Play) Counter(address, name string) int64 {
	resp, err := varsClient.Get("http://" + address + "/debug/vars")
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

// ledgers gathers what every target ran.
func (p *Play) ledgers() []check.Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []check.Run
	for _, h := range p.Hosts {
		runs := h.past
		if h.Target != nil {
			runs = append(runs, h.Target.Runs()...)
		}
		for _, r := range runs {
			out = append(out, runsOf(h, r)...)
		}
	}
	return out
}

func runsOf(h *Host, r target.Run) []check.Run {
	one := check.Run{
		ID: r.RequestID, Submission: loadgen.SubmissionOf(r.RequestID),
		Service: h.Service.Name, Host: h.Name, At: r.FirstSeen,
	}
	out := make([]check.Run, r.Runs)
	for i := range out {
		out[i] = one
	}
	return out
}

// Usual is the callers' load of most scenarios: downloads and submissions on
// every service, feeds that stay open for most of the run, and large downloads.
func (p *Play) Usual(length time.Duration) []loadgen.Spec {
	var out []loadgen.Spec
	for i, s := range p.Layout.Services {
		base := loadgen.Spec{Service: s.Name, Address: s.Address(p.Net), TLS: p.Callers, Seed: p.Seed + uint64(10*i)}
		work, feeds, large := base, base, base
		work.Flows, work.RequestsPerFlow, work.Pause = 24, 12, 20*time.Millisecond
		work.Mix = loadgen.Mix{Download: 2, Submit: 1}
		work.DownloadBytes, work.Keyed = 64<<10, true
		feeds.Flows, feeds.RequestsPerFlow, feeds.Mix, feeds.Seed = 6, 1, loadgen.Mix{Feed: 1}, base.Seed+1
		feeds.FeedFor = length * 3 / 4
		large.Flows, large.RequestsPerFlow, large.Mix, large.Seed = 2, 2, loadgen.Mix{Download: 1}, base.Seed+2
		large.DownloadBytes, large.Timeout = 16<<20, time.Minute
		out = append(out, work, feeds, large)
	}
	return out
}

// String names the result by its scenario.
func (r Result) String() string { return fmt.Sprintf("scenario %s", r.Scenario) }
