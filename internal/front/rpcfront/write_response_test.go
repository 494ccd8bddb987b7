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
	handler := newChannelHandler()
	client := dial(t, startFront(t, Config{}, handler))
	for want, result := range map[string]core.Response{
		msgrpc.KindRefused:   {Result: core.Rejected, RetryAfter: 120 * time.Millisecond},
		msgrpc.KindFailed:    {Result: core.Failed},
		msgrpc.KindTimeout:   {Result: core.TimedOut},
		msgrpc.KindDuplicate: {Result: core.Duplicate},
	} {
		client.call(1, nil)
		peertest.Await(t, "the request to be submitted", handler.submitted).Respond(result)
		if fault := client.expectFault(t, 1); fault.Kind != want || fault.RetryAfter != result.RetryAfter {
			t.Errorf("result %+v: got error %+v", result, fault)
		}
	}
}

// Guards against responses that end a client's stream: an HTTP/1.1 node's fields need not be UTF-8, and may be more than a
// message holds.
func TestFieldsThatAMessageCannotContainAreDropped(t *testing.T) {
	handler := newChannelHandler()
	client := dial(t, startFront(t, Config{}, handler))
	tooMany := make(map[string][]string)
	for i := range msgrpc.MaxFields + 1 {
		tooMany[fmt.Sprint("X-", i)] = []string{"1"}
	}
	for name, fields := range map[string]map[string][]string{
		"Latin-1":    {"X-Name": {"Jos\xe9"}, "X-End": {"1"}},
		"second one": {"X-Name": {"a", "\xff"}, "X-End": {"1"}},
		"control":    {"X-Name": {"a\x01"}, "X-End": {"1"}},
		"too long":   {"X-Name": {strings.Repeat("x", 20_481)}, "X-End": {"1"}},
		"too many":   tooMany,
	} {
		client.call(1, nil)
		peertest.Await(t, "the request to be submitted", handler.submitted).
			Respond(core.Response{Result: core.Served, Body: []byte("honey"), Fields: fields})
		got, err := msgrpc.ParseResult(client.readMessage(t).Result)
		if err != nil || string(got.Body) != "honey" || got.Fields["X-Name"] != nil || len(got.Fields) > 1 {
			t.Errorf("%s: got result %+v, error %v; want the body and X-End at most", name, got, err)
		}
	}
}

// All errors must be encoded as maps, or as strings if Config.ErrorsAsText is set: errors of the handler,
// errors of the front end, and errors that quote the client's input.
func TestErrorsAsMapsAndTexts(t *testing.T) {
	for _, texts := range []bool{false, true} {
		t.Run(fmt.Sprint("texts=", texts), func(t *testing.T) {
			handler := newChannelHandler()
			client := dial(t, startFront(t, Config{ErrorsAsText: texts, MaxRequestsInFlight: 1}, handler))
			for _, step := range []struct {
				send func()
				want string
			}{
				{func() {
					client.call(1, nil)
					peertest.Await(t, "the request to be submitted", handler.submitted).
						Respond(core.Response{Result: core.Rejected, RetryAfter: 120 * time.Millisecond})
				}, "refused pause_ms=120"},
				{func() {
					client.call(2, nil)
					peertest.Await(t, "the request to be submitted", handler.submitted).
						Respond(core.Response{Result: core.TimedOut})
				}, "timeout"},
				{func() {
					client.call(3, func(call *msgrpc.Call) { call.Class = "no\x02such" })
				}, "rejected: class: must not contain control bytes, got byte 0x02"},
				{func() {
					client.call(4, func(call *msgrpc.Call) { call.Target = strings.Repeat("x", 20_000) })
				}, `rejected: target must begin with '/', got "` + strings.Repeat("x", 40) + `"`},
				{func() {
					client.Write(msgp.AppendArrayHeader(msgrpc.AppendRequest(nil, 5, "add"), 0))
				}, "rejected: method: must be call or ready"},
				{func() {
					client.call(6, nil)
					peertest.Await(t, "the request to be submitted", handler.submitted)
					client.call(7, nil)
				}, "refused pause_ms=100: too many requests in flight or unread responses on this connection"},
			} {
				step.send()
				message := client.readMessage(t)
				if isText := msgp.NextType(message.Fault) == msgp.StrType; isText != texts {
					t.Errorf("%s: got encoded as string %v, want %v", step.want, isText, texts)
				}
				if fault, err := msgrpc.ParseFault(message.Fault); err != nil || fault.String() != step.want {
					t.Errorf("got error %v, parse error %v; want %s", fault, err, step.want)
				}
			}
		})
	}
}

// If a client never reads its responses, its connection must be closed, so that the responses do not
// occupy memory. The responses of other clients must not be delayed.
func TestClientThatNeverReads(t *testing.T) {
	handler := newChannelHandler()
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
	for front.Counters().Stalled == 0 { // the other client must be served meanwhile
		startedAt := time.Now()
		other.call(1, nil)
		if message := other.readMessage(t); message.ID != 1 || message.Fault != nil {
			t.Fatalf("the other client got %+v, want a response with msgid 1", message)
		}
		if elapsed := time.Since(startedAt); elapsed > peertest.WaitTimeout/2 {
			t.Errorf("the other client waited for %v, want at most half of WaitTimeout", elapsed)
		}
		checkBuffered(t, front, bodyBytes)
	}
	peertest.WaitUntil(t, "the connection of the stalled client to be closed", func() bool {
		front.mu.Lock()
		defer front.mu.Unlock()
		return len(front.conns) == 1
	})
}

// checkBuffered checks the limits on the responses that are buffered for each client. All response
// bodies have bodyBytes bytes.
func checkBuffered(t *testing.T, front *Front, bodyBytes int) {
	t.Helper()
	maxRequests := front.config.MaxRequestsInFlight
	maxBytes := front.config.MaxBufferedResponseBytes + (maxRequests+1)*bodyBytes
	front.mu.Lock()
	defer front.mu.Unlock()
	for conn := range front.conns {
		conn.mu.Lock()
		if conn.bufferedBytes > maxBytes || len(conn.responseQueue) > 4*maxRequests {
			t.Errorf("got %d bytes and %d responses buffered for one client", conn.bufferedBytes, len(conn.responseQueue))
		}
		conn.mu.Unlock()
	}
}

// If a client sends few requests but does not read the responses, its connection must also be closed.
func TestClientWithUnreadResponsesIsDisconnected(t *testing.T) {
	handler := newChannelHandler()
	front := startFront(t, Config{MaxRequestsInFlight: 64, MaxBufferedResponseBytes: 64 << 20}, handler)
	client := dial(t, front)
	client.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	for i := range 32 { // their responses exceed the socket buffers of both sides
		client.call(uint32(i), nil)
	}
	for range 32 {
		request := peertest.Await(t, "a request to be submitted", handler.submitted)
		request.Respond(core.Response{Result: core.Served, Body: make([]byte, 1<<20)})
	}
	peertest.WaitUntil(t, "the connection to be closed", func() bool {
		front.mu.Lock()
		defer front.mu.Unlock()
		return len(front.conns) == 0
	})
	if count := front.Counters().Stalled; count != 1 {
		t.Errorf("got %d stalled connections, want 1", count)
	}
}
