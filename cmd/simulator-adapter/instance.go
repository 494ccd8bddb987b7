package main

import (
	"fmt"
	"time"

	"mothridge/internal/wire"
	"mothridge/policy"
)

// countersInterval is the interval at which an instance's counters are logged, in simulated time.
const countersInterval = 10 * time.Second

// instance is one simulated sidecar. It is the policy.Host of its Balancer and appends the Balancer's actions
// to the reply.
type instance struct {
	host           *host
	number         uint32
	inFlightColumn int              // column of the requests in flight in load reports; -1 if there is none
	balancer       *policy.Balancer // nil before the instance has started and after a panic
	nextCountersAt time.Duration    // when the counters are logged next; 0 before the first event
}

var _ policy.Host = (*instance)(nil)

// Send starts an attempt.
func (i *instance) Send(id policy.RequestID, to policy.EndpointID, timeout, _ time.Duration) {
	i.host.reply.Send(i.number, uint32(id), wire.Endpoint(to), timeout)
}

// Reject responds that the request was not executed.
func (i *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	i.host.reply.Reject(i.number, uint32(id), retryAfter)
}

// Fail responds that the request failed and may have been executed.
func (i *instance) Fail(id policy.RequestID) { i.host.reply.Fail(i.number, uint32(id)) }

// Cancel cancels an attempt.
func (i *instance) Cancel(id policy.RequestID, attempt int) {
	i.host.reply.Cancel(i.number, uint32(id), uint8(attempt))
}

// SetTimer requests an EventTimerFired after the delay. All timers have the same token, because the Balancer
// ignores a call of TimerFired that is not due.
func (i *instance) SetTimer(delay time.Duration) { i.host.reply.SetTimer(i.number, delay, 0) }

// Probe requests a health check of an endpoint.
func (i *instance) Probe(to policy.EndpointID) { i.host.reply.Probe(i.number, wire.Endpoint(to)) }

// RequestWatch starts a watch of the endpoint list.
func (i *instance) RequestWatch() { i.host.reply.Watch(i.number, true) }

// reportPanic runs a function that calls the Balancer. It reports a panic to the simulator as a fault and
// stops the instance.
func (i *instance) reportPanic(call func() error) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			i.host.reply.Fault(i.number, fmt.Sprintf("panic: %v", reason))
			i.balancer = nil
		}
	}()
	return call()
}

// handleEvent passes one event to the Balancer.
func (i *instance) handleEvent(now time.Duration, record wire.Record) error {
	i.logCounters(now)
	return i.reportPanic(func() error { return i.dispatch(now, record) })
}

// logCounters logs the Balancer's counters once per countersInterval. The first time is one interval after
// the instance's first event.
func (i *instance) logCounters(now time.Duration) {
	if now < i.nextCountersAt {
		return
	}
	if i.nextCountersAt > 0 {
		i.host.reply.Log(i.number, fmt.Sprintf("counters %+v", i.balancer.Counters()))
	}
	i.nextCountersAt = now + countersInterval
}

func (i *instance) dispatch(now time.Duration, record wire.Record) error {
	switch record.Code {
	case wire.EventRequestReceived:
		return i.requestReceived(now, record)
	case wire.EventAttemptEnded:
		return i.attemptEnded(now, record)
	case wire.EventResponseStarted:
		return i.responseStarted(record)
	case wire.EventTimerFired:
		i.balancer.TimerFired(now)
		return nil
	case wire.EventClientDisconnected:
		return i.clientDisconnected(now, record)
	case wire.EventProbeEnded:
		return i.probeEnded(now, record)
	case wire.EventEndpointUpdate:
		return i.endpointUpdate(now, record)
	default:
		return nil
	}
}

func (i *instance) requestReceived(now time.Duration, record wire.Record) error {
	received, err := record.RequestReceived()
	if err != nil {
		return err
	}
	i.balancer.RequestReceived(now, policyRequest(received))
	return nil
}

func (i *instance) attemptEnded(now time.Duration, record wire.Record) error {
	ended, err := record.AttemptEnded()
	if err != nil {
		return err
	}
	i.balancer.AttemptEnded(now, policy.AttemptOutcome{
		ID:        policy.RequestID(ended.RequestID),
		Attempt:   int(ended.Attempt),
		Result:    policyAttemptResult(ended.Result),
		Completed: ended.Completed,
	})
	return nil
}

func (i *instance) responseStarted(record wire.Record) error {
	id, err := record.RequestID()
	if err != nil {
		return err
	}
	i.balancer.ResponseStarted(policy.RequestID(id))
	return nil
}

func (i *instance) clientDisconnected(now time.Duration, record wire.Record) error {
	id, err := record.RequestID()
	if err != nil {
		return err
	}
	i.balancer.ClientDisconnected(now, policy.RequestID(id))
	return nil
}

func (i *instance) probeEnded(now time.Duration, record wire.Record) error {
	ended, err := record.ProbeEnded()
	if err != nil {
		return err
	}
	healthy := ended.Result == wire.ResultServed
	report := ended.LoadReport.ToPolicy(i.inFlightColumn)
	i.balancer.ProbeCompleted(now, policy.EndpointID(ended.Endpoint), healthy, report)
	return nil
}

// endpointUpdate passes an update of the endpoint list to the Balancer. It looks up the list when the update
// arrives, because a later list may reuse the same number.
func (i *instance) endpointUpdate(now time.Duration, record wire.Record) error {
	update, err := record.EndpointUpdate()
	if err != nil {
		return err
	}
	kind, known := policyUpdateKind(update.Kind)
	if !known {
		return nil // unknown kind, possibly of a later version of the protocol
	}
	if kind == policy.FailedUpdate {
		i.balancer.EndpointsUpdated(now, kind, nil)
		return nil
	}
	list, found := i.host.lists[update.List]
	if !found {
		return fmt.Errorf("instance %d: endpoint list %d must be sent before its update", i.number, update.List)
	}
	i.balancer.EndpointsUpdated(now, kind, list)
	return nil
}
