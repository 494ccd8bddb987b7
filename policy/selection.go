// Selection picks the endpoint for an attempt by smooth weighted round robin, as nginx does: a pick adds
// its weight to the current weight of each candidate, takes the highest, and subtracts the sum of the
// weights from it. The inputs are the weights of the endpoint list, scaled by the slow start factor.

package policy

import (
	"math"
	"time"
)

type selection struct {
	preferredOnly bool
	best          *endpointState // the candidate of the highest current weight, or nil
	totalWeight   float64        // of all candidates
	skippedWeight float64        // highest current weight of an endpoint that was skipped
}

// selectEndpoint picks an endpoint for a request, or returns nil if none can take it now. Where crossing
// zones has a cost, endpoints that are not preferred come second.
func (b *Balancer) selectEndpoint(now time.Duration, request *requestState) *endpointState {
	picked := selection{preferredOnly: b.cfg.CrossZoneCost > 0, skippedWeight: math.Inf(-1)}
	picked = b.scanEndpoints(now, request, picked)
	if picked.best == nil && picked.preferredOnly {
		picked.preferredOnly = false
		picked = b.scanEndpoints(now, request, picked)
	}
	if picked.best == nil {
		return nil
	}
	switch {
	case picked.best.ejected:
		b.counters.TrialRequests++
		b.scheduleTrial(now, picked.best)
	case picked.best.currentWeight >= picked.skippedWeight:
		b.counters.RoundRobinPicks++
	default:
		b.counters.SkippedPicks++
	}
	picked.best.currentWeight -= picked.totalWeight
	return picked.best
}

// scanEndpoints gives each candidate its weight. An endpoint that may take the request but is not in a state
// to do so is skipped.
func (b *Balancer) scanEndpoints(now time.Duration, request *requestState, picked selection) selection {
	for _, endpoint := range b.endpoints {
		switch {
		case picked.preferredOnly && !b.preferred(endpoint):
		case request.hasUsed(endpoint) || !b.admitAttempt(now, request, endpoint):
		case b.mustSkip(now, endpoint):
			picked.skippedWeight = max(picked.skippedWeight, endpoint.currentWeight+endpoint.Weight)
		default:
			weight := endpoint.Weight * b.slowStartFactor(now, endpoint)
			endpoint.currentWeight += weight
			picked.totalWeight += weight
			if picked.best == nil || endpoint.currentWeight > picked.best.currentWeight {
				picked.best = endpoint
			}
		}
	}
	return picked
}

// preferred says that an endpoint is in the own zone and, where traffic is low, in this balancer's subset:
// fewer connections are kept in use, and opening one has a cost.
func (b *Balancer) preferred(endpoint *endpointState) bool {
	return endpoint.Zone == b.cfg.Zone && (!b.lowTraffic || endpoint.inSubset)
}

func (b *Balancer) mustSkip(now time.Duration, endpoint *endpointState) bool {
	return b.awaitsTrial(now, endpoint) || b.atConcurrencyLimit(endpoint) || b.reportedFull(now, endpoint)
}
