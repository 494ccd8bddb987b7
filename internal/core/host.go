package core

import (
	"time"

	"mothridge/policy"
)

// balancerHost performs the actions that the Balancer decides on. Only the Balancer calls its methods, on
// the event loop.
type balancerHost struct{ core *Core }

var _ policy.Host = balancerHost{}

// Send starts an attempt.
func (h balancerHost) Send(id policy.RequestID, to policy.EndpointID, timeout, writeWithin time.Duration) {
	h.core.startAttempt(id, to, timeout, writeWithin)
}

// Reject responds that the request may safely be retried, preferably after retryAfter.
func (h balancerHost) Reject(id policy.RequestID, retryAfter time.Duration) {
	h.core.recordUnserved(id, "refused")
	h.core.respond(id, Response{Result: Rejected, RetryAfter: retryAfter})
}

// Fail responds that the request may have taken effect.
func (h balancerHost) Fail(id policy.RequestID) {
	h.core.recordUnserved(id, "failed")
	result := Failed
	if request := h.core.requests.byID[id]; request != nil && request.timedOut() {
		result = TimedOut
	}
	h.core.respond(id, Response{Result: result})
}

// Cancel cancels an attempt.
func (h balancerHost) Cancel(id policy.RequestID, number int) {
	request := h.core.requests.byID[id]
	if request != nil && number >= 0 && number < len(request.attempts) {
		request.attempts[number].cancel()
	}
}

// SetTimer sets the Balancer's only timer. While the timer is set, the Balancer sets it again only to an
// earlier time.
func (h balancerHost) SetTimer(after time.Duration) {
	h.core.timer.set(h.core.now, after)
}

// Probe starts a probe of an endpoint's health and load.
func (h balancerHost) Probe(to policy.EndpointID) {
	h.core.startProbe(to)
}

// RequestWatch requests a watch of the endpoint list: see Core.WatchRequests.
func (h balancerHost) RequestWatch() {
	select {
	case h.core.watchRequests <- struct{}{}:
	default: // a request is already pending
	}
}
