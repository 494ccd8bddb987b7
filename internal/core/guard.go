package core

import (
	"sync/atomic"
	"time"

	"mothridge/policy"
)

// attemptGuard holds the data that the guard and the invariant checks need about an attempt. Transports
// use it through the attempt's Message: they call Message.AllowSend right before the first byte and
// Message.SendCompleted after the last byte, each from any goroutine.
//
// AllowSend is the guard. It is needed because connections take time to open, and clients may disconnect
// and endpoints may start draining after the Balancer has decided. SendCompleted checks that the guard
// works: it counts broken invariants (invariants.go), records the write and changes nothing else.
type attemptGuard struct {
	core     *Core
	request  *Request
	endpoint *endpointState
	number   int // number of the attempt, from 0

	// needsKnownProcess reports that the attempt repeats a request that only some endpoints drop, so that it
	// must not reach a process that may belong to another endpoint.
	needsKnownProcess bool

	prevented atomic.Bool // the prevented attempt has been counted
}

// preventReason is the reason why an attempt must not be written.
type preventReason int

// The reasons. The comment of each reason names the field of PreventedSends that counts it.
const (
	notPrevented              preventReason = iota
	preventDraining                         // Draining
	preventClientDisconnected               // ClientDisconnected
	preventCompleted                        // Responded
	preventDedupWindow                      // DedupWindow
	preventUnknownProcess                   // UnknownProcess
	preventReasonCount
)

// PreventedSends counts the attempts that the guard prevented, by reason.
type PreventedSends struct {
	Draining           uint64 `metric:"draining"` // the endpoint is draining or was removed
	ClientDisconnected uint64 `metric:"left"`     // the client has disconnected or has cancelled the request
	Responded          uint64 `metric:"answered"` // the request already has its response
	DedupWindow        uint64 `metric:"window"`   // the deduplication window of an earlier attempt has ended
	UnknownProcess     uint64 `metric:"process"`  // a repeat, and the process at the address may be another endpoint's
}

// preventedCounters counts prevented attempts by preventReason.
type preventedCounters [preventReasonCount]atomic.Uint64

// PreventedSends returns the counts since the Core was created. It may be called from any goroutine.
func (c *Core) PreventedSends() PreventedSends {
	return PreventedSends{
		Draining:           c.prevented[preventDraining].Load(),
		ClientDisconnected: c.prevented[preventClientDisconnected].Load(),
		Responded:          c.prevented[preventCompleted].Load(),
		DedupWindow:        c.prevented[preventDedupWindow].Load(),
		UnknownProcess:     c.prevented[preventUnknownProcess].Load(),
	}
}

// AllowSend reports whether the attempt may still be written. Transports call AllowSend right before they
// write the first byte, from any goroutine. If AllowSend returns false, the attempt must end as
// policy.NotSent. AllowSend may be called more than once; a prevented attempt is counted once.
func (m *Message) AllowSend(now time.Time) bool {
	reason := m.findPreventReason(now)
	if reason == notPrevented {
		return true
	}
	if guard := m.guard; guard != nil && !guard.prevented.Swap(true) {
		guard.core.prevented[reason].Add(1)
	}
	return false
}

// findPreventReason returns the reason why the attempt must not be written now, or notPrevented.
func (m *Message) findPreventReason(now time.Time) preventReason {
	if !m.WriteDeadline.IsZero() && !now.Before(m.WriteDeadline) {
		return preventDedupWindow
	}
	if m.guard != nil {
		if reason := m.guard.findPreventReason(now); reason != notPrevented {
			return reason
		}
	}
	if m.ClientDisconnected != nil && m.ClientDisconnected() {
		return preventClientDisconnected
	}
	return notPrevented
}

// findPreventReason returns the reason that results from the state of the endpoint or of the request, or
// notPrevented.
func (g *attemptGuard) findPreventReason(now time.Time) preventReason {
	if g.endpoint.unavailableSince.Load() != 0 {
		return preventDraining
	}
	if g.needsKnownProcess && g.processUnknown(now) {
		return preventUnknownProcess
	}
	completed, clientDisconnected := g.request.history.state()
	switch {
	case completed && clientDisconnected:
		return preventClientDisconnected
	case completed:
		return preventCompleted
	}
	return notPrevented
}

// processUnknown reports whether the process at the endpoint's address may be that of another endpoint. It
// applies the Balancer's rule once more, because a sign may be seen after the Balancer has decided.
func (g *attemptGuard) processUnknown(now time.Time) bool {
	endedAt := time.Duration(g.endpoint.processEndedAt.Load())
	return endedAt != 0 && g.core.clock.at(now) < endedAt+policy.ProcessUnknownFor
}
