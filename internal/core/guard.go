package core

import (
	"sync/atomic"
	"time"
)

// attemptGuard holds the data that the guard and the invariant checks need about an attempt. Transports
// use it through the attempt's Message: they call Message.AllowSend right before the first byte and
// Message.SendCompleted after the last byte, each from any goroutine.
//
// AllowSend is the guard. It is needed because connections take time to open, and clients may disconnect
// and endpoints may start draining after the Balancer has decided. SendCompleted checks that the guard
// works: it counts broken invariants (invariants.go), records the write and changes nothing else.
type attemptGuard struct {
	core      *Core
	request   *Request
	endpoint  *endpointState
	number    int         // number of the attempt, from 0
	prevented atomic.Bool // the prevented attempt has been counted
}

// preventReason is the reason why an attempt must not be started.
type preventReason int

// The reasons. The comment of each reason names the field of PreventedSends that counts it.
const (
	notPrevented              preventReason = iota
	preventDraining                         // Draining
	preventClientDisconnected               // ClientDisconnected
	preventCompleted                        // Responded
	preventDedupWindow                      // DedupWindow
	preventReasonCount
)

// PreventedSends counts the attempts that the guard prevented, by reason.
type PreventedSends struct {
	Draining           uint64 `metric:"draining"` // the endpoint is draining or was removed
	ClientDisconnected uint64 `metric:"left"`     // the client has disconnected
	Responded          uint64 `metric:"answered"` // the request already has its response
	DedupWindow        uint64 `metric:"window"`   // the deduplication window of an earlier attempt has ended
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
	}
}

// AllowSend reports whether the attempt may still be started. Transports call AllowSend right before they
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

// findPreventReason returns the reason why the attempt must not be started now, or notPrevented.
func (m *Message) findPreventReason(now time.Time) preventReason {
	if !m.WriteDeadline.IsZero() && !now.Before(m.WriteDeadline) {
		return preventDedupWindow
	}
	if m.guard != nil {
		if reason := m.guard.findPreventReason(); reason != notPrevented {
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
func (g *attemptGuard) findPreventReason() preventReason {
	if g.endpoint.unavailableSince.Load() != 0 {
		return preventDraining
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
