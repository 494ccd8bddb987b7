package soak

import (
	"sync"
	"time"
)

// lagMeter measures how late the machine wakes a sleeping goroutine. On a busy machine the stand-ins
// observe events late and the sidecars act late, so the measured lag is added to each slack.
type lagMeter struct {
	mu        sync.Mutex
	recent    [2]time.Duration // longest lag of the current span and of the span before
	spanStart time.Time        // of the current span
}

const (
	lagSampleInterval = 5 * time.Millisecond
	lagSpan           = 2 * time.Second
	// lagSteps is how many steps of a request may each be late by the measured lag.
	lagSteps = 4
)

// run measures the lag every lagSampleInterval until stopped returns true.
func (l *lagMeter) run(stopped func() bool) {
	for !stopped() {
		before := time.Now()
		time.Sleep(lagSampleInterval)
		l.record(time.Now(), time.Since(before)-lagSampleInterval)
	}
}

// record adds one measurement, and begins a new span when the current one is older than lagSpan.
func (l *lagMeter) record(now time.Time, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.spanStart) > lagSpan {
		l.recent[1], l.recent[0], l.spanStart = l.recent[0], 0, now
	}
	l.recent[0] = max(l.recent[0], lag)
}

// slack returns how much every bound is currently extended for scheduling delays.
func (l *lagMeter) slack() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return schedulingSlack + lagSteps*max(l.recent[0], l.recent[1])
}
