package rpcfront

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
)

// A second request with a msgid that is in flight must be ignored, because a response could not be
// assigned to one of the two requests. The first request must still be answered.
func TestDuplicateMsgID(t *testing.T) {
	handler := newChannelHandler()
	front := startFront(t, Config{}, handler)
	client := dial(t, front)
	client.call(3, nil)
	request := peertest.Await(t, "the first request to be submitted", handler.submitted)
	client.call(3, func(message *msgrpc.Call) { message.ID = "another" })
	client.expectProtocolError(t)
	request.Respond(core.Response{Result: core.Served, Body: []byte("first")})
	if message := client.readMessage(t); message.ID != 3 || message.Fault != nil {
		t.Errorf("got %+v, want a response with msgid 3", message)
	}
	if len(handler.submitted) > 0 || front.Counters().DuplicateIDs != 1 {
		t.Errorf("got %d more requests submitted, counters %+v; want 0, DuplicateIDs 1",
			len(handler.submitted), front.Counters())
	}
	client.call(3, nil) // the msgid is free again
	peertest.Await(t, "the third request to be submitted", handler.submitted)
}

// If a client exceeds the limit on requests in flight, the excess requests must be rejected with a
// time to wait before a retry. The client must get exactly one response for each request.
func TestRequestsInFlightAreBounded(t *testing.T) {
	handler := newChannelHandler()
	front := startFront(t, Config{MaxRequestsInFlight: 8}, handler)
	client := dial(t, front)
	const count = 30
	for i := range count {
		client.call(uint32(i), nil)
	}
	responses := make(map[uint32]int)
	for range count - 8 {
		message := client.readMessage(t)
		fault, err := msgrpc.ParseFault(message.Fault)
		if err != nil || fault.Kind != msgrpc.KindRefused || fault.RetryAfter <= 0 {
			t.Errorf("got error %+v, parse error %v; want kind refused with a RetryAfter", fault, err)
		}
		responses[message.ID]++
	}
	for range 8 {
		peertest.Await(t, "a request to be submitted", handler.submitted).Respond(core.Response{Result: core.Served})
		responses[client.readMessage(t).ID]++
	}
	for id, times := range responses {
		if times != 1 {
			t.Errorf("request %d: got %d responses, want 1", id, times)
		}
	}
	if len(responses) != count || len(handler.submitted) > 0 || front.Counters().LimitExceeded != count-8 {
		t.Errorf("got %d requests answered, %d more submitted, counters %+v",
			len(responses), len(handler.submitted), front.Counters())
	}
}

// Malformed input must be answered with a protocol error within 3 s, and must not be submitted. If the
// next message cannot be found, the connection must be closed; otherwise it must remain usable.
func TestMalformedInput(t *testing.T) {
	for name, input := range map[string]struct {
		text  string
		close bool // the connection is closed after the notification
	}{
		"4 GB of bytes":       {"\x94\x00\x01\xa4call\x91\x81\xa4body\xc6\xff\xff\xff\xff", true},
		"4 GB of map":         {"\x94\x00\x01\xa4call\x91\xdf\xff\xff\xff\xff", true},
		"10,000 deep":         {strings.Repeat("\x91", 10000), true},
		"extension":           {"\x94\x00\x01\xa4call\x91\xd4\x01\x00", true},
		"timestamp":           {"\x94\x00\x01\xa4call\x91\xd6\xff\x00\x00\x00\x00", true},
		"byte 0xc1, reserved": {"\xc1", true},
		"no array":            {"\xa4call", true},
		"HTTP":                {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", true},
		"incomplete message":  {"\x94\x00\x01\xa4call", true},
		"three values":        {"\x93\x00\x01\xa4call", false},
		"five values":         {"\x95\x00\x01\xa4call\x90\x00", false},
		"kind 3":              {"\x94\x03\x01\xa4call\x90", false},
		"kind of text":        {"\x94\xa1x\x01\xa4call\x90", false},
		"msgid below 0":       {"\x94\x00\xff\xa4call\x90", false},
		"msgid over 2^32":     {"\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xa4call\x90", false},
		"method a number":     {"\x94\x00\x01\x07\x90", false},
		"params a map":        {"\x94\x00\x01\xa4call\x80", false},
		"a response":          {"\x94\x01\x01\xc0\xc0", false},
		"cancel of text":      {"\x93\x02\xa6cancel\x91\xa1x", false},
		"cancel of nothing":   {"\x93\x02\xa6cancel\x90", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			handler := newChannelHandler()
			front := startFront(t, Config{}, handler)
			client := dial(t, front)
			startedAt := time.Now()
			io.WriteString(client, input.text)
			client.expectProtocolError(t)
			if elapsed := time.Since(startedAt); elapsed > 3*time.Second {
				t.Errorf("got the notification after %v, want at most 3 s", elapsed)
			}
			if input.close {
				if message, err := client.read(); err == nil {
					t.Errorf("after the notification: got %+v, want the connection closed", message)
				}
			} else {
				client.call(1, nil)
				peertest.Await(t, "a valid request after the malformed message", handler.submitted)
			}
			if front.Counters().Malformed != 1 {
				t.Errorf("got counters %+v, want Malformed 1", front.Counters())
			}
		})
	}
}

// A connection on which maxMalformedMessages malformed messages were received must be closed.
func TestTooManyMalformedMessagesCloseConnection(t *testing.T) {
	client := dial(t, startFront(t, Config{}, newChannelHandler()))
	io.WriteString(client, strings.Repeat("\x94\x01\x01\xc0\xc0", maxMalformedMessages))
	notified := 0
	for {
		_, err := client.read()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("connection is still open after %d malformed messages", maxMalformedMessages)
		}
		if err != nil {
			break
		}
		notified++
	}
	if notified > maxMalformedMessages {
		t.Errorf("got %d notifications for %d malformed messages", notified, maxMalformedMessages)
	}
}

// Guards against more queued responses than maxQueuedFactor allows: those of the requests in flight came on top of a full queue,
// and the ones to readiness requests and unknown methods were not bounded at all. The writer does not run, as for a client that
// does not read.
func TestQueuedResponsesAreBounded(t *testing.T) {
	const maxRequests = 8
	for name, message := range map[string]func(id uint32) []byte{
		"call": func(id uint32) []byte { return callBytes(id, nil) },
		"ready": func(id uint32) []byte {
			return msgp.AppendArrayHeader(msgrpc.AppendRequest(nil, id, msgrpc.MethodReady), 0)
		},
		"unknown": func(id uint32) []byte { return msgp.AppendArrayHeader(msgrpc.AppendRequest(nil, id, "add"), 0) },
	} {
		t.Run(name, func(t *testing.T) {
			handler := newChannelHandler()
			front := startFront(t, Config{MaxRequestsInFlight: maxRequests}, handler)
			serverEnd, clientEnd := net.Pipe()
			defer serverEnd.Close()
			defer clientEnd.Close()
			conn := newClientConn(front, serverEnd)
			for id := range uint32(maxRequests) {
				conn.handleMessage(callBytes(id, nil), time.Now())
			}
			handled := 0
			for conn.handleMessage(message(uint32(maxRequests+handled)), time.Now()) && handled < 1000 {
				handled++
			}
			for range maxRequests {
				peertest.Await(t, "a request to be submitted", handler.submitted).Respond(core.Response{Result: core.Served})
			}
			if queued := len(conn.responseQueue); queued != maxQueuedFactor*maxRequests {
				t.Errorf("got %d queued responses, want %d", queued, maxQueuedFactor*maxRequests)
			}
			if stalled := front.Counters().Stalled; stalled != 1 {
				t.Errorf("got %d stalled connections, want 1", stalled)
			}
		})
	}
}
