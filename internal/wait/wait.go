// Package wait pauses a goroutine for a time or until its context ends.
package wait

import (
	"context"
	"sync"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx is done. A d
// of 0 or less doesn't wait.
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

// Start runs each loop on a goroutine of its own with ctx; the group is done once
// all have returned.
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
