package core

import (
	"sync/atomic"
	"time"
)

// attemptGuard is what the guard and the invariant checks know of an attempt. Transports use it
// through its Message: they call Message.AllowSend right before the first byte and
// Message.SendCompleted after the last, each from any goroutine.
//
// AllowSend is the guard: after the Balancer has decided, connections take time to open, clients
// disconnect and endpoints drain. SendCompleted checks that the guard works: it counts broken
// invariants (invariants.go) and changes nothing else.
type attemptGuard struct {
	core      *Core
	request   *Request
	endpoint  *endpointState
	number    int         // of the attempt, from 0
	prevented atomic.Bool // already counted
}

// preventReason says why an attempt may not be started.
type preventReason int

// The reasons, each counted in the field of PreventedSends that it is given here.
const (
	notPrevented              preventReason = iota
	preventDraining                         // Draining
	preventClientDisconnected               // ClientGone
	preventCompleted                        // Responded
	preventDedupWindow                      // DedupWindow
	preventReasonCount
)

// PreventedSends counts attempts that the guard kept from being started, by reason.
type PreventedSends struct {
	Draining    uint64 `metric:"draining"` // the endpoint is draining or was removed
	ClientGone  uint64 `metric:"left"`     // the client has disconnected
	Responded   uint64 `metric:"answered"` // the request has its response
	DedupWindow uint64 `metric:"window"`   // the deduplication window of an earlier attempt has ended
}

// preventedCounters counts by preventReason.
type preventedCounters [preventReasonCount]atomic.Uint64

// PreventedSends returns the counts since the start. It may be called from any goroutine.
func (c *Core) PreventedSends() PreventedSends {
	return PreventedSends{
		Draining:    c.prevented[preventDraining].Load(),
		ClientGone:  c.prevented[preventClientDisconnected].Load(),
		Responded:   c.prevented[preventCompleted].Load(),
		DedupWindow: c.prevented[preventDedupWindow].Load(),
	}
}

// AllowSend reports whether the attempt may still be started. Transports call it right before they
// write the first byte, from any goroutine. An attempt that it forbids ends as policy.NotSent. It
// may be called more than once; a prevented attempt is counted once.
func (m *Message) AllowSend(now time.Time) bool {
	reason := m.preventSend(now)
	if reason == notPrevented {
		return true
	}
	if guard := m.guard; guard != nil && !guard.prevented.Swap(true) {
		guard.core.prevented[reason].Add(1)
	}
	return false
}

// preventSend returns the reason for which the attempt may not be started now, if there is one.
func (m *Message) preventSend(now time.Time) preventReason {
	if !m.WriteDeadline.IsZero() && !now.Before(m.WriteDeadline) {
		return preventDedupWindow
	}
	if m.guard != nil {
		if reason := m.guard.preventSend(); reason != notPrevented {
			return reason
		}
	}
	if m.ClientGone != nil && m.ClientGone() {
		return preventClientDisconnected
	}
	return notPrevented
}

// preventSend returns the reason that the endpoint or the request gives.
func (g *attemptGuard) preventSend() preventReason {
	if g.endpoint.closedAt.Load() != 0 {
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
