package rpcfront

import (
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
)

// A msgid that is in flight cannot be used again: no response could say which of the
// two it is for. The first goes on.
func TestMsgIDTwice(t *testing.T) {
	handler := newHoldingHandler()
	front := startFront(t, Config{}, handler)
	client := dial(t, front)
	client.call(3, nil)
	request := peertest.Await(t, "the request", handler.submitted)
	client.call(3, func(message *msgrpc.Call) { message.ID = "another" })
	client.expectProtocolError(t)
	request.Respond(core.Response{Result: core.Served, Body: []byte("first")})
	if message := client.readMessage(t); message.ID != 3 || message.Fault != nil {
		t.Errorf("got %+v", message)
	}
	if len(handler.submitted) > 0 || front.Counters().DuplicateIDs != 1 {
		t.Errorf("%d more were submitted, counters %+v", len(handler.submitted), front.Counters())
	}
	client.call(3, nil) // it is free now
	peertest.Await(t, "the request", handler.submitted)
}

// A client that has too many requests in flight is rejected beyond its bound, with a pause,
// and gets exactly one response for each request.
func TestRequestsInFlightAreBounded(t *testing.T) {
	handler := newHoldingHandler()
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
			t.Errorf("got %+v, %v", fault, err)
		}
		responses[message.ID]++
	}
	for range 8 {
		peertest.Await(t, "a request", handler.submitted).Respond(core.Response{Result: core.Served})
		responses[client.readMessage(t).ID]++
	}
	for id, times := range responses {
		if times != 1 {
			t.Errorf("%d was answered %d times", id, times)
		}
	}
	if len(responses) != count || len(handler.submitted) > 0 || front.Counters().LimitExceeded != count-8 {
		t.Errorf("%d answered, %d more submitted, counters %+v", len(responses), len(handler.submitted), front.Counters())
	}
}

// Bad input: a clear error or a close within 3 s, and nothing is submitted.
func TestBadInput(t *testing.T) {
	for name, input := range map[string]struct {
		text  string
		close bool // the connection ends, with a last notification
	}{
		"4 GB of bytes":       {"\x94\x00\x01\xa4call\x91\x81\xa4body\xc6\xff\xff\xff\xff", true},
		"4 GB of map":         {"\x94\x00\x01\xa4call\x91\xdf\xff\xff\xff\xff", true},
		"10,000 deep":         {strings.Repeat("\x91", 10000), true},
		"extension":           {"\x94\x00\x01\xa4call\x91\xd4\x01\x00", true},
		"timestamp":           {"\x94\x00\x01\xa4call\x91\xd6\xff\x00\x00\x00\x00", true},
		"a byte that is none": {"\xc1", true},
		"no array":            {"\xa4call", true},
		"HTTP":                {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", true},
		"cut and silent":      {"\x94\x00\x01\xa4call", true},
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
			handler := newHoldingHandler()
			front := startFront(t, Config{}, handler)
			client := dial(t, front)
			startedAt := time.Now()
			io.WriteString(client, input.text)
			client.expectProtocolError(t)
			if took := time.Since(startedAt); took > 3*time.Second {
				t.Errorf("notified after %v", took)
			}
			if input.close {
				if message, err := client.read(); err == nil {
					t.Errorf("then %+v, want the end", message)
				}
			} else {
				client.call(1, nil)
				peertest.Await(t, "a good one after it", handler.submitted)
			}
			if front.Counters().Malformed != 1 {
				t.Errorf("counters %+v", front.Counters())
			}
		})
	}
}

// A connection with nothing but malformed messages is closed.
func TestManyBadMessagesEndTheConnection(t *testing.T) {
	client := dial(t, startFront(t, Config{}, newHoldingHandler()))
	io.WriteString(client, strings.Repeat("\x94\x01\x01\xc0\xc0", maxMalformedMessages))
	notified := 0
	for {
		_, err := client.read()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("after %d bad messages it goes on", maxMalformedMessages)
		}
		if err != nil {
			break
		}
		notified++
	}
	if notified > maxMalformedMessages {
		t.Errorf("notified of %d, %d were sent", notified, maxMalformedMessages)
	}
}
