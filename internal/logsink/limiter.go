package logsink

import (
	"sync"
	"time"
)

// Limiter keeps repeated log lines apart: at most one passes in an interval. It may be used concurrently.
type Limiter struct {
	// Interval is the least time between two lines.
	Interval time.Duration

	mu       sync.Mutex
	loggedAt time.Time // of the last line; zero before the first one
}

// Allow reports whether a line may be written at now. If so, it counts as written.
func (l *Limiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < l.Interval {
		return false
	}
	l.loggedAt = now
	return true
}
