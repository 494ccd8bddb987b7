package core

import (
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// minPause is the least time without an iteration of the event loop that counts as a pause of the
	// process. The Balancer's timer fires at least every 100 ms, also without any load.
	minPause = 300 * time.Millisecond
	// catchUpGrace is how long after a pause bytes may be read that were received during it.
	catchUpGrace = 100 * time.Millisecond
)

// pauseDetector notices that the process did not run: it was stopped, or got no processor time.
// The event loop reports its iterations; any goroutine may call earliestArrival.
type pauseDetector struct {
	startedAt       time.Time    // when the Core was made
	lastIterationAt atomic.Int64 // nanoseconds since startedAt; 0: none yet
	lastPause       atomic.Pointer[eventLoopPause]
}

// eventLoopPause is a time in which the event loop did not run.
type eventLoopPause struct{ from, until time.Time }

// iterationStarted records an iteration of the event loop, at a time since startedAt.
func (d *pauseDetector) iterationStarted(sinceStart time.Duration) {
	last := time.Duration(d.lastIterationAt.Swap(int64(sinceStart)))
	if last <= 0 || sinceStart-last < minPause {
		return
	}
	d.lastPause.Store(&eventLoopPause{
		from:  d.startedAt.Add(last),
		until: d.startedAt.Add(sinceStart),
	})
	slog.Warn("the process did not run", "for", sinceStart-last)
}

// earliestArrival returns the earliest time at which bytes that were read at now may have been
// received: during a pause they wait in the kernel.
func (d *pauseDetector) earliestArrival(now time.Time) time.Time {
	sinceStart := time.Duration(d.lastIterationAt.Load())
	if sinceStart == 0 {
		return now
	}
	lastIterationAt := d.startedAt.Add(sinceStart)
	if now.Sub(lastIterationAt) >= minPause {
		return lastIterationAt // the pause is ending: the event loop has yet to run
	}
	pause := d.lastPause.Load()
	if pause != nil && now.Sub(pause.until) < catchUpGrace {
		return pause.from
	}
	return now
}

// EarliestArrival returns the earliest time at which bytes that were read at now may have been
// received. It is earlier than now after a pause of the process, in which they may have waited.
// Listeners count a client's timeout from it, from any goroutine.
func (c *Core) EarliestArrival(now time.Time) time.Time {
	return c.pauses.earliestArrival(now)
}
