package httpnode

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// An attempt that is cancelled or times out while it waits for a connection writes nothing.
func TestAttemptThatEndsBeforeItHasAConnectionWritesNothing(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200("")))
	pool := newTestPool(1)
	upstream := newTestUpstream(pool, server.Addr)
	inUse := getConnection(t, upstream)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if got, _ := roundTrip(cancelled, upstream); got != policy.NotSent {
		t.Errorf("cancelled: got result %v, want not sent", got)
	}
	timedOut, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	if got, _ := roundTrip(timedOut, upstream); got != policy.NotSent { // no slot of the pool is free
		t.Errorf("timed out: got result %v, want not sent", got)
	}
	pool.drop(inUse)
	if len(server.Requests) > 0 {
		t.Error("the upstream received a request, want none")
	}
}

// A request whose last byte could not be written never ran, no matter how many bytes were written
// before.
func TestIncompleteWriteIsReportedAsNotWritten(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	conn := getConnection(t, newTestUpstream(newTestPool(1), listenWithoutReading(t)))
	conn.netConn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	message := newTestMessage()
	message.Fields = http.Header{"X": {strings.Repeat("x", 16<<20)}}
	if _, written, err := conn.exchange(ctx, message); err == nil || written {
		t.Errorf("got written %v, error %v; want an incomplete write and an error", written, err)
	}
}

// Between the balancer's decision and the open connection, the client may disconnect or the write
// deadline may pass. Then the transport writes nothing, and the attempt does not count against the
// upstream.
func TestPreventedSendWritesNothing(t *testing.T) {
	disconnected := func() bool { return true }
	const wait = 50 * time.Millisecond
	for name, test := range map[string]struct {
		message      core.Message
		writeTimeout time.Duration // time until WriteDeadline; 0 for no WriteDeadline
		wait         time.Duration // until a slot is free
	}{
		"client disconnected":              {message: core.Message{ClientDisconnected: disconnected}},
		"client disconnected after a wait": {message: core.Message{ClientDisconnected: disconnected}, wait: 20 * time.Millisecond},
		"deadline passed":                  {writeTimeout: -time.Millisecond},
		"deadline passed after a wait":     {writeTimeout: 10 * time.Millisecond, wait: wait},
		"both, after a wait": {
			message:      core.Message{ClientDisconnected: disconnected},
			writeTimeout: 10 * time.Millisecond,
			wait:         wait,
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200("ok")))
			pool := newTestPool(1)
			upstream := newTestUpstream(pool, server.Addr)
			message := &test.message
			message.Method, message.Target, message.Host = "POST", "/", "x"
			if test.writeTimeout != 0 {
				message.WriteDeadline = time.Now().Add(test.writeTimeout)
			}
			if test.wait > 0 {
				inUse := getConnection(t, newTestUpstream(pool, server.Addr))
				time.AfterFunc(test.wait, func() { pool.drop(inUse) })
			}
			if got, response := upstream.RoundTrip(t.Context(), message); got != policy.NotSent || response != nil {
				t.Errorf("got result %v, response %+v; want not sent and no response", got, response)
			}
			another := newTestUpstream(pool, server.Addr)
			if got, _ := roundTrip(t.Context(), another); got != policy.Served { // the slot was freed
				t.Errorf("other request: got result %v, want served", got)
			}
			request := peertest.Await(t, "the other request", server.Requests)
			if request.Header.Get("Request-Id") != "x" || len(server.Requests) > 0 {
				t.Errorf("upstream: got header %v and %d more requests, want Request-Id x and no more",
					request.Header, len(server.Requests))
			}
		})
	}
}

// If an upstream reads slowly, the write of a request stops at WriteDeadline: the last byte is written
// in time or not at all.
func TestWriteStopsAtTheWriteDeadline(t *testing.T) {
	upstream := newTestUpstream(newTestPool(1), listenWithoutReading(t))
	message := newTestMessage()
	message.Body = make([]byte, 16<<20)
	message.WriteDeadline = time.Now().Add(200 * time.Millisecond)
	start := time.Now()
	got, _ := upstream.RoundTrip(t.Context(), message)
	if elapsed := time.Since(start); got != policy.NotSent || elapsed > time.Second {
		t.Errorf("got result %v after %v, want not sent after 0.2 s", got, elapsed)
	}
}
