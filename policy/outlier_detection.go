// Outlier detection ejects endpoints that fail, by the results of attempts and probes. An ejected endpoint
// gets one trial request at a time, after a pause that grows with each failure, until one is served.

package policy

import "time"

const (
	initialBackoff      = 250 * time.Millisecond // after a failure; doubled after each further one
	maxBackoff          = 4 * time.Second
	maxBackoffDoublings = 16  // maxBackoff is reached before; more would overflow
	minBackoffFactor    = 0.5 // a pause is drawn from this multiple of its length on, to 1 more

	initialLatencyDivisor   = 8  // smoothed latencies start at 1/8 of the objective
	classLatencySmoothing   = 16 // a class's smoothed latency follows one response by 1/16
	overallLatencySmoothing = 32 // and that of all classes by 1/32
)

// backoff is the pause after so many earlier failures, drawn so that balancers do not act in step.
func (b *Balancer) backoff(earlierFailures int, longest time.Duration) time.Duration {
	pause := min(initialBackoff<<min(earlierFailures, maxBackoffDoublings), longest)
	return time.Duration(float64(pause) * (minBackoffFactor + b.random.Float64()))
}

func (b *Balancer) recordOutcome(now time.Duration, class *classState, ended *attempt, result AttemptResult) {
	endpoint := ended.endpoint
	latency := now - ended.startedAt
	if result == Served || result == TimedOut {
		endpoint.recordLatencyRatio(latency, class.LatencyObjective)
	}
	switch result {
	case Served:
		class.smoothedLatency += (latency - class.smoothedLatency) / classLatencySmoothing
		b.smoothedLatency += (latency - b.smoothedLatency) / overallLatencySmoothing
		b.recordSuccess(now, endpoint)
	case TimedOut:
		if endpoint.lastResponseAt <= ended.startedAt { // it responded to no other attempt either
			b.recordFailure(now, endpoint)
		}
	case ConnectionReset:
		if ended.startedAt >= endpoint.lastErrorAt { // else it broke together with another one
			b.recordPossibleFailure(now, endpoint)
		}
	case ServerError:
		b.recordPossibleFailure(now, endpoint)
	case Rejected, ConnectionFailed:
		b.recordFailure(now, endpoint)
	case Cancelled, NotSent: // no evidence about the endpoint
	}
}

func (b *Balancer) recordSuccess(now time.Duration, endpoint *endpointState) {
	endpoint.clearFailures(now)
	b.setEjected(now, endpoint, false)
}

// recordPossibleFailure takes a failure that may be chance: it counts unless it is the first since a success.
func (b *Balancer) recordPossibleFailure(now time.Duration, endpoint *endpointState) {
	endpoint.lastErrorAt = now
	if endpoint.pendingFailure {
		b.recordFailure(now, endpoint)
	}
	endpoint.pendingFailure = true
}

func (b *Balancer) recordFailure(now time.Duration, endpoint *endpointState) {
	b.scheduleTrial(now, endpoint)
	endpoint.consecutiveFailures++
	b.setEjected(now, endpoint, true)
}

func (b *Balancer) scheduleTrial(now time.Duration, endpoint *endpointState) {
	endpoint.nextTrialAt = now + b.backoff(endpoint.consecutiveFailures, maxBackoff)
}

// awaitsTrial says that an ejected endpoint gets no attempt now. While all are ejected, any may get one.
func (b *Balancer) awaitsTrial(now time.Duration, endpoint *endpointState) bool {
	trialDue := now >= endpoint.nextTrialAt && endpoint.inFlight == 0
	return b.weights.healthy.weight > 0 && endpoint.ejected && !trialDue
}

func (e *endpointState) clearFailures(now time.Duration) {
	e.lastResponseAt = now
	e.consecutiveFailures = 0
	e.pendingFailure = false
}

func (b *Balancer) setEjected(now time.Duration, endpoint *endpointState, ejected bool) {
	if endpoint.ejected == ejected {
		return
	}
	b.weights.decayPeak(now)
	b.weights.remove(endpoint)
	endpoint.ejected = ejected
	b.weights.add(endpoint)
}
