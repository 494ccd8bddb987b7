package core

import (
	"log/slog"
	"sync/atomic"
	"time"

	"mothridge/policy"
)

// DefaultDrainGrace is used if Config.DrainGrace is 0.
const DefaultDrainGrace = time.Second

// Tolerances of the invariant checks.
const (
	// clientDisconnectTolerance is how long after the completion of its request an attempt may start: after
	// the client disconnected or the response was sent.
	clientDisconnectTolerance = 100 * time.Millisecond
	// timeoutTolerance is how much the timeout sent to an upstream may exceed the client's remaining time.
	timeoutTolerance = 150 * time.Millisecond
	// schedulingTolerance is added to each bound because the process may be delayed between reading its
	// clock and writing.
	schedulingTolerance = 150 * time.Millisecond
)

// Violations counts invariant violations. All counts should stay 0.
type Violations struct {
	// Attempts that started later than Config.DrainGrace after their endpoint began to drain.
	SentToDraining uint64 `metric:"sent_to_draining"`
	// Attempts that started after their client had disconnected.
	SentAfterDisconnect uint64 `metric:"sent_for_left"`
	// Attempts that started after their request had its response.
	SentAfterResponse uint64 `metric:"sent_after_answer"`
	// Retries of requests that are not idempotent although an earlier attempt may have been executed.
	RetriedNotIdempotent uint64 `metric:"repeated_unsafe"`
	// Retries of requests that are idempotent by their key after the deduplication window had ended.
	RetriedAfterDedupWindow uint64 `metric:"repeated_too_late"`
	// Attempts whose stated timeout was longer than their client's remaining time.
	TimeoutTooLong uint64 `metric:"deadline_too_long"`
	// Requests that got a second response.
	RespondedTwice uint64 `metric:"answered_twice"`
}

// invariantCounters counts invariant violations. The event loop and the goroutines of attempts increment
// the counters.
type invariantCounters struct {
	sentToDraining          atomic.Uint64
	sentAfterDisconnect     atomic.Uint64
	sentAfterResponse       atomic.Uint64
	retriedNotIdempotent    atomic.Uint64
	retriedAfterDedupWindow atomic.Uint64
	timeoutTooLong          atomic.Uint64
	respondedTwice          atomic.Uint64
}

// Violations returns the counts since the Core was created. It may be called from any goroutine.
func (c *Core) Violations() Violations {
	counters := &c.invariants
	return Violations{
		SentToDraining:          counters.sentToDraining.Load(),
		SentAfterDisconnect:     counters.sentAfterDisconnect.Load(),
		SentAfterResponse:       counters.sentAfterResponse.Load(),
		RetriedNotIdempotent:    counters.retriedNotIdempotent.Load(),
		RetriedAfterDedupWindow: counters.retriedAfterDedupWindow.Load(),
		TimeoutTooLong:          counters.timeoutTooLong.Load(),
		RespondedTwice:          counters.respondedTwice.Load(),
	}
}

// reportViolation counts and logs an invariant violation. rule is the name of the count in metrics.
func reportViolation(count *atomic.Uint64, rule, requestID string) {
	count.Add(1)
	slog.Error("invariant violated", "rule", rule, "request", requestID)
}

// SendCompleted records that the last byte of an attempt was written, and checks the invariants.
// statedTimeout is the timeout that the attempt stated to the upstream; 0 if it stated none. Transports
// call SendCompleted once for each attempt, from any goroutine.
func (m *Message) SendCompleted(now time.Time, statedTimeout time.Duration) {
	guard := m.guard
	if guard == nil {
		return
	}
	guard.checkEndpoint(now)
	guard.checkTimeout(now, statedTimeout)
	guard.checkAndRecordWrite(now)
}

// checkEndpoint reports an attempt at an endpoint that has been draining for longer than
// Config.DrainGrace.
func (g *attemptGuard) checkEndpoint(now time.Time) {
	unavailableSince := time.Duration(g.endpoint.unavailableSince.Load())
	if unavailableSince == 0 {
		return
	}
	drainingFor := g.core.clock.at(now) - unavailableSince
	if drainingFor > g.core.config.DrainGrace+schedulingTolerance {
		reportViolation(&g.core.invariants.sentToDraining, "sent_to_draining", g.request.ID)
	}
}

// checkTimeout reports an attempt whose stated timeout exceeds the client's remaining time.
func (g *attemptGuard) checkTimeout(now time.Time, statedTimeout time.Duration) {
	remaining := max(g.request.Deadline.Sub(now), 0)
	if statedTimeout > remaining+timeoutTolerance+schedulingTolerance {
		reportViolation(&g.core.invariants.timeoutTooLong, "deadline_too_long", g.request.ID)
	}
}

// checkAndRecordWrite checks an attempt against the request's history and adds the attempt to the history.
func (g *attemptGuard) checkAndRecordWrite(now time.Time) {
	history := &g.request.history
	history.mu.Lock()
	defer history.mu.Unlock()
	g.checkNotCompleted(now, history.completedAt, history.clientDisconnected)
	for _, earlier := range history.writes {
		g.checkRetry(now, earlier)
	}
	history.writes = append(history.writes, attemptWrite{attempt: g.number, at: now})
}

// checkNotCompleted reports an attempt that was started after its request was completed.
func (g *attemptGuard) checkNotCompleted(now, completedAt time.Time, clientDisconnected bool) {
	if completedAt.IsZero() || now.Sub(completedAt) <= clientDisconnectTolerance+schedulingTolerance {
		return
	}
	if clientDisconnected {
		reportViolation(&g.core.invariants.sentAfterDisconnect, "sent_for_left", g.request.ID)
	} else {
		reportViolation(&g.core.invariants.sentAfterResponse, "sent_after_answer", g.request.ID)
	}
}

// checkRetry reports a retry that the idempotency of the request's class forbids after the earlier attempt.
func (g *attemptGuard) checkRetry(now time.Time, earlier attemptWrite) {
	class := &g.core.config.Policy.Classes[g.request.Class]
	switch {
	case earlier.notExecuted || class.Idempotency == policy.Idempotent:
	case class.Idempotency == policy.NotIdempotent:
		reportViolation(&g.core.invariants.retriedNotIdempotent, "repeated_unsafe", g.request.ID)
	case now.Sub(earlier.at) > class.DedupWindow+schedulingTolerance:
		reportViolation(&g.core.invariants.retriedAfterDedupWindow, "repeated_too_late", g.request.ID)
	}
}
