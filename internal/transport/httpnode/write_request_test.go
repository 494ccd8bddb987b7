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

// An attempt that ends while it waits for a connection writes nothing.
func TestEndedBeforeItsConnectionWritesNothing(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	pool := newTestPool(1)
	upstream := newTestUpstream(pool, server.Addr)
	inUse := getConnection(t, upstream)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if got, _ := roundTrip(cancelled, upstream); got != policy.NotSent {
		t.Errorf("cancelled: result %v, want not sent", got)
	}
	timedOut, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	if got, _ := roundTrip(timedOut, upstream); got != policy.NotSent { // this process has no slot
		t.Errorf("timed out: result %v, want not sent", got)
	}
	pool.drop(inUse)
	if len(server.Requests) > 0 {
		t.Error("a request was written")
	}
}

// A request whose last byte could not be written never ran, however much of it was.
func TestUnfinishedWriteNeverRan(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	conn := getConnection(t, newTestUpstream(newTestPool(1), listenWithoutReading(t)))
	conn.netConn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	message := newTestMessage()
	message.Fields = http.Header{"X": {strings.Repeat("x", 16<<20)}}
	if _, written, err := conn.exchange(ctx, message); err == nil || written {
		t.Errorf("written %v, error %v; want an unfinished write", written, err)
	}
}

// What was decided may be out of date once there is a connection: the client has
// disconnected, or the time is past in which the request may be written. Nothing is written,
// and it does not count against the upstream.
func TestPreventedSendWritesNothing(t *testing.T) {
	disconnected := func() bool { return true }
	const wait = 50 * time.Millisecond
	for name, test := range map[string]struct {
		message      core.Message
		writeTimeout time.Duration // WriteDeadline, from now on; 0: none
		wait         time.Duration // for a slot
	}{
		"client gone":              {message: core.Message{ClientGone: disconnected}},
		"client gone after a wait": {message: core.Message{ClientGone: disconnected}, wait: 20 * time.Millisecond},
		"too late":                 {writeTimeout: -time.Millisecond},
		"too late after a wait":    {writeTimeout: 10 * time.Millisecond, wait: wait},
		"both, after a wait": {
			message:      core.Message{ClientGone: disconnected},
			writeTimeout: 10 * time.Millisecond,
			wait:         wait,
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
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
				t.Errorf("result %v, response %+v; want not sent", got, response)
			}
			another := newTestUpstream(pool, server.Addr)
			if got, _ := roundTrip(t.Context(), another); got != policy.Served { // the slot is free again
				t.Errorf("another request: result %v", got)
			}
			request := peertest.Await(t, "the other request", server.Requests)
			if request.Header.Get("Request-Id") != "x" || len(server.Requests) > 0 {
				t.Errorf("the upstream read %v and %d more", request.Header, len(server.Requests))
			}
		})
	}
}

// An upstream that reads slowly gets the last byte by WriteDeadline or never.
func TestLastByteIsWrittenInTimeOrNever(t *testing.T) {
	upstream := newTestUpstream(newTestPool(1), listenWithoutReading(t))
	message := newTestMessage()
	message.Body = make([]byte, 16<<20)
	message.WriteDeadline = time.Now().Add(200 * time.Millisecond)
	start := time.Now()
	got, _ := upstream.RoundTrip(t.Context(), message)
	if elapsed := time.Since(start); got != policy.NotSent || elapsed > time.Second {
		t.Errorf("result %v after %v, want not sent after 0.2 s", got, elapsed)
	}
}
