// Package wait has helpers for goroutines that run until their context is done.
package wait

import (
	"context"
	"sync"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx is done. It doesn't
// wait if d is 0 or less.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Start runs each loop with ctx on its own goroutine. The returned group is done once all
// loops have returned.
func Start(ctx context.Context, loops ...func(context.Context)) *sync.WaitGroup {
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Add(1)
		go func() {
			defer running.Done()
			loop(ctx)
		}()
	}
	return &running
}
