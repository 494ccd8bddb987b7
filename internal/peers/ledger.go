package peers

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Ledger records which requests reached upstreams and which of their effects were executed.
// It is safe for concurrent use and grows with each request.
type Ledger struct {
	keepTimes bool

	mu           sync.Mutex
	attempts     map[string]int // requests read to their end by an upstream, by id
	executions   map[string]int // executed effects, by id or, for a keyed request, by key
	attemptTimes map[string][]time.Time
}

// NewLedger makes an empty ledger. With keepTimes it also keeps the time of each attempt by upstream.
func NewLedger(keepTimes bool) *Ledger {
	return &Ledger{
		keepTimes:    keepTimes,
		attempts:     make(map[string]int),
		executions:   make(map[string]int),
		attemptTimes: make(map[string][]time.Time),
	}
}

// recordAttempt records that a request reached an upstream and returns its attempts so far.
func (l *Ledger) recordAttempt(upstream, id string, at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id]++
	if l.keepTimes {
		l.attemptTimes[upstream] = append(l.attemptTimes[upstream], at)
	}
	return l.attempts[id]
}

// recordExecution records that an upstream executed a request's effect. Upstreams share the
// idempotency keys that they have seen, as in the deduplication scope 'all': the repeat of a key
// has no effect.
func (l *Ledger) recordExecution(call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.IdempotencyKey == "" {
		l.executions[call.ID]++
		return
	}
	l.executions["key "+call.IdempotencyKey] = 1
}

// Attempts returns how often a request reached an upstream.
func (l *Ledger) Attempts(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[id]
}

// Executions returns how often the effect of a request without an idempotency key was executed.
func (l *Ledger) Executions(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[id]
}

// ExecutedTwice describes, in no order, the requests that were executed more than once although
// notIdempotent says that they must not be.
func (l *Ledger) ExecutedTwice(notIdempotent func(id string) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var descriptions []string
	for id, count := range l.executions {
		if count > 1 && notIdempotent(id) {
			descriptions = append(descriptions, fmt.Sprintf("%s ran %d times", id, count))
		}
	}
	return descriptions
}

// AttemptTimes returns when requests reached an upstream, in order of arrival; none without
// NewLedger's keepTimes.
func (l *Ledger) AttemptTimes(upstream string) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.attemptTimes[upstream])
}
