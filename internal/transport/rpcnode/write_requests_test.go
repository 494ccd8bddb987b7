package rpcnode

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// resultCounter performs attempts and counts their results.
type resultCounter struct {
	attempts sync.WaitGroup

	mu     sync.Mutex
	counts map[policy.AttemptResult]int
}

func (counter *resultCounter) start(ctx context.Context, upstream *rpcUpstream, message *core.Message) {
	counter.attempts.Go(func() {
		result, _ := upstream.RoundTrip(ctx, message)
		counter.mu.Lock()
		counter.counts[result]++
		counter.mu.Unlock()
	})
}

// When a connection is reset with 50 requests in flight, the requests that were completely written may
// have run, and the others never ran.
func TestResetWithFiftyInFlight(t *testing.T) {
	const attempts, complete = 50, 10
	listener := peertest.Listen(t)
	upstream := newTestUpstream(newTestTransport(Config{DialTimeout: 10 * time.Second}), listener.Addr().String())
	large := newTestMessage("x")
	large.Body = make([]byte, msgrpc.MaxRequestBodyBytes)
	results := resultCounter{counts: make(map[policy.AttemptResult]int)}
	results.start(t.Context(), upstream, large)
	serverConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	serverConn.(*net.TCPConn).SetReadBuffer(8 << 10)
	client := awaitConnection(t, upstream)
	client.netConn.(*net.TCPConn).SetWriteBuffer(8 << 10)
	framer := msgrpc.NewFramer(serverConn, msgrpc.MaxRequestBytes, time.Minute)
	readRequests(t, framer, 1)
	for range attempts - 1 {
		results.start(t.Context(), upstream, large)
	}
	// The upstream stops reading: the writer blocks with a batch that exceeds the socket buffers, and
	// the other requests are queued.
	peertest.WaitUntil(t, "all requests to be in flight", func() bool { return client.waitingCount() == attempts })
	readRequests(t, framer, complete-1)
	serverConn.(*net.TCPConn).SetLinger(0)
	serverConn.Close()
	results.attempts.Wait()
	counts := results.counts
	if len(counts) > 2 || counts[policy.ConnectionReset]+counts[policy.ConnectionFailed] != attempts {
		t.Fatalf("got results %v, want connection reset and connection failed alone", counts)
	}
	if counts[policy.ConnectionReset] < complete {
		t.Errorf("got %d results that say the request may have run, want at least %d",
			counts[policy.ConnectionReset], complete)
	}
}

// readRequests reads count requests and discards them.
func readRequests(t *testing.T, framer *msgrpc.Framer, count int) {
	t.Helper()
	for range count {
		if _, err := framer.Next(); err != nil {
			t.Fatal(err)
		}
	}
}

// encodeBytes returns an encodeFunc that appends count zero bytes.
func encodeBytes(count int) encodeFunc {
	return func(buffer []byte, _ uint32, _ time.Duration) []byte { return append(buffer, make([]byte, count)...) }
}

// newConnectionWithoutGoroutines returns a connection without reader and writer, on a socket that is not
// connected.
func newConnectionWithoutGoroutines() *connection {
	return newConnection(newTestUpstream(newTestTransport(Config{}), ""), &net.TCPConn{})
}

// A request that was not completely written is reported as not written, so that it counts as never run.
// A completely written request is not.
func TestIncompleteWriteIsReportedAsNotWritten(t *testing.T) {
	conn := newConnectionWithoutGoroutines()
	var requests []*pendingRequest
	for range 4 {
		requests = append(requests, conn.enqueue(nil, encodeBytes(10), time.Time{}))
	}
	for _, request := range requests[:3] {
		request.appendTo(nil, time.Now())
		request.state = requestWriting
	}
	conn.queue = conn.queue[3:]
	conn.onWritten(requests[:3], 25, errors.New("cut")) // two requests and half of the third
	conn.fail(errors.New("reset"))
	for i, notWritten := range []bool{false, false, true, true} {
		completed := peertest.Await(t, "the completion", requests[i].completion)
		if errors.Is(completed.err, errNotWritten) != notWritten {
			t.Errorf("request %d: got error %v, want one that wraps errNotWritten: %v", i, completed.err, notWritten)
		}
	}
}

// If an attempt ends while its request is queued, the request is removed from the queue and is not
// written later. The attempt does not count against the upstream.
func TestCancelledWhileQueuedIsNotWritten(t *testing.T) {
	conn := newConnectionWithoutGoroutines()
	request := conn.enqueue(nil, encodeBytes(1), time.Time{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if completed, written := conn.await(ctx, request); written || completed.err == nil {
		t.Errorf("got written %v, error %v; want not written and an error", written, completed.err)
	}
	if len(conn.queue)+len(conn.waiting)+len(conn.abandoned) != 0 {
		t.Errorf("got %d queued, %d waiting and %d abandoned requests, want none",
			len(conn.queue), len(conn.waiting), len(conn.abandoned))
	}
}

// Between the balancer's decision and the write, the client may disconnect or the write deadline may
// pass: see core.Message.AllowSend. Then the request is not written, and other requests on the connection
// are not affected.
func TestPreventedSendWritesNothing(t *testing.T) {
	for name, message := range map[string]*core.Message{
		"client disconnected": {ClientDisconnected: func() bool { return true }},
		"deadline passed":     {WriteDeadline: time.Now().Add(-time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t)
			upstream := server.upstream(newTestTransport(Config{}))
			first := startAttempt(t.Context(), upstream, "first")
			conn := server.accept(t)
			conn.respondNext(t)
			awaitResult(t, first, policy.Served)
			if got, response := upstream.RoundTrip(t.Context(), message); got != policy.NotSent || response != nil {
				t.Errorf("got result %v, response %+v; want not sent and no response", got, response)
			}
			other := startAttempt(t.Context(), upstream, "other")
			request := conn.respondNext(t)
			awaitResult(t, other, policy.Served)
			if request.call.ID != "other" || len(conn.calls) > 0 {
				t.Errorf("upstream: got call %+v, want the call with id other alone", request.call)
			}
		})
	}
}
