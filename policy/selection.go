// Selection picks the endpoint for an attempt by the smooth weighted round robin algorithm of nginx. Each
// pick adds the weight of each candidate to the candidate's current weight, picks the candidate with the
// highest current weight, and subtracts the sum of the weights of all candidates from the current weight of
// the picked candidate. The weights are those of the endpoint list, multiplied by the slow start factor.

package policy

import (
	"math"
	"time"
)

// selection is the result of a scan of the endpoints.
type selection struct {
	preferredOnly bool           // only preferred endpoints are candidates
	best          *endpointState // candidate with the highest current weight, or nil if there is no candidate
	totalWeight   float64        // sum of the weights of all candidates
	skippedWeight float64        // highest current weight of a skipped endpoint, including its next increase
}

// selectEndpoint picks an endpoint for a request, or returns nil if no endpoint can take the request now. If
// attempts at other zones have a cost, an endpoint that is not preferred is picked only when no preferred
// endpoint can take the request.
func (b *Balancer) selectEndpoint(now time.Duration, request *requestState) *endpointState {
	picked := selection{preferredOnly: b.prefersEndpoints(), skippedWeight: math.Inf(-1)}
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

// scanEndpoints adds the weight of each candidate to its current weight and finds the best candidate.
// An endpoint is skipped if the rules allow the attempt but the endpoint is ejected, at its
// concurrency limit, or full according to its load report.
func (b *Balancer) scanEndpoints(now time.Duration, request *requestState, picked selection) selection {
	for _, endpoint := range b.endpoints {
		switch {
		case picked.preferredOnly && !b.preferred(endpoint):
		case request.hasTried(endpoint) || !b.isAttemptAllowed(now, request, endpoint):
		case b.shouldSkip(now, endpoint):
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

// prefersEndpoints reports whether only preferred endpoints are candidates at first.
func (b *Balancer) prefersEndpoints() bool { return b.cfg.CrossZoneCost > 0 }

// isPreferredCandidate reports whether an endpoint is a candidate at first.
func (b *Balancer) isPreferredCandidate(endpoint *endpointState) bool {
	return !b.prefersEndpoints() || b.preferred(endpoint)
}

// preferred reports whether an endpoint is in the balancer's own zone and, while traffic is low, in the
// balancer's subset. With a subset, fewer connections carry the traffic, so that connections stay in use and
// fewer have to be opened, which has a cost.
func (b *Balancer) preferred(endpoint *endpointState) bool {
	return endpoint.Zone == b.cfg.Zone && (!b.lowTraffic || endpoint.inSubset)
}

// shouldSkip reports whether an endpoint should get no attempt now because of its state.
func (b *Balancer) shouldSkip(now time.Duration, endpoint *endpointState) bool {
	return b.awaitsTrial(now, endpoint) || b.atConcurrencyLimit(endpoint) || b.reportedFull(now, endpoint)
}
