// The concurrency limit of an endpoint: how many attempts of this balancer it may hold, from the slots of
// this balancer, the endpoint's weight, and latencies as a share of the latency objective.

package policy

import "time"

const (
	overloadLatencyShare   = 0.3  // of the latency objective: a slower response or probe counts as overload
	latencyRatioSmoothing  = 8    // the mean square follows one response by 1/8
	minSquaredLatencyRatio = 1e-4 // a lower one counts as this
)

func (b *Balancer) atConcurrencyLimit(endpoint *endpointState) bool {
	return float64(endpoint.inFlight) >= b.concurrencyLimit(endpoint)
}

// concurrencyLimit is the endpoint's proportional share of all slots, less where its responses are slow, and
// at least 1. It does not grow when others leave or fail, as their load would overload those that remain.
func (b *Balancer) concurrencyLimit(endpoint *endpointState) float64 {
	squaredRatio := max(endpoint.squaredLatencyRatio, minSquaredLatencyRatio)
	slowdown := min(1, overloadLatencyShare*overloadLatencyShare/squaredRatio)
	return max(1, b.weights.proportionalShare(float64(b.totalSlots), endpoint)*slowdown)
}

// recordLatencyRatio learns from an attempt that was served or timed out.
func (e *endpointState) recordLatencyRatio(latency, objective time.Duration) {
	ratio := float64(latency) / float64(objective)
	e.squaredLatencyRatio += (ratio*ratio - e.squaredLatencyRatio) / latencyRatioSmoothing
}
