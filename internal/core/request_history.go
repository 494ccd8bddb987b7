package core

import (
	"slices"
	"sync"
	"time"

	"mothridge/policy"
)

// requestHistory records the data that the guard and the invariant checks need about a request: whether
// the request is completed, and which attempts were written. The event loop and the goroutines of
// attempts use it. mu guards all fields except responded.
type requestHistory struct {
	mu                 sync.Mutex
	completedAt        time.Time // time of the response, or of the client's disconnect or cancel; zero if neither
	clientDisconnected bool      // the client disconnected or cancelled the request before the response
	writes             []attemptWrite
	responded          bool // used only by the event loop
}

// attemptWrite is an attempt whose last byte was written.
type attemptWrite struct {
	attempt  int // number of the attempt
	at       time.Time
	neverRan bool // the result proves that the upstream did not run the request
}

// complete records that the request is completed, so that no further attempt may be written. Only the
// first call has an effect.
func (h *requestHistory) complete(now time.Time, clientDisconnected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.completedAt.IsZero() {
		h.completedAt = now
		h.clientDisconnected = clientDisconnected
	}
}

// state reports whether the request is completed and whether the reason is that its client disconnected or
// cancelled the request.
func (h *requestHistory) state() (completed, clientDisconnected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.completedAt.IsZero(), h.clientDisconnected
}

// mayHaveRun reports whether an attempt was written that may have run.
func (h *requestHistory) mayHaveRun() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.writes, func(write attemptWrite) bool { return !write.neverRan })
}

// attemptEnded records an attempt's result.
func (h *requestHistory) attemptEnded(number int, result policy.AttemptResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.writes {
		if h.writes[i].attempt == number {
			h.writes[i].neverRan = provesNotRun(result)
		}
	}
}

// provesNotRun reports whether a result proves that the upstream did not run the request.
func provesNotRun(result policy.AttemptResult) bool {
	return result == policy.Rejected || result == policy.ConnectionFailed || result == policy.NotSent
}
