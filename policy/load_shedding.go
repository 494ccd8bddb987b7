// Load shedding rejects requests on arrival while few of the recent ones met their objective. Otherwise
// clients' retries and requests without a waiting client keep endpoints overloaded, even at one slot for
// each balancer. Only where traffic is low: else bulkheads bound the load. The inputs are recent requests, as
// decayed counts, and priority weights.

package policy

import (
	"math"
	"time"
)

const (
	loadDecayTime     = 2 * time.Second // after it a request counts 1/e
	alwaysAdmitted    = 0.5             // requests in any case: fewer say nothing about a rate
	growthExponent    = 12.0            // of the success rate: growth needs nearly all to succeed
	minPriorityWeight = 1e-9            // a lower one counts as this
)

// recentLoad counts recent requests, but for those that a full bulkhead rejected: they used no endpoint.
type recentLoad struct {
	offered        float64
	admitted       float64 // not shed
	succeeded      float64 // served within their objective
	shedPreference float64 // summed up for the offered ones
	decayedAt      time.Duration
}

func (l *recentLoad) decay(now time.Duration) {
	factor := math.Exp(-float64(now-l.decayedAt) / float64(loadDecayTime))
	l.decayedAt = now
	l.offered *= factor
	l.admitted *= factor
	l.succeeded *= factor
	l.shedPreference *= factor
}

func (l *recentLoad) record(request *requestState) {
	usedEndpoints := len(request.attempts)+len(request.probed) > 0
	if request.shed || usedEndpoints {
		l.offered++
		l.shedPreference += request.shedPreference
	}
	if !request.shed && usedEndpoints {
		l.admitted++
	}
}

// admittedShare is the share of requests to admit; 1 or more admits all. As many as succeeded are admitted,
// and up to as many again while nearly all succeed.
func (l *recentLoad) admittedShare() float64 {
	successRate := l.succeeded / max(l.admitted, l.succeeded, 1)
	growth := 1 + math.Pow(successRate, growthExponent)
	return (alwaysAdmitted + l.succeeded*growth) / (l.offered + alwaysAdmitted)
}

// mustShed draws whether to shed a request. A lower priority weight makes it likelier, relative to the mean
// preference, so that the share that is admitted stays the same.
func (b *Balancer) mustShed(now time.Duration, request *requestState) bool {
	b.load.decay(now)
	share := b.load.admittedShare()
	request.shedPreference = 1 / max(request.class.PriorityWeight, minPriorityWeight)
	if share < 1 {
		relative := request.shedPreference * (b.load.offered + 1) / (b.load.shedPreference + request.shedPreference)
		request.shed = b.random.Float64() > math.Pow(share, relative)
	}
	return request.shed
}
