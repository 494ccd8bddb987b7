package rpcnode

import (
	"context"
	"fmt"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// If an upstream hangs and ignores cancellations, the number of requests that run there is limited for
// each connection. A connection with too many abandoned requests is closed as soon as no request on it
// waits for a response. When the upstream recovers, it therefore receives requests again immediately.
func TestAbandonedRequestsAreBounded(t *testing.T) {
	const maxInFlight = 8
	server := newTestServer(t)
	transport := newTestTransport(Config{MaxInFlight: maxInFlight})
	upstream := server.upstream(transport)
	var previous *serverConn
	for round := range 2 * maxConnectionsPerUpstream {
		var conn *serverConn
		for i := range maxInFlight {
			ctx, cancel := context.WithCancel(t.Context())
			attempt := startAttempt(ctx, upstream, fmt.Sprint(i))
			if i == 0 {
				conn = server.accept(t)
				if previous != nil {
					peertest.Await(t, fmt.Sprint("the close of connection ", round), previous.closed)
				}
			}
			peertest.Await(t, "the request", conn.calls)
			cancel()
			awaitResult(t, attempt, policy.Cancelled)
		}
		previous = conn
	}
	if drained := transport.Counters().DrainedUnanswered; drained < maxConnectionsPerUpstream-1 {
		t.Errorf("got %d drained connections, want at least %d", drained, maxConnectionsPerUpstream-1)
	}
	recovered := startAttempt(t.Context(), upstream, "recovered")
	server.accept(t).respondNext(t)
	awaitResult(t, recovered, policy.Served)
}

// If the upstream has the maximum number of connections and all of them have the maximum number of
// requests in flight, another attempt fails immediately and never ran. It is not queued.
func TestRequestAboveAllBoundsIsNotSent(t *testing.T) {
	const maxInFlight = 8
	server := newTestServer(t)
	upstream := server.upstream(newTestTransport(Config{MaxInFlight: maxInFlight}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var attempts []<-chan attemptOutcome
	for i := range maxInFlight * maxConnectionsPerUpstream {
		attempts = append(attempts, startAttempt(ctx, upstream, fmt.Sprint(i)))
		peertest.WaitUntil(t, "the request to be in flight", func() bool { return upstream.waitingCount() == i+1 })
	}
	awaitResult(t, startAttempt(t.Context(), upstream, "more"), policy.ConnectionFailed)
	if len(server.conns) != maxConnectionsPerUpstream {
		t.Errorf("got %d connections, want %d", len(server.conns), maxConnectionsPerUpstream)
	}
	cancel()
	for _, attempt := range attempts {
		got := peertest.Await(t, "the attempt to end", attempt)
		if got.result != policy.Cancelled && got.result != policy.NotSent {
			t.Errorf("got result %v, want cancelled or not sent", got.result)
		}
	}
}

// waitingCount returns the number of requests that wait for a response, on all connections of the
// upstream.
func (upstream *rpcUpstream) waitingCount() int {
	count := 0
	for _, conn := range upstream.connections() {
		count += conn.waitingCount()
	}
	return count
}

// If a request times out and nothing was received on its connection meanwhile, the next request uses a
// new connection: the old connection would never report that the upstream's machine has disappeared.
func TestSilentConnectionIsReplaced(t *testing.T) {
	server := newTestServer(t)
	upstream := server.upstream(newTestTransport(Config{}))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	awaitResult(t, startAttempt(ctx, upstream, "silent"), policy.TimedOut)
	first := server.accept(t)
	peertest.Await(t, "its close", first.closed)
	next := startAttempt(t.Context(), upstream, "next")
	server.accept(t).respondNext(t)
	awaitResult(t, next, policy.Served)
}

// If one attempt times out while other requests on the connection get responses, the connection stays
// in use.
func TestOneTimeoutKeepsTheConnection(t *testing.T) {
	server := newTestServer(t)
	transport := newTestTransport(Config{})
	upstream := server.upstream(transport)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	hanging := startAttempt(ctx, upstream, "hanging")
	conn := server.accept(t)
	peertest.Await(t, "the hanging request", conn.calls)
	other := startAttempt(t.Context(), upstream, "other")
	conn.respondNext(t)
	awaitResult(t, other, policy.Served)
	awaitResult(t, hanging, policy.TimedOut)
	after := startAttempt(t.Context(), upstream, "after")
	conn.respondNext(t)
	awaitResult(t, after, policy.Served)
	if dials := transport.Counters().Dials; dials != 1 {
		t.Errorf("got %d connections, want 1", dials)
	}
}
