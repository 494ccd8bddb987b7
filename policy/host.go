// The interface through which a Balancer acts.

package policy

import "time"

// Host executes the decisions of a Balancer.
//
// The Balancer calls these methods from within its event methods, on the caller's
// goroutine. They must not block and must not call the Balancer, except for
// Balancer.Reason from within Reject and Fail. The program reports the result of an action
// later, by calling an event method of the Balancer.
type Host interface {
	// Send starts the next attempt of a request. The attempts of a request are numbered
	// from 0 in the order of these calls. The attempt must end after timeout at the latest,
	// and the program must report its end to Balancer.AttemptEnded in any case. If
	// writeWithin is above 0, the last byte of the request must be written within that time
	// or not at all, because after that time the endpoints no longer drop the request as a
	// repeat of an earlier attempt.
	Send(id RequestID, to EndpointID, timeout, writeWithin time.Duration)

	// Reject responds to a request with an error that states that the client may safely retry.
	// The recommended pause before the retry is retryAfter, between 0 and
	// Config.MaxRetryAfter.
	Reject(id RequestID, retryAfter time.Duration)

	// Fail responds to a request with an error that does not state whether the request has run.
	Fail(id RequestID)

	// Cancel cancels one attempt. The program must still report its end to
	// Balancer.AttemptEnded. Cancel is called only if Config.CancelAllowed is set.
	Cancel(id RequestID, attempt int)

	// SetTimer requests a call of Balancer.TimerFired after delay. The program may keep or drop
	// a timer that was set before: the new timer is always due before a pending timer, and
	// the Balancer ignores a call of TimerFired that is not due.
	SetTimer(delay time.Duration)

	// Probe checks the health of an endpoint. The program must report each probe by exactly
	// one call of Balancer.ProbeCompleted or Balancer.ProbeNotSent. The results for one
	// endpoint must be reported in the order of its probes.
	Probe(to EndpointID)

	// RequestWatch subscribes to the endpoint list. The program passes the list and its
	// changes, or a FailedUpdate, to Balancer.EndpointsUpdated. RequestWatch is called only
	// if Config.WatchOnRequest is set.
	RequestWatch()
}
