package main

import (
	"fmt"
	"time"

	"mothridge/internal/wire"
	"mothridge/policy"
)

// countersInterval is how often an instance's counters are logged.
const countersInterval = 10 * time.Second

// instance is one sidecar. It is its Balancer's policy.Host: it adds the actions to the
// reply.
type instance struct {
	host           *host
	number         uint32
	inFlightColumn int              // in load reports; -1: they do not have it
	balancer       *policy.Balancer // nil before it has started and after a panic
	nextCountersAt time.Duration    // 0 before the first event
}

var _ policy.Host = (*instance)(nil)

// Send starts an attempt.
func (i *instance) Send(id policy.RequestID, to policy.EndpointID, timeout, _ time.Duration) {
	i.host.reply.Send(i.number, uint32(id), wire.Endpoint(to), timeout)
}

// Reject answers a request that never ran.
func (i *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	i.host.reply.Reject(i.number, uint32(id), retryAfter)
}

// Fail answers a request that may have run.
func (i *instance) Fail(id policy.RequestID) { i.host.reply.Fail(i.number, uint32(id)) }

// Cancel stops waiting for an attempt.
func (i *instance) Cancel(id policy.RequestID, attempt int) {
	i.host.reply.Cancel(i.number, uint32(id), uint8(attempt))
}

// SetTimer requests a TimerFired. The balancer ignores one that it no longer needs, so
// that all have the same token.
func (i *instance) SetTimer(delay time.Duration) { i.host.reply.SetTimer(i.number, delay, 0) }

// Probe requests a health check.
func (i *instance) Probe(to policy.EndpointID) { i.host.reply.Probe(i.number, wire.Endpoint(to)) }

// RequestWatch subscribes to changes of the endpoints.
func (i *instance) RequestWatch() { i.host.reply.Watch(i.number, true) }

// reportPanic runs a call into the balancer. A panic is reported as a fault and stops the
// instance.
func (i *instance) reportPanic(call func() error) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			i.host.reply.Fault(i.number, fmt.Sprintf("panic: %v", reason))
			i.balancer = nil
		}
	}()
	return call()
}

// event hands one event to the balancer.
func (i *instance) event(now time.Duration, record wire.Record) error {
	i.logCounters(now)
	return i.reportPanic(func() error { return i.dispatch(now, record) })
}

// logCounters logs the counters at their interval, for the first time an interval after
// the first event.
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
	i.balancer.RequestReceived(now, request(received))
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
		Result:    attemptResult(ended.Result),
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
	report := ended.LoadReport.Policy(i.inFlightColumn)
	i.balancer.ProbeCompleted(now, policy.EndpointID(ended.Endpoint), healthy, report)
	return nil
}

// endpointUpdate looks the list up when the update comes: a later list may have the same
// number.
func (i *instance) endpointUpdate(now time.Duration, record wire.Record) error {
	update, err := record.EndpointUpdate()
	if err != nil {
		return err
	}
	kind, known := updateKind(update.Kind)
	if !known {
		return nil // a kind of a later version
	}
	if kind == policy.FailedUpdate {
		i.balancer.EndpointsUpdated(now, kind, nil)
		return nil
	}
	list, found := i.host.lists[update.List]
	if !found {
		return fmt.Errorf("instance %d: list %d was never sent", i.number, update.List)
	}
	i.balancer.EndpointsUpdated(now, kind, list)
	return nil
}
