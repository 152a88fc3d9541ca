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

// Run plays a load until ctx is done, then lets requests in progress end for at
// most the request timeout.
func Run(ctx context.Context, spec Spec, rec *Recorder) error {
	spec = spec.withDefaults()
	if err := spec.check(); err != nil {
		return err
	}
	if spec.Rate > 0 {
		runOpen(ctx, spec, rec)
		return nil
	}
	runClosed(ctx, spec, rec)
	return nil
}

// runClosed holds Flows flows open; each caller opens its next flow when the
// last has ended.
func runClosed(ctx context.Context, spec Spec, rec *Recorder) {
	var wg sync.WaitGroup
	for caller := range spec.Flows {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(spec.Seed, uint64(caller)))
			for n := 0; ctx.Err() == nil; n++ {
				oneFlow(ctx, spec, rec, flowName(spec, caller, n), rng)
			}
		})
	}
	wg.Wait()
}

// runOpen opens Rate flows a second whatever the system does, so that waiting
// callers can't hide a slow system. Flows over the bound are counted as refused
// at the caller.
func runOpen(ctx context.Context, spec Spec, rec *Recorder) {
	var wg sync.WaitGroup
	pace := rate.NewLimiter(rate.Limit(spec.Rate), 1)
	free := make(chan struct{}, spec.Flows)
	for n := 0; pace.Wait(ctx) == nil; n++ {
		select {
		case free <- struct{}{}:
		default:
			rec.overBound()
			continue
		}
		wg.Go(func() {
			defer func() { <-free }()
			rng := rand.New(rand.NewPCG(spec.Seed, uint64(n)))
			oneFlow(ctx, spec, rec, flowName(spec, n%spec.Callers, n), rng)
		})
	}
	wg.Wait()
}

// oneFlow opens a flow and plays it. The end of the run doesn't cut downloads
// and submissions in progress: they have the request timeout to end.
func oneFlow(ctx context.Context, spec Spec, rec *Recorder, name string, rng *rand.Rand) {
	f, err := open(ctx, spec, rec, name, rng)
	if ctx.Err() != nil && err != nil {
		return // the run ended in the middle of the handshake
	}
	if err != nil {
		rec.notOpened(reasonOf(err))
		wait.For(ctx, dialPause)
		return
	}
	f.carry(ctx)
}

func flowName(spec Spec, caller, n int) string {
	return fmt.Sprintf("%s-%d-%d-%d", spec.Service, spec.Seed, caller, n)
}

func (r *Recorder) overBound() { r.notOpened("over the bound of open flows") }

func (r *Recorder) notOpened(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.refused {
		if r.refused[i].Reason == reason {
			r.refused[i].Count++
			return
		}
	}
	r.refused = append(r.refused, ReasonCount{Outcome: "flow not opened", Reason: reason, Count: 1})
}

// Elapsed is the time since the recorder started.
func (r *Recorder) Elapsed() time.Duration { return time.Since(r.began) }
