package soak

import (
	"sync"
	"time"
)

// lagMeter measures how late the machine wakes who sleeps. On a busy machine what the
// stand-ins see is late, and what the sidecars do as well: that much is added to each
// slack.
type lagMeter struct {
	mu        sync.Mutex
	recent    [2]time.Duration // the longest of this span and of the one before
	spanStart time.Time
}

const (
	lagSampleInterval = 5 * time.Millisecond
	lagSpan           = 2 * time.Second
	// lagSteps is how many steps of a request may each be late.
	lagSteps = 4
)

func (l *lagMeter) run(over func() bool) {
	for !over() {
		before := time.Now()
		time.Sleep(lagSampleInterval)
		l.record(time.Now(), time.Since(before)-lagSampleInterval)
	}
}

func (l *lagMeter) record(now time.Time, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.spanStart) > lagSpan {
		l.recent[1], l.recent[0], l.spanStart = l.recent[0], 0, now
	}
	l.recent[0] = max(l.recent[0], lag)
}

// slack is what is granted for scheduling at the moment.
func (l *lagMeter) slack() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return schedulingSlack + lagSteps*max(l.recent[0], l.recent[1])
}
