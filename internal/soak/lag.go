package soak

import (
	"sync"
	"time"
)

// LagMeter measures how late the machine wakes a sleeping goroutine. On a busy machine the stand-ins
// observe events late and the sidecars act late, so the measured lag is added to each slack.
type LagMeter struct {
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

// Run measures the lag every lagSampleInterval until stopped returns true.
func (l *LagMeter) Run(stopped func() bool) {
	for !stopped() {
		before := time.Now()
		time.Sleep(lagSampleInterval)
		l.record(time.Now(), time.Since(before)-lagSampleInterval)
	}
}

// record adds one measurement, and begins a new span when the current one is older than lagSpan.
func (l *LagMeter) record(now time.Time, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.spanStart) > lagSpan {
		l.recent[1], l.recent[0], l.spanStart = l.recent[0], 0, now
	}
	l.recent[0] = max(l.recent[0], lag)
}

// Delay returns by how much a request may currently be late because the machine was, in all its steps together.
func (l *LagMeter) Delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lagSteps * max(l.recent[0], l.recent[1])
}

// slack returns how much every bound is currently extended for scheduling delays.
func (l *LagMeter) slack() time.Duration { return schedulingSlack + l.Delay() }
