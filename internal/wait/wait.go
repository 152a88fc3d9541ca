// Package wait pauses a goroutine for a time or until its context ends.
package wait

import (
	"context"
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
