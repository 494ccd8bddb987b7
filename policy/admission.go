// Admission decides on arrival whether a request is dispatched, queued or rejected, and fixes the times that
// later decisions go by, from the client's timeout, the class and smoothed latencies (all durations).

package policy

import "time"

const (
	maxTimeout            = time.Hour        // a longer timeout of a client counts as this
	retryTimeoutMargin    = 2 * busyInterval // a timeout that is shorter than usual by more marks a retry
	usualTimeoutSmoothing = 64               // the usual timeout follows a shorter one by 1/64
	startLatencies        = 2                // smoothed latencies that have to be left for an attempt,
	startObjectiveDivisor = 2                // but never more than 1/2 of the objective
)

func (b *Balancer) acceptable(received Request) bool {
	knownClass := received.Class >= 0 && received.Class < len(b.classes)
	knownTenant := received.Tenant >= 0 && received.Tenant < len(b.bulkheads)
	return knownClass && knownTenant && received.Timeout > 0 && !b.shuttingDown
}

func (b *Balancer) rejectUnheld(id RequestID) {
	b.reason = InvalidRequest
	if b.shuttingDown {
		b.reason = ShuttingDown
	}
	b.counters.Rejected++
	b.host.Reject(id, 0)
}

// newRequest fixes the times of a request. A retry by the client gets what is left of the first objective.
func (b *Balancer) newRequest(now time.Duration, received Request) *requestState {
	class := &b.classes[received.Class]
	class.recordTimeout(received.Timeout)
	deadline := now + min(received.Timeout, maxTimeout)
	firstReceivedAt := now
	if b.isClientRetry(class, received) {
		firstReceivedAt = min(now, deadline-class.Deadline)
	}
	stretch := time.Duration(class.ObjectiveStretch * float64(received.ExpectedWork))
	objectiveAt := min(deadline, firstReceivedAt+class.LatencyObjective+stretch)
	usefulUntil := objectiveAt
	if class.lateResponseMayHaveValue(received) {
		usefulUntil = deadline
	}
	return &requestState{
		id: received.ID, class: class, bulkhead: &b.bulkheads[received.Tenant],
		deadline: deadline, objectiveAt: objectiveAt, usefulUntil: usefulUntil,
	}
}

// recordTimeout keeps the longest recent timeout, decaying as clients may change theirs.
func (c *classState) recordTimeout(timeout time.Duration) {
	c.usualTimeout = max(timeout, c.usualTimeout-(c.usualTimeout-timeout)/usualTimeoutSmoothing)
}

// isClientRetry says that a request comes with less time than usual, because the client has spent the rest
// on earlier ones. Where clients mark retries the mark is needed too.
func (b *Balancer) isClientRetry(class *classState, received Request) bool {
	mayBeRetry := received.ClientRetry || !b.cfg.ClientsMarkRetries
	return mayBeRetry && received.Timeout < class.usualTimeout-retryTimeoutMargin
}

// lateResponseMayHaveValue is true also where the objective grows with the work and the work is unknown.
func (c *classState) lateResponseMayHaveValue(received Request) bool {
	return c.LateValueShare > 0 || (c.ObjectiveStretch > 0 && received.ExpectedWork == 0)
}

// startDeadline is when the last attempt has to start: a later one would probably miss the objective.
func (r *requestState) startDeadline() time.Duration {
	usualTime := startLatencies * r.class.smoothedLatency
	return r.objectiveAt - min(usualTime, r.class.LatencyObjective/startObjectiveDivisor)
}

// admit dispatches, queues or rejects a request that has just arrived. One that is too late for its
// objective may still use a slot that is free, until its deadline.
func (b *Balancer) admit(now time.Duration, request *requestState) {
	tooLate := now > request.startDeadline()
	if tooLate {
		request.usefulUntil = request.deadline
		request.objectiveAt = request.deadline
	}
	switch {
	case b.lowTraffic && tooLate:
		b.counters.LoadShed++
		b.rejectOrFail(request, TooLate)
	case b.lowTraffic && b.mustShed(now, request):
		b.counters.LoadShed++
		b.rejectOrFail(request, LoadShedding)
	case b.dispatch(now, request): // its attempt has started, or it awaits probes
	case tooLate:
		b.rejectOrFail(request, TooLate)
	case request.bulkhead.queueFull():
		b.rejectOrFail(request, QueueFull)
	default:
		request.bulkhead.enqueue(request)
	}
}
