// Package roundtrip contains the code that the upstream transports of all protocols share: the
// classification of failed attempts and probes, and the time limits of connections. The package
// does no I/O, and its functions may be called from any goroutine.
package roundtrip

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/sockets"
	"mothridge/policy"
)

// idleTimeoutMargin is the minimum time between the last use of an idle connection and the moment
// the upstream closes it. Without the margin, a request could be written to a connection while the
// upstream closes it: the attempt then ends as a connection reset, which may not be retried.
const idleTimeoutMargin = 2 * time.Second

// IdleTimeout returns how long a connection may stay idle and still be reused. upstreamTimeout is
// the idle time after which the upstream closes the connection.
func IdleTimeout(upstreamTimeout time.Duration) time.Duration {
	return max(upstreamTimeout-idleTimeoutMargin, upstreamTimeout/2)
}

// ConnectContext returns the context in which an attempt waits for its connection. The context is
// derived from ctx, the context of the attempt. If message.WriteDeadline is set, the context also
// ends then, because a connection that opens later cannot be used. For a probe, message is nil. The
// caller must call cancel.
func ConnectContext(
	ctx context.Context, message *core.Message,
) (connectContext context.Context, cancel context.CancelFunc) {
	if message == nil || message.WriteDeadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, message.WriteDeadline)
}

// FailureResult classifies an attempt that failed with err. ctx is the context of the attempt.
// written reports whether the last byte of the request may have been written: without that byte,
// the upstream cannot have started the request.
func FailureResult(ctx context.Context, message *core.Message, written bool, err error) policy.AttemptResult {
	switch {
	case !written && (isPrevented(ctx, message, err) || sockets.IsLocalError(err)):
		return policy.NotSent
	case !written:
		return policy.ConnectionFailed
	case errors.Is(ctx.Err(), context.Canceled):
		return policy.Cancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return policy.TimedOut
	}
	return policy.ConnectionReset
}

// isPrevented reports whether the request was not written because it had been cancelled or because
// sending it was no longer allowed. Such an attempt does not count against the upstream.
func isPrevented(ctx context.Context, message *core.Message, err error) bool {
	isCancelled := errors.Is(ctx.Err(), context.Canceled)
	return isCancelled || errors.Is(err, core.ErrNotSent) || !message.AllowSend(time.Now())
}

// ProbeError returns the error of a probe that got no connection. The error wraps core.ErrNotSent
// if this machine caused the failure, which does not count against the upstream.
func ProbeError(err error) error {
	if sockets.IsLocalError(err) {
		return fmt.Errorf("%w: %w", core.ErrNotSent, err)
	}
	return err
}

// UnknownLoad returns the load report for a probe whose response contained none.
func UnknownLoad() policy.LoadReport { return policy.LoadReport{InFlight: -1} }
