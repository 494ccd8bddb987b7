// Load shedding rejects requests on arrival while few of the recent requests met their latency
// objective. Without load shedding, retries by clients and requests whose clients no longer wait would
// keep the endpoints overloaded, even if each balancer had only one slot. Load shedding applies only
// while traffic is low; otherwise the bulkheads limit the load. The decision depends on decayed counts
// of recent requests and on the priority weights of the classes.

package policy

import (
	"math"
	"time"
)

const (
	loadDecayTime = 2 * time.Second // time constant: a request of this age counts 1/e

	// alwaysAdmittedRequests is added to the requests to admit and to the offered requests, so that requests
	// are admitted while too few were counted to estimate the success rate.
	alwaysAdmittedRequests = 0.5

	// growthExponent is the exponent of the success rate in the growth of the admitted load. It is high,
	// so that the load grows only if nearly all requests succeed.
	growthExponent = 12.0

	minPriorityWeight = 1e-9 // a lower priority weight counts as this value
)

// recentLoad holds decayed counts of recent requests. Requests that a full bulkhead rejected are not counted,
// because they used no endpoint.
type recentLoad struct {
	offered        float64 // admitted or shed
	admitted       float64 // not shed, and attempted or probed for
	succeeded      float64 // served within their latency objective
	shedPreference float64 // sum of the shed preferences of the offered requests
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

// record counts a completed request.
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

// admittedShare returns the share of the offered requests to admit; 1 or more means all requests. The
// number of admitted requests is about the number that succeeded, and up to twice that number while
// nearly all succeed.
func (l *recentLoad) admittedShare() float64 {
	successRate := l.succeeded / max(l.admitted, l.succeeded, 1)
	growth := 1 + math.Pow(successRate, growthExponent)
	return (alwaysAdmittedRequests + l.succeeded*growth) / (l.offered + alwaysAdmittedRequests)
}

// shouldShed decides at random whether to shed a request. A request with a lower priority weight is
// shed with a higher probability. The probability is relative to the mean shed preference, so that the
// total share of admitted requests does not depend on the priority weights.
func (b *Balancer) shouldShed(now time.Duration, request *requestState) bool {
	b.load.decay(now)
	share := b.load.admittedShare()
	request.shedPreference = 1 / max(request.class.PriorityWeight, minPriorityWeight)
	if share < 1 {
		relativePreference := request.shedPreference * (b.load.offered + 1) /
			(b.load.shedPreference + request.shedPreference)
		request.shed = b.random.Float64() > math.Pow(share, relativePreference)
	}
	return request.shed
}
