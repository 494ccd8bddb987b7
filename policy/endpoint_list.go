// The endpoint list: when a watch of the list is requested, how its updates change the endpoints that may get
// attempts, and the state that the Balancer keeps for each endpoint.

package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxWatchBackoff bounds the pause after a failed watch request. A change must take effect within 8 s of
	// being available. In the worst case a watch request fails after 3 s, the randomized pause is 1.5 times
	// maxWatchBackoff (see backoff), and the next watch request gets its response after 2 s.
	maxWatchBackoff = 3 * time.Second / 2

	// defaultWatchRepeat is the time after which a watch request without a response is repeated if
	// Config.WatchRequestWithin is 0.
	defaultWatchRepeat = 4 * time.Second

	// If Config.WatchRequestWithin is set, a watch request without a response is repeated after 3/4 of it.
	watchRepeatNumerator, watchRepeatDenominator = 3, 4
)

// endpointState is an endpoint of the list with its observed state.
type endpointState struct {
	Endpoint
	inFlight            int     // attempts of this balancer in flight
	currentWeight       float64 // current weight of smooth weighted round robin
	inSubset            bool    // the endpoint is preferred while traffic is low
	squaredLatencyRatio float64 // smoothed square of latency divided by objective

	loadReportedAt         time.Duration // time of the last load report; 0 if there is none
	otherBalancersInFlight float64       // requests of other balancers in flight, according to that report

	ejected                bool
	consecutiveFailures    int           // number of failures since the last success
	hasTransientFailure    bool          // one failure that may be transient has occurred since the last success
	lastTransientFailureAt time.Duration // time of the last failure that may be transient
	lastSuccessAt          time.Duration // time of the last served attempt or reported restart
	nextTrialAt            time.Duration // earliest time of the next trial request

	processUnknownUntil time.Duration // until then the process at the address may be that of another endpoint

	slowStartEndsAt     time.Duration // time at which slow start ends
	nextSlowStartSendAt time.Duration // earliest time of the next attempt in slow start

	probeWaiters []*requestState // requests whose probes have no result yet, in the order of the probes
}

func (e *endpointState) removed() bool { return e.Health == Removed }
func (e *endpointState) healthy() bool { return e.Health == Ready && !e.ejected }

// applyUpdate applies an update of any kind except FailedUpdate.
func (b *Balancer) applyUpdate(now time.Duration, kind UpdateKind, entries []Endpoint) {
	b.weights.decayPeak(now)
	if kind != DeltaUpdate {
		for _, endpoint := range b.endpoints {
			endpoint.Health = Removed // unless the list contains it
		}
	}
	hasRemovals := kind != DeltaUpdate
	for _, entry := range entries {
		b.applyEntry(now, entry)
		hasRemovals = hasRemovals || entry.Health == Removed
	}
	if hasRemovals { // attempts may still refer to a removed endpoint
		b.endpoints = slices.DeleteFunc(b.endpoints, (*endpointState).removed)
		maps.DeleteFunc(b.endpointsByID, func(_ EndpointID, e *endpointState) bool { return e.removed() })
	}
	if kind != DeltaUpdate {
		b.weights.recompute(b.endpoints)
	}
	b.delayFirstSends(now)
	if b.fleetInFlight == 0 {
		b.sizeBulkheads()
	}
	b.weights.raisePeak()
	b.updateLowTraffic()
	b.spreadNewEndpoints()
}

// applyEntry adds or updates one endpoint. A start later than the known start begins a new slow start and
// resets the failures of the endpoint.
func (b *Balancer) applyEntry(now time.Duration, entry Endpoint) {
	if valid := entry.Weight > 0 && !math.IsInf(entry.Weight, 0); !valid {
		entry.Weight = 1
	}
	endpoint := b.endpointsByID[entry.ID]
	if endpoint == nil {
		endpoint = b.addEndpoint(entry)
	}
	b.weights.remove(endpoint)
	restarted := entry.StartedAt > endpoint.StartedAt
	endpoint.Endpoint = entry
	if restarted {
		endpoint.slowStartEndsAt = max(endpoint.slowStartEndsAt, entry.StartedAt+b.cfg.SlowStartDuration)
		endpoint.ejected = false
		endpoint.clearFailures(now)
		endpoint.processUnknownUntil = 0 // the list has named the process that started
		b.justStarted = append(b.justStarted, endpoint)
	}
	b.weights.add(endpoint)
}

// addEndpoint adds an endpoint with random membership in the preferred subset, so that the balancers of the
// fleet do not all prefer the same endpoints.
func (b *Balancer) addEndpoint(entry Endpoint) *endpointState {
	endpoint := &endpointState{}
	b.justAdded = append(b.justAdded, endpoint)
	endpoint.inSubset = b.random.IntN(2) != 0
	b.endpoints = append(b.endpoints, endpoint)
	b.endpointsByID[entry.ID] = endpoint
	return endpoint
}

// spreadNewEndpoints starts each new endpoint at a random position of the weighted round robin's cycle, in
// which the current weights lie around 0 and differ by up to the total weight of the candidates. The first
// picks of a balancer are then in proportion to the weights. If the current weights differed by less, the
// first picks of all balancers of a fleet would be the endpoints with the highest weights; if they differed
// by more, some endpoints would be picked several times before others.
func (b *Balancer) spreadNewEndpoints() {
	if len(b.justAdded) == 0 {
		return
	}
	preferredWeight, otherWeight := b.candidateWeights()
	for _, endpoint := range b.justAdded {
		cycleWeight := otherWeight
		if b.isPreferredCandidate(endpoint) {
			cycleWeight = preferredWeight
		}
		endpoint.currentWeight = (b.random.Float64() - 0.5) * cycleWeight
	}
	b.justAdded = b.justAdded[:0]
}

// candidateWeights returns the total weights of the endpoints that selectEndpoint considers first and of the
// others, which it considers only if none of the first can take the request.
func (b *Balancer) candidateWeights() (preferred, others float64) {
	for _, endpoint := range b.endpoints {
		switch {
		case endpoint.Health != Ready:
		case b.isPreferredCandidate(endpoint):
			preferred += endpoint.Weight
		default:
			others += endpoint.Weight
		}
	}
	return preferred, others
}

// requestWatch sends a watch request and schedules a repeat in case the request gets no response.
func (b *Balancer) requestWatch(now time.Duration) {
	interval := b.cfg.WatchRequestWithin * watchRepeatNumerator / watchRepeatDenominator
	b.nextWatchAt = now + cmp.Or(interval, defaultWatchRepeat)
	b.host.RequestWatch()
}

func (b *Balancer) watchDue(now time.Duration) bool {
	return b.cfg.WatchOnRequest && b.nextWatchAt > 0 && now >= b.nextWatchAt
}

func (b *Balancer) watchFailed(now time.Duration) {
	b.nextWatchAt = now + b.backoff(b.watchFailures, maxWatchBackoff)
	b.watchFailures++
}

func (b *Balancer) watchSucceeded() {
	b.nextWatchAt = 0
	b.watchFailures = 0
}
