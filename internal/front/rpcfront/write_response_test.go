package rpcfront

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
)

func TestResultsBecomeFaults(t *testing.T) {
	handler := newHoldingHandler()
	client := dial(t, startFront(t, Config{}, handler))
	for want, result := range map[string]core.Response{
		msgrpc.KindRefused:   {Result: core.Rejected, RetryAfter: 120 * time.Millisecond},
		msgrpc.KindFailed:    {Result: core.Failed},
		msgrpc.KindTimeout:   {Result: core.TimedOut},
		msgrpc.KindDuplicate: {Result: core.Duplicate},
	} {
		client.call(1, nil)
		peertest.Await(t, "the request", handler.submitted).Respond(result)
		if fault := client.expectFault(t, 1); fault.Kind != want || fault.RetryAfter != result.RetryAfter {
			t.Errorf("%+v becomes %+v", result, fault)
		}
	}
}

// Errors are maps, or texts where the configuration says so: those of the handler, those of
// the front end, and those that quote the client.
func TestErrorsAsMapsAndTexts(t *testing.T) {
	for _, texts := range []bool{false, true} {
		t.Run(fmt.Sprint("texts=", texts), func(t *testing.T) {
			handler := newHoldingHandler()
			client := dial(t, startFront(t, Config{ErrorsAsText: texts, MaxRequestsInFlight: 1}, handler))
			for _, step := range []struct {
				send func()
				want string
			}{
				{func() {
					client.call(1, nil)
					peertest.Await(t, "the request", handler.submitted).
						Respond(core.Response{Result: core.Rejected, RetryAfter: 120 * time.Millisecond})
				}, "refused pause_ms=120"},
				{func() {
					client.call(2, nil)
					peertest.Await(t, "the request", handler.submitted).Respond(core.Response{Result: core.TimedOut})
				}, "timeout"},
				{func() {
					client.call(3, func(call *msgrpc.Call) { call.Class = "no\x02such" })
				}, "rejected: class: byte 0x02: no control bytes are allowed"},
				{func() {
					client.call(4, func(call *msgrpc.Call) { call.Target = strings.Repeat("x", 20_000) })
				}, `rejected: target "` + strings.Repeat("x", 40) + `": it begins with '/'`},
				{func() {
					client.Write(msgp.AppendArrayHeader(msgrpc.AppendRequest(nil, 5, "add"), 0))
				}, "rejected: method: call and ready are known"},
				{func() {
					client.call(6, nil)
					peertest.Await(t, "the request", handler.submitted)
					client.call(7, nil)
				}, "refused pause_ms=100: too many at once on one connection"},
			} {
				step.send()
				message := client.readMessage(t)
				if isText := msgp.NextType(message.Fault) == msgp.StrType; isText != texts {
					t.Errorf("%s: a text is %v, want %v", step.want, isText, texts)
				}
				if fault, err := msgrpc.ParseFault(message.Fault); err != nil || fault.String() != step.want {
					t.Errorf("got %v, %v; want %s", fault, err, step.want)
				}
			}
		})
	}
}

// A client that never reads its responses loses its connection: they are not held
// for it, and another client's are not delayed.
func TestClientThatNeverReads(t *testing.T) {
	handler := newHoldingHandler()
	front := startFront(t, Config{MaxRequestsInFlight: 32}, handler)
	const bodyBytes = 512 << 10
	stalled, other := dial(t, front), dial(t, front)
	stalled.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	go func() {
		for i := uint32(0); ; i++ {
			call := msgrpc.Call{ID: fmt.Sprint("d", i), Class: "once", Tenant: "north", Timeout: 5 * time.Second}
			if _, err := stalled.Write(call.Append(nil, i)); err != nil {
				return
			}
		}
	}()
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case request := <-handler.submitted:
				request.Respond(core.Response{Result: core.Served, Body: make([]byte, bodyBytes)})
			case <-done:
				return
			}
		}
	}()
	for front.Counters().Stalled == 0 { // meanwhile the other is served
		startedAt := time.Now()
		other.call(1, nil)
		if message := other.readMessage(t); message.ID != 1 || message.Fault != nil {
			t.Fatalf("the other got %+v", message)
		}
		if took := time.Since(startedAt); took > peertest.WaitTimeout/2 {
			t.Errorf("the other waited for %v", took)
		}
		checkBuffered(t, front, bodyBytes)
	}
	peertest.Until(t, "the end of the stalled one", func() bool {
		front.mu.Lock()
		defer front.mu.Unlock()
		return len(front.conns) == 1
	})
}

// checkBuffered checks the bounds on what is held for each client, with bodies of one size.
func checkBuffered(t *testing.T, front *Front, bodyBytes int) {
	t.Helper()
	maxRequests := front.config.MaxRequestsInFlight
	maxBytes := front.config.MaxBufferedResponseBytes + (maxRequests+1)*bodyBytes
	front.mu.Lock()
	defer front.mu.Unlock()
	for conn := range front.conns {
		conn.mu.Lock()
		if conn.bufferedBytes > maxBytes || len(conn.responseQueue) > 4*maxRequests {
			t.Errorf("%d bytes and %d responses are held for one client", conn.bufferedBytes, len(conn.responseQueue))
		}
		conn.mu.Unlock()
	}
}

// A client that sends few requests, but does not read the responses, is not waited for either.
func TestUnreadResponsesAreNotHeld(t *testing.T) {
	handler := newHoldingHandler()
	front := startFront(t, Config{MaxRequestsInFlight: 64, MaxBufferedResponseBytes: 64 << 20}, handler)
	client := dial(t, front)
	client.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	for i := range 32 { // more than the buffers of both sides hold
		client.call(uint32(i), nil)
	}
	for range 32 {
		request := peertest.Await(t, "a request", handler.submitted)
		request.Respond(core.Response{Result: core.Served, Body: make([]byte, 1<<20)})
	}
	peertest.Until(t, "the connection's end", func() bool {
		front.mu.Lock()
		defer front.mu.Unlock()
		return len(front.conns) == 0
	})
	if count := front.Counters().Stalled; count != 1 {
		t.Errorf("%d connections count as stalled, want 1", count)
	}
}
