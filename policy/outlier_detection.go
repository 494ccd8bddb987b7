// Outlier detection ejects failing endpoints, based on the results of attempts and probes. An ejected
// endpoint gets one trial request at a time, after a pause that grows with each failure, until a
// request is served.

package policy

import "time"

const (
	initialBackoff      = 250 * time.Millisecond // pause after one failure; doubled after each further failure
	maxBackoff          = 4 * time.Second        // maximum pause between trial requests, before randomization
	maxBackoffDoublings = 16                     // maxBackoff is reached earlier; more doublings would overflow
	minBackoffFactor    = 0.5                    // smallest random factor of a pause; the largest is 1 more

	initialLatencyDivisor   = 8  // the initial smoothed latency is 1/8 of the objective
	classLatencySmoothing   = 16 // weight 1/16 of a new response in a class's smoothed latency
	overallLatencySmoothing = 32 // weight 1/32 of a new response in the smoothed latency of all classes
)

// backoff returns the pause after a number of earlier failures. The pause doubles with each failure up
// to maxPause, and is multiplied by a random factor from 0.5 to 1.5 so that balancers do not
// act at the same time.
func (b *Balancer) backoff(earlierFailures int, maxPause time.Duration) time.Duration {
	pause := min(initialBackoff<<min(earlierFailures, maxBackoffDoublings), maxPause)
	return time.Duration(float64(pause) * (minBackoffFactor + b.random.Float64()))
}

// recordOutcome updates the latencies and the failures of an endpoint from the result of an attempt.
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
		if endpoint.lastSuccessAt <= ended.startedAt { // no other attempt was served in the meantime either
			b.recordFailure(now, endpoint)
		}
	case ConnectionReset:
		if ended.startedAt >= endpoint.lastTransientFailureAt { // otherwise it failed with another connection
			b.recordTransientFailure(now, endpoint)
		}
	case ServerError:
		b.recordTransientFailure(now, endpoint)
	case Rejected, ConnectionFailed:
		b.recordFailure(now, endpoint)
	case Cancelled, NotSent: // the result says nothing about the endpoint
	}
}

func (b *Balancer) recordSuccess(now time.Duration, endpoint *endpointState) {
	endpoint.clearFailures(now)
	b.setEjected(now, endpoint, false)
}

// recordTransientFailure records a failure that may be transient. The first failure after a success does not
// count; each further failure does.
func (b *Balancer) recordTransientFailure(now time.Duration, endpoint *endpointState) {
	endpoint.lastTransientFailureAt = now
	if endpoint.hasTransientFailure {
		b.recordFailure(now, endpoint)
	}
	endpoint.hasTransientFailure = true
}

// recordFailure ejects an endpoint and schedules its next trial request.
func (b *Balancer) recordFailure(now time.Duration, endpoint *endpointState) {
	b.scheduleTrial(now, endpoint)
	endpoint.consecutiveFailures++
	b.setEjected(now, endpoint, true)
}

func (b *Balancer) scheduleTrial(now time.Duration, endpoint *endpointState) {
	endpoint.nextTrialAt = now + b.backoff(endpoint.consecutiveFailures, maxBackoff)
}

// awaitsTrial reports whether an endpoint gets no attempt now because it is ejected and no trial
// request is due. While all endpoints are ejected, each of them may get attempts.
func (b *Balancer) awaitsTrial(now time.Duration, endpoint *endpointState) bool {
	trialDue := now >= endpoint.nextTrialAt && endpoint.inFlight == 0
	return b.weights.healthy.weight > 0 && endpoint.ejected && !trialDue
}

func (e *endpointState) clearFailures(now time.Duration) {
	e.lastSuccessAt = now
	e.consecutiveFailures = 0
	e.hasTransientFailure = false
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
