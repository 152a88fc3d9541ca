package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bergamotstall/internal/wait"
)

// Run generates load until ctx is done. Requests in progress then have the request
// timeout to finish.
func Run(ctx context.Context, spec Spec, rec *Recorder) error {
	spec = spec.withDefaults()
	if err := spec.check(); err != nil {
		return err
	}
	if spec.Rate > 0 {
		runOpenLoop(ctx, spec, rec)
		return nil
	}
	runClosedLoop(ctx, spec, rec)
	return nil
}

// runClosedLoop keeps Flows flows open; each caller opens its next flow when the
// previous one has ended.
func runClosedLoop(ctx context.Context, spec Spec, rec *Recorder) {
	var wg sync.WaitGroup
	for caller := range spec.Flows {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(spec.Seed, uint64(caller)))
			for n := 0; ctx.Err() == nil; n++ {
				runFlow(ctx, spec, rec, flowName(spec, caller, n), rng)
			}
		})
	}
	wg.Wait()
}

// runOpenLoop opens Rate flows a second regardless of how fast the system answers, so
// that a slow system doesn't reduce the load and hide its slowness. Flows beyond the
// limit of Flows aren't opened but are counted.
func runOpenLoop(ctx context.Context, spec Spec, rec *Recorder) {
	var wg sync.WaitGroup
	limiter := rate.NewLimiter(rate.Limit(spec.Rate), 1)
	slots := make(chan struct{}, spec.Flows)
	for n := 0; limiter.Wait(ctx) == nil; n++ {
		select {
		case slots <- struct{}{}:
		default:
			rec.flowLimitReached()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			rng := rand.New(rand.NewPCG(spec.Seed, uint64(n)))
			runFlow(ctx, spec, rec, flowName(spec, n%spec.Callers, n), rng)
		})
	}
	wg.Wait()
}

// runFlow opens a flow and sends its requests. The end of the run doesn't cancel
// downloads and submissions in progress: they have the request timeout to finish.
func runFlow(ctx context.Context, spec Spec, rec *Recorder, name string, rng *rand.Rand) {
	f, err := open(ctx, spec, rec, name, rng)
	if ctx.Err() != nil && err != nil {
		return // the run ended during the handshake
	}
	if err != nil {
		rec.flowNotOpened(errorReason(err))
		wait.For(ctx, dialPause)
		return
	}
	f.run(ctx)
}

func flowName(spec Spec, caller, n int) string {
	return fmt.Sprintf("%s-%d-%d-%d", spec.Service, spec.Seed, caller, n)
}

func (r *Recorder) flowLimitReached() { r.flowNotOpened("over the bound of open flows") }

func (r *Recorder) flowNotOpened(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.flowsNotOpened {
		if r.flowsNotOpened[i].Reason == reason {
			r.flowsNotOpened[i].Count++
			return
		}
	}
	r.flowsNotOpened = append(r.flowsNotOpened, ReasonCount{Outcome: "flow not opened", Reason: reason, Count: 1})
}

// Elapsed returns the time since the recorder was created.
func (r *Recorder) Elapsed() time.Duration { return time.Since(r.began) }
