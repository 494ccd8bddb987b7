// The guard: the rules that every attempt must satisfy, whichever decision requested the attempt. Only
// startAttempt starts attempts, and only isAttemptAllowed decides whether the rules allow an attempt.
//
//  1. A request gets exactly one response, before its deadline, and no attempt afterwards.
//  2. A request that is not idempotent never runs twice. At most one of its attempts is in flight
//     at a time. A further attempt requires proof that no earlier attempt has run, or an endpoint
//     that drops repeats of the request.
//  3. An endpoint that is draining or removed gets no attempt.
//  4. An endpoint that has just started gets no more load from the whole fleet than it can handle.

package policy

import "time"

// isAttemptAllowed reports whether the rules allow an attempt at an endpoint now.
func (b *Balancer) isAttemptAllowed(now time.Duration, request *requestState, endpoint *endpointState) bool {
	switch {
	case request.needsNoResponse() || now >= request.deadline, // rule 1
		len(request.attempts) >= b.cfg.MaxAttempts,
		endpoint.Health != Ready,                                        // rule 3
		endpoint.inSlowStart(now) && now < endpoint.nextSlowStartSendAt, // rule 4
		request.inFlight > 0 || !request.mayRunAgainAt(now, endpoint):   // rule 2
		return false
	}
	return true
}

// startAttempt starts an attempt if the rules allow it, and reports whether the attempt was started.
func (b *Balancer) startAttempt(now time.Duration, request *requestState, endpoint *endpointState) bool {
	if !b.isAttemptAllowed(now, request, endpoint) {
		return false
	}
	if endpoint.inSlowStart(now) {
		endpoint.nextSlowStartSendAt = now + b.slowStartInterval(now, endpoint)
	}
	writeWithin := request.remainingDedupWindow(now)
	started := attempt{endpoint: endpoint, group: endpoint.dedupGroup(), startedAt: now}
	request.attempts = append(request.attempts, started)
	request.inFlight++
	request.bulkhead.inUse++
	endpoint.inFlight++
	if len(request.attempts) > 1 {
		b.counters.Retries++
	}
	b.host.Send(request.id, endpoint.ID, request.usefulUntil-now, writeWithin)
	return true
}
