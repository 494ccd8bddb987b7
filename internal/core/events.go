package core

import (
	"time"

	"mothridge/policy"
)

// event is a message to the event loop. Other goroutines send it with Core.post.
type event interface {
	// handle is called on the event loop, after Core.now is set. It must not block.
	handle(c *Core)
}

// requestReceived is posted by Core.Submit.
type requestReceived struct{ request *Request }

func (e requestReceived) handle(c *Core) {
	request := e.request
	if !c.requests.add(request, time.Now()) {
		// Two requests with the same Request-Id could take effect twice if both were handled.
		request.completed = true
		request.Respond(Response{Result: Duplicate})
		return
	}
	request.receivedAt = c.now
	c.balancer.RequestReceived(c.now, policy.Request{
		ID:           request.policyID,
		Class:        request.Class,
		Tenant:       request.Tenant,
		Timeout:      time.Until(request.Deadline),
		ExpectedWork: request.ExpectedWork,
		ClientRetry:  request.ClientRetry,
	})
}

// clientDisconnected is posted by Core.Abandon.
type clientDisconnected struct{ request *Request }

func (e clientDisconnected) handle(c *Core) {
	request := e.request
	registered := request.policyID != 0
	if !registered || request.completed {
		return
	}
	request.history.complete(time.Now(), true)
	if c.config.Policy.Classes[request.Class].Idempotency == policy.Idempotent {
		c.requests.complete(request)
	} else {
		c.requests.abandon(request)
	}
	c.balancer.ClientDisconnected(c.now, request.policyID)
}

// attemptEnded is posted by an attempt's goroutine, or by the event loop for an attempt that it did not start.
type attemptEnded struct {
	attempt  *attempt
	result   policy.AttemptResult
	response *Response // set only if result is policy.Served
}

func (e attemptEnded) handle(c *Core) {
	request := e.attempt.request
	request.inFlight--
	request.history.attemptEnded(e.attempt.number, e.result)
	c.recordAttempt(e.attempt, e.result)
	request.lastTimedOut = e.result == policy.TimedOut
	if e.result == policy.Served {
		c.respond(request.policyID, *e.response)
	}
	c.requests.removeIfDone(request) // for any result, as the client may have disconnected before the attempt ended
	c.balancer.AttemptEnded(c.now, policy.AttemptOutcome{
		ID:        request.policyID,
		Attempt:   e.attempt.number,
		Result:    e.result,
		Completed: request.completed,
	})
}

// probeCompleted is posted by a probe's goroutine.
type probeCompleted struct {
	probe *probe
	load  policy.LoadReport
	err   error
}

func (e probeCompleted) handle(c *Core) {
	e.probe.completed = true
	e.probe.load = e.load
	e.probe.err = e.err
	c.reportProbeResults(e.probe.endpoint)
}

// endpointsUpdated is posted by Core.Update.
type endpointsUpdated struct{ update EndpointUpdate }

func (e endpointsUpdated) handle(c *Core) {
	kind := policy.DeltaUpdate
	if e.update.Complete {
		kind = policy.FullUpdate
	}
	c.updateEndpoints(kind, e.update)
}

// endpointUpdateFailed is posted by Core.UpdateFailed.
type endpointUpdateFailed struct{}

func (endpointUpdateFailed) handle(c *Core) {
	c.balancer.EndpointsUpdated(c.now, policy.FailedUpdate, nil)
}

// upstreamProcessEnded is posted by Core.processEnded.
type upstreamProcessEnded struct {
	endpoint *endpointState
	upstream Upstream
}

func (e upstreamProcessEnded) handle(c *Core) {
	if e.endpoint.upstream == e.upstream { // otherwise the list has reported another process in the meantime
		c.balancer.ProcessEnded(c.now, e.endpoint.id)
	}
}

// stateRequested is posted by Core.State. The channel has a buffer of one.
type stateRequested struct{ state chan<- State }

func (e stateRequested) handle(c *Core) { e.state <- c.state() }

// shutdownRequested is posted by Core.Shutdown.
type shutdownRequested struct{}

func (shutdownRequested) handle(c *Core) { c.balancer.Shutdown() }
