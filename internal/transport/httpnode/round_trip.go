package httpnode

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/transport/roundtrip"
	"mothridge/policy"
)

// RoundTrip implements core.Upstream: it performs one attempt and blocks until the attempt has ended.
// Until the last byte of the request has been written, the upstream cannot have started the request.
func (upstream *httpUpstream) RoundTrip(
	ctx context.Context, message *core.Message,
) (policy.AttemptResult, *core.Response) {
	connectContext, cancel := roundtrip.ConnectContext(ctx, message)
	conn, err := upstream.transport.pool.get(connectContext, upstream)
	cancel()
	if err != nil {
		return roundtrip.FailureResult(ctx, message, false, err), nil
	}
	result, written, err := conn.exchange(ctx, message)
	if err != nil {
		return roundtrip.FailureResult(ctx, message, written, err), nil
	}
	return upstream.transport.classify(message, &result)
}

// classify returns the result of an attempt that received a complete response. The core.Response is nil
// unless the result is policy.Served.
func (transport *Transport) classify(
	message *core.Message, result *response,
) (policy.AttemptResult, *core.Response) {
	switch {
	case result.isNotStarted():
		return policy.Rejected, nil
	case result.StatusCode != http.StatusOK:
		return policy.ServerError, nil
	case result.delimitedByClose && message.RequiresLength:
		return policy.ConnectionReset, nil
	}
	if result.delimitedByClose {
		transport.delimitedByClose.Add(1)
	}
	return policy.Served, &core.Response{
		Result:           core.Served,
		Fields:           result.Header,
		Body:             result.body,
		DelimitedByClose: result.delimitedByClose,
	}
}

// exchange writes one request and reads the response. It blocks until the response is complete. When
// ctx is done, exchange closes the connection, which ends the read or write. written reports whether
// the last byte of the request was written.
//
// The caller must not use the connection after the call: exchange returns the connection to the pool
// if it can be reused, else closes it.
func (conn *connection) exchange(
	ctx context.Context, message *core.Message,
) (result response, written bool, err error) {
	conn.limit.N = maxResponseHeadBytes
	stop := context.AfterFunc(ctx, func() { conn.netConn.Close() })
	defer func() {
		// If stop returns false, the connection is closed or is about to be closed.
		isOpen := stop() && err == nil && !result.Close
		conn.release(isOpen)
	}()
	if err := conn.writeRequest(ctx, message); err != nil {
		return response{}, false, err
	}
	result, err = conn.readResponse()
	if err != nil {
		return result, true, fmt.Errorf("read response: %w", err)
	}
	return result, true, nil
}

// release returns the connection to the pool, or closes it if it is not open or if surplus bytes follow
// the response.
func (conn *connection) release(isOpen bool) {
	pool := conn.upstream.transport.pool
	if isOpen && conn.reader.Buffered() == 0 {
		pool.put(conn)
	} else {
		pool.closeConnection(conn)
	}
}

// remainingTime returns the time until the deadline of ctx, at least 1 ms, or 0 if ctx has no deadline.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Millisecond)
}
