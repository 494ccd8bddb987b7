// The endpoint list: when it is requested, how its updates change the endpoints that attempts may go to,
// and what is known of each endpoint.

package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxWatchBackoff: a change must take effect 8 s after it was available. A request may be given up after
	// 3 s, this pause be drawn half as long again (backoff), and the next request be answered after 2 s.
	maxWatchBackoff = 3 * time.Second / 2

	defaultWatchRepeat = 4 * time.Second // where Config.WatchRequestWithin is not set
	// A silent request is repeated after 3/4 of Config.WatchRequestWithin.
	watchRepeatNumerator, watchRepeatDenominator = 3, 4
)

// endpointState is an endpoint of the list and what is known of it.
type endpointState struct {
	Endpoint
	inFlight            int     // attempts of this balancer
	currentWeight       float64 // in weighted round robin
	inSubset            bool    // preferred where traffic is low
	squaredLatencyRatio float64 // smoothed square of latency / objective

	reportedAt      time.Duration // last load report; 0: none
	foreignInFlight float64       // requests of other balancers by that report

	ejected             bool
	consecutiveFailures int           // since the last response
	pendingFailure      bool          // one failure, since the last response, that may be chance
	lastErrorAt         time.Duration // last such failure
	lastResponseAt      time.Duration // last attempt that was served, or when a restart became known
	nextTrialAt         time.Duration

	warmUntil           time.Duration // end of slow start
	nextSlowStartSendAt time.Duration // in slow start: no attempt before this

	probeWaiters []*requestState // requests whose probes have no result yet, in order
}

func (e *endpointState) removed() bool { return e.Health == Removed }
func (e *endpointState) healthy() bool { return e.Health == Ready && !e.ejected }

// applyUpdate applies any update but a FailedUpdate.
func (b *Balancer) applyUpdate(now time.Duration, kind UpdateKind, entries []Endpoint) {
	b.weights.decayPeak(now)
	if kind != DeltaUpdate {
		for _, endpoint := range b.endpoints {
			endpoint.Health = Removed // unless the list names it
		}
	}
	removal := kind != DeltaUpdate
	for _, entry := range entries {
		b.applyEntry(now, entry)
		removal = removal || entry.Health == Removed
	}
	if removal { // attempts may still refer to what is removed
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
}

func (b *Balancer) applyEntry(now time.Duration, entry Endpoint) {
	if usable := entry.Weight > 0 && !math.IsInf(entry.Weight, 0); !usable {
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
		endpoint.warmUntil = max(endpoint.warmUntil, entry.StartedAt+b.cfg.SlowStartDuration)
		endpoint.ejected = false
		endpoint.clearFailures(now)
		b.justStarted = append(b.justStarted, endpoint)
	}
	b.weights.add(endpoint)
}

// addEndpoint draws the current weight and the subset membership: balancers must not select in step.
func (b *Balancer) addEndpoint(entry Endpoint) *endpointState {
	endpoint := &endpointState{}
	endpoint.currentWeight = b.random.Float64() * entry.Weight
	endpoint.inSubset = b.random.IntN(2) != 0
	b.endpoints = append(b.endpoints, endpoint)
	b.endpointsByID[entry.ID] = endpoint
	return endpoint
}

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
