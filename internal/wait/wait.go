// Package wait has a pause that ends with its context.
package wait

import (
	"context"
	"time"
)

// For waits for the duration and returns false if the context ended first.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
