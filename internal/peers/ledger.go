package peers

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Ledger records which requests reached upstreams and which of their effects were executed.
// Ledger is safe for concurrent use. Its memory grows with each request.
type Ledger struct {
	keepTimes bool

	mu           sync.Mutex
	attempts     map[string]int         // by request id; requests that an upstream read completely
	executions   map[string]int         // executed effects, by request id or idempotency key
	attemptTimes map[string][]time.Time // by upstream, if keepTimes
}

// NewLedger returns an empty ledger. If keepTimes is set, the ledger also keeps the time of each attempt
// by upstream.
func NewLedger(keepTimes bool) *Ledger {
	return &Ledger{
		keepTimes:    keepTimes,
		attempts:     make(map[string]int),
		executions:   make(map[string]int),
		attemptTimes: make(map[string][]time.Time),
	}
}

// recordAttempt records that a request reached an upstream and returns the request's number of
// attempts so far.
func (l *Ledger) recordAttempt(upstream, id string, at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id]++
	if l.keepTimes {
		l.attemptTimes[upstream] = append(l.attemptTimes[upstream], at)
	}
	return l.attempts[id]
}

// recordExecution records that an upstream executed a request's effect. All upstreams share the
// idempotency keys, as in the deduplication scope 'all', so a request that repeats a key has no
// further effect.
func (l *Ledger) recordExecution(call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.IdempotencyKey == "" {
		l.executions[call.ID]++
		return
	}
	l.executions["key "+call.IdempotencyKey] = 1
}

// Attempts returns how many times a request reached an upstream.
func (l *Ledger) Attempts(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[id]
}

// Executions returns how many times the effect of a request without an idempotency key was executed.
func (l *Ledger) Executions(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[id]
}

// DescribeRepeatedExecutions describes, in no particular order, the requests that were executed more than once
// and for whose id notIdempotent returns true.
func (l *Ledger) DescribeRepeatedExecutions(notIdempotent func(id string) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var descriptions []string
	for id, count := range l.executions {
		if count > 1 && notIdempotent(id) {
			descriptions = append(descriptions, fmt.Sprintf("%s was executed %d times", id, count))
		}
	}
	return descriptions
}

// AttemptTimes returns the times at which requests reached an upstream, in order of arrival. The
// result is empty unless NewLedger was called with keepTimes.
func (l *Ledger) AttemptTimes(upstream string) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.attemptTimes[upstream])
}
