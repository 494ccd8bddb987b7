package rpcnode

import (
	"context"
	"errors"
	"slices"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/transport/roundtrip"
	"mothridge/policy"
)

// abandonedGrace is the time after its timeout for which an abandoned request may still run at the
// upstream.
const abandonedGrace = time.Second

// RoundTrip implements core.Upstream: it performs one attempt and blocks until the attempt has ended.
// Until the last byte of the request has been written, the upstream cannot have started the request.
func (upstream *rpcUpstream) RoundTrip(
	ctx context.Context, message *core.Message,
) (policy.AttemptResult, *core.Response) {
	completed, written := upstream.exchange(ctx, message, encodeCall(message))
	switch {
	case completed.err != nil:
		return roundtrip.FailureResult(ctx, message, written, completed.err), nil
	case completed.fault != nil && completed.fault.Kind == msgrpc.KindNotStarted:
		return policy.Rejected, nil
	case completed.fault != nil:
		return policy.ServerError, nil
	}
	return policy.Served, &core.Response{
		Result: core.Served,
		Fields: completed.result.Fields,
		Body:   completed.result.Body,
	}
}

// exchange sends one request and waits for its completion until ctx is done. For a probe, message is nil.
// written reports whether the last byte of the request may have been written.
func (upstream *rpcUpstream) exchange(
	ctx context.Context, message *core.Message, encode encodeFunc,
) (completed completion, written bool) {
	connectContext, cancel := roundtrip.ConnectContext(ctx, message)
	defer cancel()
	deadline, _ := ctx.Deadline()
	for {
		conn, err := upstream.connect(connectContext)
		if err != nil {
			return completion{err: err}, false
		}
		if request := conn.enqueue(message, encode, deadline); request != nil {
			return conn.await(ctx, request)
		}
		// The connection was closed or reached its capacity after connect returned it; connect now
		// returns another one.
	}
}

// await waits for the completion of a request, and abandons the request when ctx is done.
func (conn *connection) await(ctx context.Context, request *pendingRequest) (completed completion, written bool) {
	select {
	case completed = <-request.completion:
		return completed, completed.mayHaveRun()
	case <-ctx.Done():
		return conn.abandon(ctx, request)
	}
}

// abandon ends a request after ctx is done. A request that is still queued is not written. For any other
// request, the id stays reserved and a cancellation is sent to the upstream.
func (conn *connection) abandon(ctx context.Context, request *pendingRequest) (completed completion, written bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	select {
	case completed = <-request.completion: // the request ended at the same time as ctx
		return completed, completed.mayHaveRun()
	default:
	}
	delete(conn.waiting, request.id)
	defer conn.checkIdleLocked()
	if request.state == requestQueued {
		conn.removeQueuedLocked(request)
		return completion{err: ctx.Err()}, false
	}
	conn.reserveIDLocked(ctx, request)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.lastReadAt.Before(request.queuedAt) {
		// Nothing was received since the request was queued. The upstream's machine may be
		// unreachable. Opening a new connection detects that; an open connection does not.
		conn.drainLocked()
	}
	return completion{err: ctx.Err()}, true
}

// removeQueuedLocked removes a request from the queue if it is there.
func (conn *connection) removeQueuedLocked(request *pendingRequest) {
	if i := slices.Index(conn.queue, request); i >= 0 {
		conn.queue = slices.Delete(conn.queue, i, i+1)
	}
}

// reserveIDLocked prevents the reuse of the id of an abandoned request, and queues the cancellation of
// the request.
func (conn *connection) reserveIDLocked(ctx context.Context, request *pendingRequest) {
	runsUntil := request.queuedAt
	if deadline, ok := ctx.Deadline(); ok {
		runsUntil = deadline
	}
	conn.abandoned[request.id] = runsUntil.Add(abandonedGrace)
	conn.cancellations = append(conn.cancellations, request.id)
	conn.signalWriter()
}
