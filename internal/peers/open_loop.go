package peers

import (
	"context"
	"time"
)

// OpenLoop starts requests at set times, independent of when earlier ones complete: load that
// waited for responses would fall with the speed of what it measures.
//
// next returns request i's time, from start on, or false after the last one. do starts request i
// and must not block; due is when it should have started, from which its latency counts.
// OpenLoop returns after the last request was started or when ctx ends.
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
