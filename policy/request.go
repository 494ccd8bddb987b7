// The state of a request, which the Balancer keeps until the last attempt of the request has ended. Times
// are on the balancer's clock.

package policy

import (
	"slices"
	"time"
)

// classState is a class with the latencies and timeouts observed in its requests.
type classState struct {
	Class
	smoothedLatency time.Duration // smoothed latency of served attempts
	usualTimeout    time.Duration // longest timeout of recent requests; decays
}

// requestState is a request that is not finished. The request uses a slot of its bulkhead while an attempt
// is in flight or while the request waits for the results of probes.
type requestState struct {
	id       RequestID
	class    *classState
	bulkhead *bulkhead

	deadline    time.Duration // time at which the client stops waiting
	usefulUntil time.Duration // a later response has no value, so attempts time out then
	objectiveAt time.Duration // a response before this time has its full value

	attempts  []attempt
	inFlight  int  // number of attempts that have not ended
	streaming bool // the response to the client has started
	completed bool // has its response, or its client no longer waits; kept until its attempts have ended

	shed           bool    // rejected by load shedding
	shedPreference float64 // how likely the request is to be shed, relative to other requests

	awaitingProbes bool
	probed         []*endpointState // all candidates probed so far
	pendingProbes  int              // probes of the latest candidates that have no result yet
	bestProbed     *endpointState   // least loaded of the latest candidates that responded, or nil
	bestProbedLoad float64          // requests in flight at bestProbed per unit of weight
	probeDeadline  time.Duration    // time at which to dispatch to the best candidate so far
}

// attempt is one attempt of a request.
type attempt struct {
	endpoint  *endpointState
	group     dedupGroup // of the endpoint when the attempt was started
	startedAt time.Duration
	ended     bool
	neverRan  bool // its result proves that the endpoint did not run the request
}

// isInFlight reports whether the attempt with this number has started and not ended.
func (r *requestState) isInFlight(number int) bool {
	return number >= 0 && number < len(r.attempts) && !r.attempts[number].ended
}

// releaseAttempt marks an attempt as ended and frees its slot.
func (r *requestState) releaseAttempt(a *attempt, result AttemptResult) {
	a.ended = true
	a.neverRan = result.provesNotRun()
	a.endpoint.inFlight--
	r.inFlight--
	r.bulkhead.inUse--
}

// firstAttemptThatMayHaveRun returns the first attempt that may have run or may still run, or nil if
// there is none.
func (r *requestState) firstAttemptThatMayHaveRun() *attempt {
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// hasTried reports whether the request has had an attempt at an endpoint or has probed the endpoint.
func (r *requestState) hasTried(endpoint *endpointState) bool {
	attempted := func(a attempt) bool { return a.endpoint == endpoint }
	return slices.ContainsFunc(r.attempts, attempted) || slices.Contains(r.probed, endpoint)
}

// needsNoResponse reports whether the request is completed or its response has started.
func (r *requestState) needsNoResponse() bool { return r.completed || r.streaming }
