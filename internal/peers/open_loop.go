package peers

import (
	"context"
	"time"
)

// OpenLoop starts requests at scheduled times, whether or not earlier requests have completed. If
// the load waited for responses, a slower system under test would receive less load.
//
// next returns the time of request i relative to start, or false after the last request. do starts
// request i and must not block; due is the request's scheduled time, from which its latency is
// measured. OpenLoop returns after the last request was started or when ctx ends.
func OpenLoop(
	ctx context.Context,
	start time.Time,
	next func(i int) (time.Duration, bool),
	do func(i int, due time.Time),
) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := 0; ; i++ {
		offset, more := next(i)
		if !more || ctx.Err() != nil {
			return
		}
		due := start.Add(offset)
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		do(i, due)
	}
}
