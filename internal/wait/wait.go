// Package wait sleeps with cancellation by a context.
package wait

import (
	"context"
	"time"
)

// Sleep sleeps for the duration and returns true, or returns false as soon as the context ends.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
