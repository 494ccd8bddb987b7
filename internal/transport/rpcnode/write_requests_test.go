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

// A connection is reset with 50 requests in flight: those written to their end may have run,
// the others never ran.
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
	// The upstream does not read on: the writer is blocked with a batch that exceeds the
	// buffers, and the others are queued.
	peertest.Until(t, "all to be in flight", func() bool { return client.waitingCount() == attempts })
	readRequests(t, framer, complete-1)
	serverConn.(*net.TCPConn).SetLinger(0)
	serverConn.Close()
	results.attempts.Wait()
	counts := results.counts
	if len(counts) > 2 || counts[policy.ConnectionReset]+counts[policy.ConnectionFailed] != attempts {
		t.Fatalf("results %v", counts)
	}
	if counts[policy.ConnectionReset] < complete {
		t.Errorf("%d count as maybe run, though %d reached the upstream complete",
			counts[policy.ConnectionReset], complete)
	}
}

func readRequests(t *testing.T, framer *msgrpc.Framer, count int) {
	t.Helper()
	for range count {
		if _, err := framer.Next(); err != nil {
			t.Fatal(err)
		}
	}
}

// encodeBytes encodes a request as so many bytes.
func encodeBytes(count int) encodeFunc {
	return func(buffer []byte, _ uint32, _ time.Duration) []byte { return append(buffer, make([]byte, count)...) }
}

// newUnconnected makes a connection without goroutines.
func newUnconnected() *connection {
	return newConnection(newTestUpstream(newTestTransport(Config{}), ""), &net.TCPConn{})
}

// A request that was not written to its end is distinguished from one that was.
func TestUnfinishedWriteNeverRan(t *testing.T) {
	conn := newUnconnected()
	var requests []*pendingRequest
	for range 4 {
		requests = append(requests, conn.enqueue(nil, encodeBytes(10), time.Time{}))
	}
	for _, request := range requests[:3] {
		request.appendTo(nil, time.Now())
		request.state = requestWriting
	}
	conn.queue = conn.queue[3:]
	conn.onWritten(requests[:3], 25, errors.New("cut")) // two complete, half of the third
	conn.fail(errors.New("reset"))
	for i, notWritten := range []bool{false, false, true, true} {
		answer := peertest.Await(t, "the end", requests[i].reply)
		if errors.Is(answer.err, errNotWritten) != notWritten {
			t.Errorf("request %d: %v; want not written: %v", i, answer.err, notWritten)
		}
	}
}

// An attempt that ends while its request is queued does not count against the upstream, and
// the request is not written later.
func TestCancelledWhileQueuedIsNotWritten(t *testing.T) {
	conn := newUnconnected()
	request := conn.enqueue(nil, encodeBytes(1), time.Time{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if answer, written := conn.await(ctx, request); written || answer.err == nil {
		t.Errorf("written %v, error %v", written, answer.err)
	}
	if len(conn.queue)+len(conn.waiting)+len(conn.abandoned) != 0 {
		t.Errorf("%d queued, %d waiting, %d abandoned", len(conn.queue), len(conn.waiting), len(conn.abandoned))
	}
}

// What was decided may be out of date once it is to be written: see core.Message.AllowSend.
// Nothing is written, and other requests on the connection go on.
func TestPreventedSendWritesNothing(t *testing.T) {
	for name, message := range map[string]*core.Message{
		"client gone": {ClientGone: func() bool { return true }},
		"too late":    {WriteDeadline: time.Now().Add(-time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t)
			upstream := server.upstream(newTestTransport(Config{}))
			first := startAttempt(t.Context(), upstream, "first")
			conn := server.accept(t)
			conn.respondNext(t)
			awaitResult(t, first, policy.Served)
			if got, response := upstream.RoundTrip(t.Context(), message); got != policy.NotSent || response != nil {
				t.Errorf("result %v, response %+v; want not sent", got, response)
			}
			other := startAttempt(t.Context(), upstream, "other")
			request := conn.respondNext(t)
			awaitResult(t, other, policy.Served)
			if request.call.ID != "other" || len(conn.calls) > 0 {
				t.Errorf("the upstream read %+v", request.call)
			}
		})
	}
}
