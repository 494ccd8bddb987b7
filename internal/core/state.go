package core

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"

	"mothridge/internal/counters"
	"mothridge/policy"
)

var errStopped = errors.New("the event loop has stopped")

// State is a snapshot of the Core's state for operators.
type State struct {
	Counters  policy.Counters
	Requests  int   // number of requests being handled, including completed requests with an attempt in flight
	Endpoints int   // number of endpoints in the list
	SlotsFree []int // free slots by tenant
	QueueFree []int // free queue places by tenant
}

// State returns a snapshot that the event loop takes. It blocks until the snapshot is available. If ctx
// ends first, State returns ctx's error; if Run has returned, State returns a different error.
func (c *Core) State(ctx context.Context) (State, error) {
	state := make(chan State, 1)
	select {
	case c.events <- stateRequested{state}:
	case <-c.done:
		return State{}, errStopped
	case <-ctx.Done():
		return State{}, ctx.Err()
	}
	select {
	case s := <-state:
		return s, nil
	case <-c.done:
		return State{}, errStopped
	case <-ctx.Done():
		return State{}, ctx.Err()
	}
}

// state takes a snapshot. Only the event loop may call it.
func (c *Core) state() State {
	s := State{
		Counters:  c.balancer.Counters(),
		Requests:  len(c.requests.byID),
		Endpoints: len(c.endpoints.byName),
	}
	for tenant := range max(1, len(c.config.Policy.Tenants)) {
		s.SlotsFree = append(s.SlotsFree, c.balancer.SlotsFree(tenant))
		s.QueueFree = append(s.QueueFree, c.balancer.QueueFree(tenant))
	}
	return s
}

// outcomeCounters counts how requests and attempts ended. Only the event loop increments the counters; any
// goroutine may read them.
type outcomeCounters struct {
	unserved [policy.ReasonCount]atomic.Uint64 // rejected or failed requests, by policy.Reason
	attempts [policy.NotSent + 1]atomic.Uint64 // by policy.AttemptResult
}

// recordUnserved counts and logs the Balancer's reason for rejecting or failing a request.
func (c *Core) recordUnserved(id policy.RequestID, outcome string) {
	reason := c.balancer.Reason()
	c.outcomes.unserved[reason].Add(1)
	if request := c.requests.byID[id]; request != nil && debugEnabled() {
		slog.Debug("request rejected or failed",
			"request", request.ID, "how", outcome, "reason", reason.String(), "attempts", len(request.attempts))
	}
}

// recordAttempt counts and logs an attempt's result.
func (c *Core) recordAttempt(a *attempt, result policy.AttemptResult) {
	if result >= 0 && int(result) < len(c.outcomes.attempts) {
		c.outcomes.attempts[result].Add(1)
	}
	if debugEnabled() {
		slog.Debug("attempt ended",
			"request", a.request.ID, "attempt", a.number, "server", a.endpoint, "ending", result.String())
	}
}

// debugEnabled reports whether debug messages are logged. Callers check it first because the attributes of a
// debug message cost an allocation even if the message is not logged.
func debugEnabled() bool {
	return slog.Default().Enabled(context.Background(), slog.LevelDebug)
}

// UnservedByReason returns how many requests were rejected or failed, by the name of the policy.Reason.
// Reasons with a count of 0 are omitted. It may be called from any goroutine.
func (c *Core) UnservedByReason() map[string]uint64 {
	counts := make(map[string]uint64)
	for reason := range c.outcomes.unserved {
		if n := c.outcomes.unserved[reason].Load(); n > 0 {
			counts[policy.Reason(reason).String()] = n
		}
	}
	return counts
}

// AttemptsByResult returns how many attempts have ended, by the name of the policy.AttemptResult. It may be
// called from any goroutine.
func (c *Core) AttemptsByResult() map[string]uint64 {
	counts := make(map[string]uint64)
	for result := range c.outcomes.attempts {
		counts[policy.AttemptResult(result).String()] = c.outcomes.attempts[result].Load()
	}
	return counts
}

// logCounters logs the counts since the Core was created. Only the event loop may call it.
func (c *Core) logCounters() {
	slog.Info("counters", counterAttributes(c.balancer.Counters())...)
	slog.Info("invariant violations", counterAttributes(c.Violations())...)
	c.logActivity()
}

// counterAttributes returns a log attribute for each counter of a struct.
func counterAttributes(counts any) []any {
	var attributes []any
	counters.Each(counts, func(name string, n uint64) {
		attributes = append(attributes, slog.Uint64(name, n))
	})
	return attributes
}
