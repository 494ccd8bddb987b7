// Admission decides on arrival whether a request is dispatched, queued or rejected. It also sets the
// deadlines that later decisions use, based on the client's timeout, the class and smoothed latencies
// (all durations).

package policy

import "time"

const (
	maxTimeout            = time.Hour        // a longer timeout of a client counts as this value
	retryTimeoutMargin    = 2 * busyInterval // a timeout shorter than usual by more than this indicates a retry
	usualTimeoutSmoothing = 64               // weight 1/64 of a shorter timeout in the usual timeout

	// An attempt must start at least 2 smoothed latencies before the objective. The required time is
	// at most 1/2 of the latency objective.
	startMarginLatencies        = 2
	startMarginObjectiveDivisor = 2
)

// acceptable reports whether a request can be admitted at all: its class and tenant exist, time is
// left, and the Balancer is not shutting down.
func (b *Balancer) acceptable(received Request) bool {
	knownClass := received.Class >= 0 && received.Class < len(b.classes)
	knownTenant := received.Tenant >= 0 && received.Tenant < len(b.bulkheads)
	return knownClass && knownTenant && received.Timeout > 0 && !b.shuttingDown
}

// rejectUnacceptable rejects a request that is not acceptable and for which no state is kept.
func (b *Balancer) rejectUnacceptable(id RequestID) {
	b.reason = InvalidRequest
	if b.shuttingDown {
		b.reason = ShuttingDown
	}
	b.counters.Rejected++
	b.host.Reject(id, 0)
}

// newRequest returns the state of a request with its deadlines. The latency objective of a client's retry is
// counted from the estimated time of the client's first request.
func (b *Balancer) newRequest(now time.Duration, received Request) *requestState {
	class := &b.classes[received.Class]
	class.recordTimeout(received.Timeout)
	deadline := now + min(received.Timeout, maxTimeout)
	firstReceivedAt := now
	if b.isClientRetry(class, received) {
		firstReceivedAt = min(now, deadline-class.Deadline)
	}
	stretch := time.Duration(class.ObjectiveWorkFactor * float64(received.ExpectedWork))
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

// recordTimeout updates the longest recent timeout. The value decays because clients may change their
// timeouts.
func (c *classState) recordTimeout(timeout time.Duration) {
	c.usualTimeout = max(timeout, c.usualTimeout-(c.usualTimeout-timeout)/usualTimeoutSmoothing)
}

// isClientRetry reports whether a request is a retry by the client. The timeout of a retry is shorter
// than usual, because the client has spent the rest of the time on earlier requests. If
// Config.ClientsMarkRetries is set, the request must also be marked as a retry.
func (b *Balancer) isClientRetry(class *classState, received Request) bool {
	mayBeRetry := received.ClientRetry || !b.cfg.ClientsMarkRetries
	return mayBeRetry && received.Timeout < class.usualTimeout-retryTimeoutMargin
}

// lateResponseMayHaveValue reports whether a response after the objective may have a value. That is
// also the case if the objective depends on the expected work and the expected work is unknown.
func (c *classState) lateResponseMayHaveValue(received Request) bool {
	return c.LateValueShare > 0 || (c.ObjectiveWorkFactor > 0 && received.ExpectedWork == 0)
}

// startDeadline returns the latest time at which an attempt may start. An attempt that starts later
// would probably miss the objective.
func (r *requestState) startDeadline() time.Duration {
	usualTime := startMarginLatencies * r.class.smoothedLatency
	return r.objectiveAt - min(usualTime, r.class.LatencyObjective/startMarginObjectiveDivisor)
}

// admit dispatches, queues or rejects a request that has just arrived. A request that arrives too late
// for its objective is not queued, but may use a free slot until its deadline.
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
	case b.lowTraffic && b.shouldShed(now, request):
		b.counters.LoadShed++
		b.rejectOrFail(request, LoadShedding)
	case b.dispatch(now, request): // an attempt has started, or the request waits for probes
	case tooLate:
		b.rejectOrFail(request, TooLate)
	case request.bulkhead.queueFull():
		b.rejectOrFail(request, QueueFull)
	default:
		request.bulkhead.enqueue(request)
	}
}
