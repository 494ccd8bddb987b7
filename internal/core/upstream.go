package core

import (
	"context"
	"errors"

	"mothridge/policy"
)

// ErrNotSent is returned by transports that wrote nothing for a local reason: Message.AllowSend returned
// false, or this machine lacks a resource.
var ErrNotSent = errors.New("not sent")

// Upstream is the process at an endpoint, reached through the transport of the endpoint's protocol. Its
// methods may be called concurrently.
type Upstream interface {
	// RoundTrip performs one attempt and blocks until the attempt or ctx has ended. It returns a response
	// if and only if the result is policy.Served. A result that means that the attempt was not executed
	// (policy.Rejected, policy.ConnectionFailed, policy.NotSent) must be certain.
	//
	// RoundTrip must call Message.AllowSend right before it writes the first byte, and
	// Message.SendCompleted after it has written the last byte.
	RoundTrip(ctx context.Context, message *Message) (policy.AttemptResult, *Response)
	// Probe checks the upstream's health and returns its load. It blocks for a bounded time that the
	// transport chooses. ErrNotSent, wrapped or not, means that this machine could not send the probe; any
	// other error counts as a failure of the upstream.
	Probe(ctx context.Context) (policy.LoadReport, error)
	// Retire reports that the process has stopped, restarted or moved. The transport must not use its open
	// connections for another process at the same address.
	Retire()
}

// ProcessEndDetector is an Upstream that sees signs that its process has ended, before discovery reports the
// end: the address refuses a connection, or an idle connection is reset.
type ProcessEndDetector interface {
	// OnProcessEnd sets the function to call at each sign. It is called once, before the first attempt or
	// probe. The function may be called from any goroutine and may block while the event loop is busy, so that
	// the caller must not hold a lock that the event loop needs. It must be called before the attempt or probe
	// that saw the sign uses another connection.
	OnProcessEnd(report func())
}
