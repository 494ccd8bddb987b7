// The actions out: what a Balancer does, it does through the Host.

package policy

import "time"

// Host carries out what the Balancer decides.
//
// The Balancer calls these methods from within its event methods, on the caller's
// goroutine. They must not block and must not call the Balancer back, except for
// Balancer.Reason from within Reject and Fail. What comes of an action is passed on
// later, by an event method.
type Host interface {
	// Send starts the next attempt of a request; attempts of a request are numbered
	// from 0 in the order of these calls. The attempt is given up after timeout, and
	// Balancer.AttemptEnded reports its end in any case. Where writeWithin is above 0
	// the last byte of the request must be written within that time or never: after it
	// the endpoints no longer drop a repeat of an earlier attempt.
	Send(id RequestID, to EndpointID, timeout, writeWithin time.Duration)

	// Reject answers a request that may be retried without harm, best after
	// retryAfter, which is between 0 and Config.MaxRetryAfter.
	Reject(id RequestID, retryAfter time.Duration)

	// Fail answers a request with no promise about its effect.
	Fail(id RequestID)

	// Cancel gives up one attempt; Balancer.AttemptEnded still reports its end.
	// It is called only where Config.CancelAllowed is set.
	Cancel(id RequestID, attempt int)

	// SetTimer requests a call of Balancer.TimerFired after d. The program may keep or
	// drop an earlier timer: this is only called for a time before that one's, and a call
	// that is not due is ignored.
	SetTimer(d time.Duration)

	// Probe health-checks an endpoint. Exactly one call of Balancer.ProbeCompleted or
	// Balancer.ProbeNotSent has to follow, in the order of the probes of an endpoint.
	Probe(to EndpointID)

	// RequestWatch subscribes to the endpoint list. Balancer.EndpointsUpdated brings
	// the list and its changes, or a FailedUpdate. It is called only where
	// Config.WatchOnRequest is set.
	RequestWatch()
}
