// Package peers has stand-ins for what a sidecar talks to: clients, nodes and
// the platform's discovery, over real loopback sockets. Nodes play scripted
// faults, and a ledger holds what clients and nodes saw, so that the two can be
// compared. Tests, benchmarks and 'sidecar try' use them; the sidecar does not.
package peers

import (
	"fmt"
	"sync"
	"time"
)

// Ledger holds what nodes ran, by request. It is safe for concurrent use.
type Ledger struct {
	mu    sync.Mutex
	tries map[string]int // requests that reached a node whole, by id
	runs  map[string]int // those whose effect ran, by id or, for a keyed request, by key
	sends map[string][]time.Time
	keep  bool
}

// NewLedger makes an empty one. With times it also keeps when each node was
// sent something, which grows with the load.
func NewLedger(times bool) *Ledger {
	return &Ledger{tries: make(map[string]int), runs: make(map[string]int), sends: make(map[string][]time.Time), keep: times}
}

// arrive notes that a request reached a node whole, and says how often it did by now.
func (l *Ledger) arrive(node, id string, at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries[id]++
	if l.keep {
		l.sends[node] = append(l.sends[node], at)
	}
	return l.tries[id]
}

// run notes that a node ran a request's effect. Nodes remember keys in common,
// as where the scope of a keyed class is all: a repeat runs no effect.
func (l *Ledger) run(c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.IdempotencyKey == "" {
		l.runs[c.ID]++
	} else if l.runs["key "+c.IdempotencyKey] == 0 {
		l.runs["key "+c.IdempotencyKey]++
	}
}

// Attempts says how often a request reached a node.
func (l *Ledger) Attempts(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tries[id]
}

// Executions says how often a request's effect ran.
func (l *Ledger) Executions(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// ExecutedTwice lists the ids of which more than one effect ran, among those that
// unsafe says must not be repeated.
func (l *Ledger) ExecutedTwice(unsafe func(id string) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, n := range l.runs {
		if n > 1 && unsafe(id) {
			ids = append(ids, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	return ids
}

// AttemptTimes gives the times at which a node was sent something, in order of arrival.
func (l *Ledger) AttemptTimes(node string) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.sends[node]...)
}
