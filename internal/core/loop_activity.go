package core

import (
	"log/slog"
	"sync/atomic"
	"time"

	"mothridge/internal/processor"
)

// LoopActivity says what the event loop has done since the start, for operators. A long step or a long backlog delays every request.
type LoopActivity struct {
	Busy           time.Duration // time spent in steps
	LongestStep    time.Duration // for one event
	LongestBacklog int           // largest number of events that waited at the start of a step
	Pauses         int           // times for which the process did not run for minPause or more
	Paused         time.Duration // their sum
}

// loopActivity records a LoopActivity. Only the event loop changes it; any goroutine may read it.
type loopActivity struct {
	busy, longestStep, longestBacklog, pauses, paused atomic.Int64
}

// stepEnded records a step that began at startedAt, when a number of events waited.
func (a *loopActivity) stepEnded(startedAt time.Time, backlog int) {
	step := int64(time.Since(startedAt))
	a.busy.Add(step)
	a.longestStep.Store(max(a.longestStep.Load(), step))
	a.longestBacklog.Store(max(a.longestBacklog.Load(), int64(backlog)))
}

func (a *loopActivity) pauseEnded(duration time.Duration) {
	a.pauses.Add(1)
	a.paused.Add(int64(duration))
}

// LoopActivity returns what the event loop has done since the start. It may be called from any goroutine.
func (c *Core) LoopActivity() LoopActivity {
	a := &c.activity
	return LoopActivity{
		Busy:           time.Duration(a.busy.Load()),
		LongestStep:    time.Duration(a.longestStep.Load()),
		LongestBacklog: int(a.longestBacklog.Load()),
		Pauses:         int(a.pauses.Load()),
		Paused:         time.Duration(a.paused.Load()),
	}
}

// logActivity logs what the process has used and what the event loop has done since the start.
func (c *Core) logActivity() {
	activity := c.LoopActivity()
	slog.Info("process activity", "processor_time", processor.Used(), "gc_time", processor.UsedByGC(), "loop_time", activity.Busy,
		"longest_step", activity.LongestStep, "longest_backlog", activity.LongestBacklog,
		"pauses", activity.Pauses, "paused", activity.Paused)
}

const (
	// usageInterval is the least time between two samples of the used processor time.
	usageInterval = 50 * time.Millisecond
	// usageSpan is the time before a pause for which its log line says how much processor time was used: the second by
	// which platforms account shares of a core.
	usageSpan = time.Second
)

// usageSample is the processor time used until a time since the start.
type usageSample struct{ at, used time.Duration }

// usageHistory holds samples of the used processor time of the last usageSpan. Only the event loop uses it.
type usageHistory struct {
	samples [usageSpan/usageInterval + 1]usageSample // a ring
	next    int
}

// sample records the processor time used until now, unless the last sample is younger than usageInterval.
func (h *usageHistory) sample(now time.Duration) {
	if last := h.newest().at; last != 0 && now-last < usageInterval {
		return
	}
	h.samples[h.next] = usageSample{now, processor.Used()}
	h.next = (h.next + 1) % len(h.samples)
}

// before returns the processor time used up to the last sample, within the time covered.
func (h *usageHistory) before() (used, covered time.Duration) {
	newest := h.newest()
	oldest := newest
	for _, sample := range h.samples {
		if sample.at != 0 && newest.at-sample.at <= usageSpan && sample.at < oldest.at {
			oldest = sample
		}
	}
	return newest.used - oldest.used, newest.at - oldest.at
}

func (h *usageHistory) newest() usageSample {
	return h.samples[(h.next+len(h.samples)-1)%len(h.samples)]
}
