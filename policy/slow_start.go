// Slow start: the capacity of an endpoint grows linearly after its start, and the endpoint fails if
// its load is far above its capacity. Each balancer of the fleet uses an equal part of the capacity,
// by a minimum interval between its attempts at the endpoint. Rates are in requests per second.

package policy

import "time"

const (
	// slowStartBudgetShare is the part of the load an endpoint can handle that the balancers use. The
	// rest is a reserve for attempts of several balancers at the same time.
	slowStartBudgetShare = 0.5

	minSlowStartFactor   = 0.05      // lower bound of slowStartFactor
	maxSlowStartInterval = time.Hour // upper bound of slowStartInterval
)

func (e *endpointState) inSlowStart(now time.Duration) bool { return now < e.slowStartEndsAt }

// slowStartFactor returns the fraction of its full capacity that an endpoint has now, but at least
// minSlowStartFactor.
func (b *Balancer) slowStartFactor(now time.Duration, endpoint *endpointState) float64 {
	remaining := float64(max(0, endpoint.slowStartEndsAt-now)) / float64(max(1, b.cfg.SlowStartDuration))
	return max(minSlowStartFactor, 1-remaining*(1-b.cfg.SlowStartInitialShare))
}

// slowStartInterval returns the minimum time between two attempts of this balancer at an endpoint. It
// does not depend on the balancer's traffic.
func (b *Balancer) slowStartInterval(now time.Duration, endpoint *endpointState) time.Duration {
	overloadFactor := max(b.cfg.SlowStartOverloadFactor, 1)
	factor := b.slowStartFactor(now, endpoint)
	rate := b.endpointCapacity(endpoint)
	rate *= slowStartBudgetShare * overloadFactor * factor / float64(b.cfg.FleetSize)
	return time.Duration(min(float64(time.Second)/rate, float64(maxSlowStartInterval)))
}

// endpointCapacity estimates the rate of requests that an endpoint can handle. The sum of the quotas
// is close to the rate that all endpoints together can handle. Without quotas, the estimate assumes
// that an endpoint of average weight handles one request at a time.
func (b *Balancer) endpointCapacity(endpoint *endpointState) float64 {
	readyWeight := max(b.weights.ready.weight, endpoint.Weight)
	if b.totalQuota > 0 {
		return b.totalQuota * endpoint.Weight / readyWeight
	}
	relativeWeight := endpoint.Weight * float64(max(1, b.weights.ready.count)) / readyWeight
	return relativeWeight / b.smoothedLatency.Seconds()
}

// delayFirstSends sets a random time for the first attempt at each endpoint that has just started,
// because all balancers of the fleet receive the update with the start at about the same time.
func (b *Balancer) delayFirstSends(now time.Duration) {
	for _, endpoint := range b.justStarted {
		interval := b.slowStartInterval(now, endpoint)
		endpoint.nextSlowStartSendAt = now + time.Duration(b.random.Float64()*float64(interval))
	}
	b.justStarted = b.justStarted[:0]
}
