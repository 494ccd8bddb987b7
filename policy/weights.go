// Sums of the endpoints' weights. The sums are updated incrementally, so that the cost of a change of one
// endpoint does not depend on the size of the list. Weights are relative to each other.

package policy

import (
	"math"
	"time"
)

// weightSum is the total weight of a set of endpoints, which is exactly 0 for an empty set.
type weightSum struct {
	weight float64
	count  int
}

// change adds an endpoint of this weight if sign is 1, and removes the endpoint if sign is -1.
func (s *weightSum) change(sign int, weight float64) {
	s.weight += float64(sign) * weight
	s.count += sign
	if s.count == 0 {
		s.weight = 0 // removes the accumulated rounding error
	}
}

// peakDecayTime is the time constant with which the peak weight decays. It is longer than endpoints are
// unavailable during a failure or a deployment.
const peakDecayTime = time.Minute

// endpointWeights holds the sums of the weights of all endpoints. Before the health, weight or ejection of an
// endpoint changes, the endpoint must be removed from the sums, and it must be added again afterwards.
// Instead, recompute may be called after the changes.
type endpointWeights struct {
	ready         weightSum // endpoints that are Ready
	healthy       weightSum // endpoints that are Ready and not ejected
	peak          float64   // highest recent weight of ready; decays towards the current weight
	peakDecayedAt time.Duration
}

func (w *endpointWeights) add(endpoint *endpointState)    { w.change(1, endpoint) }
func (w *endpointWeights) remove(endpoint *endpointState) { w.change(-1, endpoint) }

// change adds an endpoint to the sums it belongs to if sign is 1, and removes it if sign is -1.
func (w *endpointWeights) change(sign int, endpoint *endpointState) {
	if endpoint.Health == Ready {
		w.ready.change(sign, endpoint.Weight)
	}
	if endpoint.healthy() {
		w.healthy.change(sign, endpoint.Weight)
	}
}

// recompute computes the sums again from all endpoints, which removes rounding errors.
func (w *endpointWeights) recompute(endpoints []*endpointState) {
	*w = endpointWeights{peak: w.peak, peakDecayedAt: w.peakDecayedAt}
	for _, endpoint := range endpoints {
		w.add(endpoint)
	}
}

// decayPeak lowers the peak towards the current weight of the ready endpoints. The peak is higher than usual
// after a deployment, during which new endpoints and the endpoints that they replace are ready together.
func (w *endpointWeights) decayPeak(now time.Duration) {
	elapsed := float64(now - w.peakDecayedAt)
	w.peak = w.ready.weight + (w.peak-w.ready.weight)*math.Exp(-elapsed/float64(peakDecayTime))
	w.peakDecayedAt = now
}

func (w *endpointWeights) raisePeak() { w.peak = max(w.peak, w.ready.weight) }

// proportionalShare returns the part of a total that belongs to an endpoint, in proportion to its weight
// relative to the peak weight. This part does not grow at once when other endpoints leave.
func (w *endpointWeights) proportionalShare(total float64, endpoint *endpointState) float64 {
	return total * endpoint.Weight / max(w.peak, endpoint.Weight)
}
