package soak

import (
	"sync"
	"time"
)

// lagMeter measures how late the machine wakes who sleeps. On a busy machine what the
// stand-ins see is late, and what the sidecars do as well: that much is added to each
// slack.
type lagMeter struct {
	mu     sync.Mutex
	recent [2]time.Duration // the longest of this span and of the one before
	turned time.Time
}

const (
	lagEvery = 5 * time.Millisecond
	lagSpan  = 2 * time.Second
	// lagTimes is how many steps of a request may each be late.
	lagTimes = 4
)

func (l *lagMeter) run(over func() bool) {
	for !over() {
		before := time.Now()
		time.Sleep(lagEvery)
		l.note(time.Now(), time.Since(before)-lagEvery)
	}
}

func (l *lagMeter) note(now time.Time, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.turned) > lagSpan {
		l.recent[1], l.recent[0], l.turned = l.recent[0], 0, now
	}
	l.recent[0] = max(l.recent[0], lag)
}

// slack is what is granted for scheduling at the moment.
func (l *lagMeter) slack() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return scheduling + lagTimes*max(l.recent[0], l.recent[1])
}
