package rpcnode

import (
	"context"
	"fmt"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// An upstream hangs and ignores cancellations: what runs there is bounded by connection, and a
// connection with too many abandoned requests is closed when none is waited for any more, so
// that an upstream which recovers is reached again at once.
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
					peertest.Await(t, fmt.Sprint("the end of connection ", round), previous.closed)
				}
			}
			peertest.Await(t, "the request", conn.calls)
			cancel()
			awaitResult(t, attempt, policy.Cancelled)
		}
		previous = conn
	}
	if drained := transport.Counters().DrainedUnanswered; drained < maxConnectionsPerUpstream-1 {
		t.Errorf("%d connections were drained, want %d or more", drained, maxConnectionsPerUpstream-1)
	}
	recovered := startAttempt(t.Context(), upstream, "recovered")
	server.accept(t).respondNext(t)
	awaitResult(t, recovered, policy.Served)
}

// Where every connection that an upstream may have is full of requests that are waited for,
// one more ends at once as never run: it is not queued after them.
func TestRequestAboveAllBoundsNeverRan(t *testing.T) {
	const maxInFlight = 8
	server := newTestServer(t)
	upstream := server.upstream(newTestTransport(Config{MaxInFlight: maxInFlight}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var attempts []<-chan outcome
	for i := range maxInFlight * maxConnectionsPerUpstream {
		attempts = append(attempts, startAttempt(ctx, upstream, fmt.Sprint(i)))
		peertest.Until(t, "it to be in flight", func() bool { return upstream.waitingCount() == i+1 })
	}
	awaitResult(t, startAttempt(t.Context(), upstream, "more"), policy.ConnectionFailed)
	if len(server.conns) != maxConnectionsPerUpstream {
		t.Errorf("%d connections, want %d", len(server.conns), maxConnectionsPerUpstream)
	}
	cancel()
	for _, attempt := range attempts {
		got := peertest.Await(t, "an end", attempt)
		if got.result != policy.Cancelled && got.result != policy.NotSent {
			t.Errorf("result %v", got.result)
		}
	}
}

// waitingCount returns how many requests the connections of the upstream wait for.
func (upstream *rpcUpstream) waitingCount() int {
	count := 0
	for _, conn := range upstream.connections() {
		count += conn.waitingCount()
	}
	return count
}

// Where nothing at all comes from an upstream its next request goes out on a new connection:
// an old one would never show that the machine has vanished.
func TestSilentConnectionIsReplaced(t *testing.T) {
	server := newTestServer(t)
	upstream := server.upstream(newTestTransport(Config{}))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	awaitResult(t, startAttempt(ctx, upstream, "silent"), policy.TimedOut)
	first := server.accept(t)
	peertest.Await(t, "its end", first.closed)
	next := startAttempt(t.Context(), upstream, "next")
	server.accept(t).respondNext(t)
	awaitResult(t, next, policy.Served)
}

// One attempt times out while others are answered: the connection stays.
func TestOneTimeoutKeepsTheConnection(t *testing.T) {
	server := newTestServer(t)
	transport := newTestTransport(Config{})
	upstream := server.upstream(transport)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	hanging := startAttempt(ctx, upstream, "hanging")
	conn := server.accept(t)
	peertest.Await(t, "the hanging one", conn.calls)
	other := startAttempt(t.Context(), upstream, "other")
	conn.respondNext(t)
	awaitResult(t, other, policy.Served)
	awaitResult(t, hanging, policy.TimedOut)
	after := startAttempt(t.Context(), upstream, "after")
	conn.respondNext(t)
	awaitResult(t, after, policy.Served)
	if dials := transport.Counters().Dials; dials != 1 {
		t.Errorf("%d connections, want 1", dials)
	}
}
