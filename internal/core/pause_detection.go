package core

import (
	"log/slog"
	"sync/atomic"
	"time"

	"mothridge/internal/processor"
)

const (
	// minPause is the shortest time without an iteration of the event loop that counts as a pause of the
	// process. The Balancer's timer fires at least every 100 ms, even without load.
	minPause = 300 * time.Millisecond
	// catchUpGrace is how long after a pause the process may still read bytes that arrived during the pause.
	catchUpGrace = 100 * time.Millisecond
)

// pauseDetector detects pauses of the process, during which the process was stopped or got no processor
// time. The event loop reports its iterations; any goroutine may call earliestArrival.
type pauseDetector struct {
	startedAt       time.Time    // when the Core was created
	lastIterationAt atomic.Int64 // nanoseconds since startedAt; 0 before the first iteration
	lastPause       atomic.Pointer[eventLoopPause]
}

// eventLoopPause is an interval in which the event loop did not run.
type eventLoopPause struct{ from, until time.Time }

// iterationStarted records an iteration of the event loop. sinceStart is the time since startedAt. It returns for how
// long the process was paused before it, 0 if it was not.
func (d *pauseDetector) iterationStarted(sinceStart time.Duration) (paused time.Duration) {
	last := time.Duration(d.lastIterationAt.Swap(int64(sinceStart)))
	if last <= 0 || sinceStart-last < minPause {
		return 0
	}
	d.lastPause.Store(&eventLoopPause{
		from:  d.startedAt.Add(last),
		until: d.startedAt.Add(sinceStart),
	})
	return sinceStart - last
}

// pauseEnded counts and logs a pause. The used processor time says what held up the process: near the share of the second
// before, the limit on the process; a part of the pause, its own work; neither, its neighbours or a stop.
func (c *Core) pauseEnded(paused time.Duration) {
	c.activity.pauseEnded(paused)
	usedBefore, covered := c.usage.before()
	usedSince := processor.Used() - c.usage.newest().used
	slog.Warn("process was paused; requests may have waited in the kernel", "for", paused,
		"processor_time", usedSince, "processor_time_before", usedBefore, "before", covered, "backlog", len(c.events))
}

// earliestArrival returns the earliest time at which bytes that the process read at now may have arrived.
// Bytes that arrive during a pause wait in the kernel.
func (d *pauseDetector) earliestArrival(now time.Time) time.Time {
	sinceStart := time.Duration(d.lastIterationAt.Load())
	if sinceStart == 0 {
		return now
	}
	lastIterationAt := d.startedAt.Add(sinceStart)
	if now.Sub(lastIterationAt) >= minPause {
		return lastIterationAt // the process has resumed, but the event loop has not run yet
	}
	pause := d.lastPause.Load()
	if pause != nil && now.Sub(pause.until) < catchUpGrace {
		return pause.from
	}
	return now
}

// EarliestArrival returns the earliest time at which bytes that a listener read at now may have arrived.
// That time is before now if the process was paused shortly before, because the bytes may have waited in
// the kernel during the pause. Listeners count a client's timeout from the returned time. They may call
// EarliestArrival from any goroutine.
func (c *Core) EarliestArrival(now time.Time) time.Time {
	return c.pauses.earliestArrival(now)
}
