package core

import (
	"context"
	"time"

	"mothridge/policy"
)

// attempt is one attempt of a request. Its fields do not change after startAttempt has returned.
type attempt struct {
	request  *Request
	number   int    // index among the request's attempts, from 0
	endpoint string // endpoint name; empty if the endpoint was removed before the attempt
	cancel   context.CancelFunc
}

// startAttempt starts the next attempt of a request: see policy.Host.Send. The attempt runs in its own
// goroutine, which ends no later than the attempt's context. No other goroutine waits for it.
func (c *Core) startAttempt(id policy.RequestID, to policy.EndpointID, timeout, writeWithin time.Duration) {
	request := c.requests.byID[id]
	if request == nil {
		return
	}
	a := &attempt{request: request, number: len(request.attempts)}
	request.attempts = append(request.attempts, a)
	request.inFlight++
	ctx, cancel := context.WithDeadline(context.Background(), attemptDeadline(request, timeout))
	a.cancel = cancel

	endpoint := c.endpoints.byID[to]
	if endpoint != nil {
		a.endpoint = endpoint.entry.Name
	}
	if endpoint == nil || request.completed {
		cancel()
		c.localEvents = append(c.localEvents, attemptEnded{attempt: a, result: policy.NotSent})
		return
	}
	message := c.attemptMessage(a, endpoint, writeWithin)
	go c.runAttempt(ctx, a, endpoint.upstream, message)
}

// attemptDeadline returns the time at which an attempt is cancelled: the request's deadline, or the end
// of the attempt's timeout if that is earlier. A timeout of 0 means that the attempt has no timeout of
// its own.
func attemptDeadline(request *Request, timeout time.Duration) time.Time {
	if timeout == 0 {
		return request.Deadline
	}
	deadline := time.Now().Add(timeout)
	if request.Deadline.Before(deadline) {
		return request.Deadline
	}
	return deadline
}

// attemptMessage returns the attempt's copy of the request's message. writeWithin is the time, counted
// from Core.now, within which the last byte of the attempt must be written; 0 means no bound.
func (c *Core) attemptMessage(a *attempt, endpoint *endpointState, writeWithin time.Duration) *Message {
	message := a.request.Message
	class := &c.config.Policy.Classes[a.request.Class]
	message.guard = &attemptGuard{
		core:     c,
		request:  a.request,
		endpoint: endpoint,
		number:   a.number,

		needsKnownProcess: writeWithin > 0 && class.DedupScope != policy.ScopeAll,
	}
	if writeWithin > 0 {
		eventDuration := c.clock.now() - c.now
		message.WriteDeadline = time.Now().Add(writeWithin - eventDuration)
	}
	return &message
}

// runAttempt performs an attempt and posts its result to the event loop.
func (c *Core) runAttempt(ctx context.Context, a *attempt, upstream Upstream, message *Message) {
	defer a.cancel()
	result, response := upstream.RoundTrip(ctx, message)
	c.post(attemptEnded{attempt: a, result: result, response: response})
}
