// Package roundtrip holds what the upstream transports of all protocols share: how a failed
// attempt or probe is classified, and the time limits of connections. It does no I/O, and its
// functions may be called from any goroutine.
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

// idleTimeoutMargin is the time between the last use of an idle connection and its close by the
// upstream: a request that is written to a connection as that is closed ends as a reset and may
// not be retried.
const idleTimeoutMargin = 2 * time.Second

// IdleTimeout returns how long an idle connection may be used, given how long it is idle before
// the upstream closes it.
func IdleTimeout(upstreamTimeout time.Duration) time.Duration {
	return max(upstreamTimeout-idleTimeoutMargin, upstreamTimeout/2)
}

// ConnectContext returns the context in which an attempt waits for its connection: that of the
// attempt, ended by message.WriteDeadline if there is one, as a connection that comes up later is
// of no use. The message of a probe is nil. The caller must call cancel.
func ConnectContext(
	ctx context.Context, message *core.Message,
) (connectContext context.Context, cancel context.CancelFunc) {
	if message == nil || message.WriteDeadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, message.WriteDeadline)
}

// FailureResult classifies an attempt that failed with err. ctx is the context of the attempt.
// written says whether the last byte of the request may have been written: without it the upstream
// cannot have started the request.
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

// isPrevented reports whether nothing was written because the request had ended or was not
// allowed any more, which does not count against the upstream.
func isPrevented(ctx context.Context, message *core.Message, err error) bool {
	isCancelled := errors.Is(ctx.Err(), context.Canceled)
	return isCancelled || errors.Is(err, core.ErrNotSent) || !message.AllowSend(time.Now())
}

// ProbeError returns the error of a probe that got no connection. It wraps core.ErrNotSent where
// this machine is the reason, which does not count against the upstream.
func ProbeError(err error) error {
	if sockets.IsLocalError(err) {
		return fmt.Errorf("%w: %w", core.ErrNotSent, err)
	}
	return err
}

// UnknownLoad returns the load report of a probe that brought none.
func UnknownLoad() policy.LoadReport { return policy.LoadReport{InFlight: -1} }
