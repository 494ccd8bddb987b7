// Retries: whether a request gets a further attempt, and where that may run, or how it ends without one.
// The inputs are the results of its attempts, the class's idempotency and the time left.

package policy

import "time"

// retryOrFinish gives a request without an attempt in flight another one, or ends it. If none can start now
// it goes to the front of the queue, even a full one, as it has waited.
func (b *Balancer) retryOrFinish(now time.Duration, request *requestState) {
	if reason := b.noRetryReason(now, request); reason != NoReason {
		b.rejectOrFail(request, reason)
		return
	}
	if !b.dispatch(now, request) {
		request.bulkhead.enqueueFirst(request)
	}
}

// noRetryReason says why a request gets no further attempt, or NoReason. Candidates probed in vain count as
// an attempt; while results of probes are still missing there is no time for other candidates.
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

// mayRunAgain says whether an attempt is allowed now at any endpoint.
func (r *requestState) mayRunAgain(now time.Duration) bool {
	first := r.firstThatMayHaveRun()
	return first == nil || r.class.repeatIsHarmless(now, first)
}

// mayRunAgainAt says whether an attempt is allowed now at this endpoint.
func (r *requestState) mayRunAgainAt(now time.Duration, endpoint *endpointState) bool {
	first := r.firstThatMayHaveRun()
	return first == nil || r.class.repeatIsHarmless(now, first) && r.class.dropsRepeat(endpoint, first.endpoint)
}

// repeatIsHarmless says whether a request may run again after an attempt that may have run.
func (c *classState) repeatIsHarmless(now time.Duration, first *attempt) bool {
	switch c.Idempotency {
	case Idempotent:
		return true
	case NotIdempotent:
		return false
	default: // IdempotentByKey
		return now < first.startedAt+c.DedupWindow
	}
}

// dropsRepeat says whether an endpoint drops what has run at another one, or does not have to.
func (c *classState) dropsRepeat(endpoint, other *endpointState) bool {
	if c.Idempotency == Idempotent || c.DedupScope == ScopeAll {
		return true
	}
	sameZone := endpoint.Zone == other.Zone
	return sameZone && (c.DedupScope == ScopeZone || endpoint.Cell == other.Cell)
}

// repeatWindow is the time for which a repeat is still dropped; 0 where none has to be, or none is.
func (r *requestState) repeatWindow(now time.Duration) time.Duration {
	first := r.firstThatMayHaveRun()
	if first == nil || r.class.Idempotency != IdempotentByKey {
		return 0
	}
	return first.startedAt + r.class.DedupWindow - now
}

// rejectOrFail is the only place that answers a held request: rejected if a retry by the client is harmless.
func (b *Balancer) rejectOrFail(request *requestState, reason Reason) {
	b.reason = reason
	if request.clientRetryIsHarmless() {
		b.counters.Rejected++
		// Drawn from 1 to 2 smoothed latencies, so that clients do not retry in step.
		pause := time.Duration((1 + b.random.Float64()) * float64(b.smoothedLatency))
		b.host.Reject(request.id, min(b.cfg.MaxRetryAfter, pause))
	} else {
		b.counters.Failed++
		b.host.Fail(request.id)
	}
	b.complete(request)
}

// clientRetryIsHarmless says that a retry by the client may reach any endpoint.
func (r *requestState) clientRetryIsHarmless() bool {
	if r.firstThatMayHaveRun() == nil || r.class.Idempotency == Idempotent {
		return true
	}
	return r.class.Idempotency == IdempotentByKey && r.class.DedupScope == ScopeAll
}

// complete closes a request that has its answer or needs none, and cancels its attempts.
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
	b.forgetIfIdle(request)
}

// forgetIfIdle forgets a completed request once it has no attempt in flight.
func (b *Balancer) forgetIfIdle(request *requestState) {
	if request.inFlight == 0 {
		delete(b.requests, request.id)
	}
}
