// Sums of the endpoints' weights, kept up to date so that a change of one endpoint costs the same whatever
// the size of the list. Weights are relative to each other.

package policy

import (
	"math"
	"time"
)

// weightSum is the weight of a number of endpoints, and exactly 0 for none.
type weightSum struct {
	weight float64
	count  int
}

func (s *weightSum) change(sign int, weight float64) {
	s.weight += float64(sign) * weight
	s.count += sign
	if s.count == 0 {
		s.weight = 0 // and not what rounding left
	}
}

// peakDecayTime is longer than endpoints are out for a failure or a deployment.
const peakDecayTime = time.Minute

// endpointWeights are the sums. An endpoint must be removed from them before its health, weight or ejection
// changes, and added again afterwards; or recompute must follow.
type endpointWeights struct {
	ready         weightSum
	healthy       weightSum // of the ready ones that are not ejected
	peak          float64   // the highest ready weight; decays towards the present one
	peakDecayedAt time.Duration
}

func (w *endpointWeights) add(endpoint *endpointState)    { w.change(1, endpoint) }
func (w *endpointWeights) remove(endpoint *endpointState) { w.change(-1, endpoint) }

func (w *endpointWeights) change(sign int, endpoint *endpointState) {
	if endpoint.Health == Ready {
		w.ready.change(sign, endpoint.Weight)
	}
	if endpoint.healthy() {
		w.healthy.change(sign, endpoint.Weight)
	}
}

// recompute adds up all endpoints anew, which drops rounding errors.
func (w *endpointWeights) recompute(endpoints []*endpointState) {
	*w = endpointWeights{peak: w.peak, peakDecayedAt: w.peakDecayedAt}
	for _, endpoint := range endpoints {
		w.add(endpoint)
	}
}

// decayPeak lowers the peak: while replacements overlap with what they replace it is higher than usual.
func (w *endpointWeights) decayPeak(now time.Duration) {
	elapsed := float64(now - w.peakDecayedAt)
	w.peak = w.ready.weight + (w.peak-w.ready.weight)*math.Exp(-elapsed/float64(peakDecayTime))
	w.peakDecayedAt = now
}

func (w *endpointWeights) raisePeak() { w.peak = max(w.peak, w.ready.weight) }

// proportionalShare is a share of a total by weight relative to the peak: it does not grow when others leave.
func (w *endpointWeights) proportionalShare(total float64, endpoint *endpointState) float64 {
	return total * endpoint.Weight / max(w.peak, endpoint.Weight)
}
