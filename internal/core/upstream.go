package core

import (
	"context"
	"errors"

	"mothridge/policy"
)

// ErrNotSent is returned by transports that wrote nothing, for a reason on this side:
// Message.AllowSend forbade it, or this machine lacks a resource.
var ErrNotSent = errors.New("not sent")

// Upstream is the process at an endpoint, as the transport of its protocol reaches it. Its methods may
// be called concurrently.
type Upstream interface {
	// RoundTrip performs one attempt and blocks until it has ended or ctx has. It returns a
	// response with policy.Served and only then. Results that rule out that the attempt ran
	// (policy.Rejected, policy.ConnectionFailed, policy.NotSent) must be certain.
	//
	// It must call Message.AllowSend right before it writes the first byte, and
	// Message.SendCompleted after the last.
	RoundTrip(ctx context.Context, message *Message) (policy.AttemptResult, *Response)
	// Probe checks the upstream's health and returns its load. It blocks for a bounded time that
	// the transport chooses. ErrNotSent, wrapped or not, means that this machine could not
	// send the probe; any other error counts against the upstream.
	Probe(ctx context.Context) (policy.LoadReport, error)
	// Retire reports that the process has stopped or moved: no open connection may be used for
	// another process at its address.
	Retire()
}
