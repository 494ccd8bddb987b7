// What is known of a request until its last attempt has ended. Times are on the balancer's clock.

package policy

import (
	"slices"
	"time"
)

// classState is a class and what was learnt of it.
type classState struct {
	Class
	smoothedLatency time.Duration // of attempts that were served
	usualTimeout    time.Duration // the longest of the recent requests
}

// requestState is a request that is held. It uses a slot while an attempt is in flight or it awaits probes.
type requestState struct {
	id       RequestID
	class    *classState
	bulkhead *bulkhead

	deadline    time.Duration // the client gives up
	usefulUntil time.Duration // a later response has no value, and attempts are given up
	objectiveAt time.Duration // an earlier response has its full value

	attempts  []attempt
	inFlight  int  // attempts that have not ended
	streaming bool // the response is being passed on to the client
	completed bool // it has its answer or needs none; held until its attempts have ended

	shed           bool    // rejected by load shedding
	shedPreference float64 // how readily, relative to other requests

	awaitingProbes bool
	probed         []*endpointState // all candidates so far
	pendingProbes  int              // probes of the last candidates without a result
	bestProbed     *endpointState   // the least loaded of the last candidates that responded, or nil
	bestProbedLoad float64          // requests in flight there, for each unit of weight
	probeDeadline  time.Duration    // when to dispatch to the best so far
}

type attempt struct {
	endpoint  *endpointState
	startedAt time.Duration
	ended     bool
	neverRan  bool // proven by its result
}

// isInFlight says that an attempt of this number has started and not ended.
func (r *requestState) isInFlight(number int) bool {
	return number >= 0 && number < len(r.attempts) && !r.attempts[number].ended
}

func (r *requestState) releaseAttempt(a *attempt, result AttemptResult) {
	a.ended = true
	a.neverRan = result.provesNotRun()
	a.endpoint.inFlight--
	r.inFlight--
	r.bulkhead.inUse--
}

// firstThatMayHaveRun returns the first attempt that may have run or still may, or nil.
func (r *requestState) firstThatMayHaveRun() *attempt {
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// hasUsed says that the request was attempted at an endpoint or probed for there.
func (r *requestState) hasUsed(endpoint *endpointState) bool {
	attempted := func(a attempt) bool { return a.endpoint == endpoint }
	return slices.ContainsFunc(r.attempts, attempted) || slices.Contains(r.probed, endpoint)
}

// answered says that the request has its answer, or the answer has started.
func (r *requestState) answered() bool { return r.completed || r.streaming }
