// Package clock provides waits that end with a context, and measurements of
// elapsed time that include the time during which a VM was paused.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends. It returns false if ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Elapsed returns the larger of the monotonic and the wall clock time between two
// readings: the monotonic clock may stop while a VM is paused, and the wall clock
// may be set back.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
