// Retries: whether a request gets a further attempt and at which endpoints, and whether a request without a
// further attempt is rejected or failed. The decisions depend on the results of the earlier attempts, the
// idempotency of the class and the time left.

package policy

import "time"

// retryOrFinish starts another attempt for a request without an attempt in flight, or rejects or fails
// the request. If no attempt can start now, the request goes to the front of the queue, even if the
// queue is full, because the request has already waited.
func (b *Balancer) retryOrFinish(now time.Duration, request *requestState) {
	if reason := b.noRetryReason(now, request); reason != NoReason {
		b.rejectOrFail(request, reason)
		return
	}
	if !b.dispatch(now, request) {
		request.bulkhead.enqueueFirst(request)
	}
}

// noRetryReason returns why a request gets no further attempt, or NoReason if it may get one. Each set
// of probed candidates counts as one attempt. If results of probes are still missing, the probes have
// used up the time for other candidates.
func (b *Balancer) noRetryReason(now time.Duration, request *requestState) Reason {
	used := max(len(request.attempts), len(request.probed)/probesPerRequest)
	switch {
	case !request.mayRunAgain(now):
		return RetryNotAllowed
	case now >= request.startDeadline():
		return TooLate
	case used >= b.cfg.MaxAttempts || request.pendingProbes > 0:
		return AttemptsExhausted
	}
	return NoReason
}

// mayRunAgain reports whether a further attempt is allowed now at some endpoint.
func (r *requestState) mayRunAgain(now time.Duration) bool {
	first := r.firstAttemptThatMayHaveRun()
	return first == nil || r.class.repeatIsSafe(now, first) && r.class.knowsDedupGroup(now, first)
}

// mayRunAgainAt reports whether a further attempt is allowed now at this endpoint.
func (r *requestState) mayRunAgainAt(now time.Duration, endpoint *endpointState) bool {
	first := r.firstAttemptThatMayHaveRun()
	return first == nil || r.class.repeatIsSafe(now, first) && r.class.dropsRepeat(now, endpoint, first)
}

// repeatIsSafe reports whether a request may be sent again after an attempt that may have run.
func (c *classState) repeatIsSafe(now time.Duration, first *attempt) bool {
	switch c.Idempotency {
	case Idempotent:
		return true
	case NotIdempotent:
		return false
	default: // IdempotentByKey
		return now < first.startedAt+c.DedupWindow
	}
}

// dropsRepeat reports whether an endpoint drops a request that may have run in an earlier attempt, or need
// not drop it because the request is idempotent.
func (c *classState) dropsRepeat(now time.Duration, endpoint *endpointState, first *attempt) bool {
	if !c.hasDedupGroups() {
		return true
	}
	if endpoint.processUnknown(now) || !c.knowsDedupGroup(now, first) {
		return false
	}
	group := endpoint.dedupGroup()
	return group.zone == first.group.zone && (c.DedupScope == ScopeZone || group.cell == first.group.cell)
}

// remainingDedupWindow returns the remaining time during which endpoints drop a repeat of the request. It
// returns 0 if no attempt may have run or if the class has no deduplication.
func (r *requestState) remainingDedupWindow(now time.Duration) time.Duration {
	first := r.firstAttemptThatMayHaveRun()
	if first == nil || r.class.Idempotency != IdempotentByKey {
		return 0
	}
	return first.startedAt + r.class.DedupWindow - now
}

// rejectOrFail rejects a request if a retry by the client is safe, and fails the request otherwise. No
// other function rejects or fails a request that has a requestState. rejectUnacceptable rejects all other
// requests.
func (b *Balancer) rejectOrFail(request *requestState, reason Reason) {
	b.reason = reason
	if request.clientRetryIsSafe() {
		b.counters.Rejected++
		// The pause is random, from 1 to 2 smoothed latencies, so that clients do not retry simultaneously.
		pause := time.Duration((1 + b.random.Float64()) * float64(b.smoothedLatency))
		b.host.Reject(request.id, min(b.cfg.MaxRetryAfter, pause))
	} else {
		b.counters.Failed++
		b.host.Fail(request.id)
	}
	b.complete(request)
}

// clientRetryIsSafe reports whether a retry by the client is safe at any endpoint.
func (r *requestState) clientRetryIsSafe() bool {
	if r.firstAttemptThatMayHaveRun() == nil || r.class.Idempotency == Idempotent {
		return true
	}
	return r.class.Idempotency == IdempotentByKey && r.class.DedupScope == ScopeAll
}

// complete ends a request that has its response or needs none, and cancels its attempts in flight.
func (b *Balancer) complete(request *requestState) {
	request.completed = true
	b.load.record(request)
	request.stopAwaitingProbes()
	request.bulkhead.dequeue(request)
	for number := range request.attempts {
		if b.cfg.CancelAllowed && request.isInFlight(number) {
			b.host.Cancel(request.id, number)
		}
	}
	b.deleteIfIdle(request)
}

// deleteIfIdle deletes a completed request if none of its attempts is in flight.
func (b *Balancer) deleteIfIdle(request *requestState) {
	if request.inFlight == 0 {
		delete(b.requests, request.id)
	}
}
