// Slow start: the capacity of an endpoint grows evenly from its start on, and it fails if it gets far more.
// Each balancer keeps to an even part of it by an interval between its sends. Rates are requests a second.

package policy

import "time"

const (
	slowStartBudgetShare = 0.5       // of what an endpoint bears; the rest is for sends that coincide
	minSlowStartFactor   = 0.05      // a lower one counts as this
	maxSlowStartInterval = time.Hour // a longer one counts as this
)

func (e *endpointState) inSlowStart(now time.Duration) bool { return now < e.warmUntil }

// slowStartFactor is the share of its capacity that an endpoint has at least.
func (b *Balancer) slowStartFactor(now time.Duration, endpoint *endpointState) float64 {
	remaining := float64(max(0, endpoint.warmUntil-now)) / float64(max(1, b.cfg.SlowStartDuration))
	return max(minSlowStartFactor, 1-remaining*(1-b.cfg.SlowStartInitialShare))
}

// slowStartInterval is the time between two sends of this balancer, whatever its traffic.
func (b *Balancer) slowStartInterval(now time.Duration, endpoint *endpointState) time.Duration {
	overloadFactor := max(b.cfg.SlowStartOverloadFactor, 1)
	factor := b.slowStartFactor(now, endpoint)
	rate := b.endpointCapacity(endpoint)
	rate *= slowStartBudgetShare * overloadFactor * factor / float64(b.cfg.FleetSize)
	return time.Duration(min(float64(time.Second)/rate, float64(maxSlowStartInterval)))
}

// endpointCapacity estimates the rate that an endpoint can take. The quotas are close to what all endpoints
// can take; without them one request at a time is the guide.
func (b *Balancer) endpointCapacity(endpoint *endpointState) float64 {
	readyWeight := max(b.weights.ready.weight, endpoint.Weight)
	if b.totalQuota > 0 {
		return b.totalQuota * endpoint.Weight / readyWeight
	}
	relativeWeight := endpoint.Weight * float64(max(1, b.weights.ready.count)) / readyWeight
	return relativeWeight / b.smoothedLatency.Seconds()
}

// delayFirstSends draws the times of the first sends, as all balancers learn of a start at the same moment.
func (b *Balancer) delayFirstSends(now time.Duration) {
	for _, endpoint := range b.justStarted {
		interval := b.slowStartInterval(now, endpoint)
		endpoint.nextSlowStartSendAt = now + time.Duration(b.random.Float64()*float64(interval))
	}
	b.justStarted = b.justStarted[:0]
}
