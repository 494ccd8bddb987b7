package core

import (
	"sync"
	"time"

	"mothridge/policy"
)

// requestHistory records what the guard and the invariant checks need to know of a request: whether
// it is completed, and which attempts were written. The event loop and the goroutines of attempts
// use it; mu guards all fields but responded.
type requestHistory struct {
	mu                 sync.Mutex
	completedAt        time.Time // when it got its response or its client disconnected; zero: neither
	clientDisconnected bool      // its client disconnected first
	writes             []attemptWrite
	responded          bool // event loop only
}

// attemptWrite is an attempt whose last byte was written.
type attemptWrite struct {
	attempt     int // its number
	at          time.Time
	notExecuted bool // its result proves that it did not run
}

// complete records that no further attempt may be started. Only the first call counts.
func (h *requestHistory) complete(now time.Time, clientDisconnected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.completedAt.IsZero() {
		h.completedAt = now
		h.clientDisconnected = clientDisconnected
	}
}

// state reports whether the request is completed and whether that is because its client disconnected.
func (h *requestHistory) state() (completed, clientDisconnected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.completedAt.IsZero(), h.clientDisconnected
}

// attemptEnded records an attempt's result.
func (h *requestHistory) attemptEnded(number int, result policy.AttemptResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.writes {
		if h.writes[i].attempt == number {
			h.writes[i].notExecuted = provesNotExecuted(result)
		}
	}
}

// provesNotExecuted reports whether a result rules out that the attempt ran.
func provesNotExecuted(result policy.AttemptResult) bool {
	return result == policy.Rejected || result == policy.ConnectionFailed || result == policy.NotSent
}
