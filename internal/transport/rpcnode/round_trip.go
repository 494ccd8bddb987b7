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

// abandonedGrace is how much longer than its timeout an upstream may work on an abandoned request.
const abandonedGrace = time.Second

// RoundTrip implements core.Upstream: it performs one attempt and blocks until that has ended.
// Until the last byte of the request has been written, the upstream cannot have started it.
func (upstream *rpcUpstream) RoundTrip(
	ctx context.Context, message *core.Message,
) (policy.AttemptResult, *core.Response) {
	answer, written := upstream.exchange(ctx, message, encodeCall(message))
	switch {
	case answer.err != nil:
		return roundtrip.FailureResult(ctx, message, written, answer.err), nil
	case answer.fault != nil && answer.fault.Kind == msgrpc.KindNotStarted:
		return policy.Rejected, nil
	case answer.fault != nil:
		return policy.ServerError, nil
	}
	return policy.Served, &core.Response{
		Result: core.Served,
		Fields: answer.result.Fields,
		Body:   answer.result.Body,
	}
}

// exchange sends one request and waits for its reply until ctx is done. A nil message is a
// probe's. written says whether the last byte of the request may have been written.
func (upstream *rpcUpstream) exchange(
	ctx context.Context, message *core.Message, encode encodeFunc,
) (answer reply, written bool) {
	connectContext, cancel := roundtrip.ConnectContext(ctx, message)
	defer cancel()
	deadline, _ := ctx.Deadline()
	for {
		conn, err := upstream.connect(connectContext)
		if err != nil {
			return reply{err: err}, false
		}
		if request := conn.enqueue(message, encode, deadline); request != nil {
			return conn.await(ctx, request)
		}
		// The connection was closed or filled meanwhile: the next one.
	}
}

// await waits for the reply to a request, and abandons the request when ctx is done.
func (conn *connection) await(ctx context.Context, request *pendingRequest) (answer reply, written bool) {
	select {
	case answer = <-request.reply:
		return answer, answer.mayHaveRun()
	case <-ctx.Done():
		return conn.abandon(ctx, request)
	}
}

// abandon ends a request when ctx is done. One that is still queued is not written; another's
// id stays reserved, and a cancellation goes to the upstream.
func (conn *connection) abandon(ctx context.Context, request *pendingRequest) (answer reply, written bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	select {
	case answer = <-request.reply: // it came in the same moment
		return answer, answer.mayHaveRun()
	default:
	}
	delete(conn.waiting, request.id)
	defer conn.onAnsweredLocked()
	if request.state == requestQueued {
		conn.removeQueuedLocked(request)
		return reply{err: ctx.Err()}, false
	}
	conn.reserveIDLocked(ctx, request)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.lastReadAt.Before(request.queuedAt) {
		// Nothing came in all that time: the machine may have vanished, which an old
		// connection would never show and a new one does.
		conn.drainLocked()
	}
	return reply{err: ctx.Err()}, true
}

func (conn *connection) removeQueuedLocked(request *pendingRequest) {
	if i := slices.Index(conn.queue, request); i >= 0 {
		conn.queue = slices.Delete(conn.queue, i, i+1)
	}
}

// reserveIDLocked keeps the id of an abandoned request from being used again, and queues its
// cancellation.
func (conn *connection) reserveIDLocked(ctx context.Context, request *pendingRequest) {
	runsUntil := request.queuedAt
	if deadline, ok := ctx.Deadline(); ok {
		runsUntil = deadline
	}
	conn.abandoned[request.id] = runsUntil.Add(abandonedGrace)
	conn.cancellations = append(conn.cancellations, request.id)
	conn.signalWriter()
}
