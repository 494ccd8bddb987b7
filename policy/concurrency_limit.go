// The concurrency limit of an endpoint: how many attempts of this balancer the endpoint may have in
// flight. The limit depends on the slots of this balancer, the weight of the endpoint, and the
// latencies of its responses relative to the latency objective.

package policy

import "time"

const (
	overloadLatencyShare   = 0.3  // share of the objective; a slower response or probe indicates overload
	latencyRatioSmoothing  = 8    // weight 1/8 of a new response in the mean square
	minSquaredLatencyRatio = 1e-4 // a lower mean square counts as this value
)

func (b *Balancer) atConcurrencyLimit(endpoint *endpointState) bool {
	return float64(endpoint.inFlight) >= b.concurrencyLimit(endpoint)
}

// concurrencyLimit returns the endpoint's proportional share of all slots, reduced if its responses
// are slow, and at least 1. The limit does not grow at once when other endpoints leave or fail,
// because their load would overload the remaining endpoints.
func (b *Balancer) concurrencyLimit(endpoint *endpointState) float64 {
	squaredRatio := max(endpoint.squaredLatencyRatio, minSquaredLatencyRatio)
	slowdown := min(1, overloadLatencyShare*overloadLatencyShare/squaredRatio)
	return max(1, b.weights.proportionalShare(float64(b.totalSlots), endpoint)*slowdown)
}

// recordLatencyRatio updates the mean square of the latency ratio from an attempt that was served or
// timed out.
func (e *endpointState) recordLatencyRatio(latency, objective time.Duration) {
	ratio := float64(latency) / float64(objective)
	e.squaredLatencyRatio += (ratio*ratio - e.squaredLatencyRatio) / latencyRatioSmoothing
}
