package rpcfront

import (
	"io"
	"strings"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
)

func TestRequestReachesTheHandler(t *testing.T) {
	handler := newChannelHandler()
	client := dial(t, startFront(t, Config{}, handler))
	client.call(9, func(call *msgrpc.Call) {
		call.Class, call.IdempotencyKey, call.AffinityKey, call.Target = "keyed", "k1", "hive-7", "/a?b=c"
		call.ClientRetry, call.ExpectedWork = true, 1500*time.Microsecond
		call.Fields = map[string][]string{"x-apiary": {"1", "2"}, "Tenant": {"not this one"}}
	})
	request := peertest.Await(t, "the request to be submitted", handler.submitted)
	if request.ID != "r9" || request.Class != 1 || request.Tenant != 0 {
		t.Errorf("got request %+v, want ID r9, class 1, tenant 0", request)
	}
	if !request.ClientRetry || request.ExpectedWork != 1500*time.Microsecond {
		t.Errorf("got request %+v, want ClientRetry and ExpectedWork 1.5ms", request)
	}
	if request.Method != "POST" || request.Target != "/a?b=c" || string(request.Body) != "{}" {
		t.Errorf("got request %+v, want POST /a?b=c with body {}", request)
	}
	if left := time.Until(request.Deadline); left > 5*time.Second || left < 3*time.Second {
		t.Errorf("request %+v: got %v until its deadline, want 3 s to 5 s", request, left)
	}
	want := map[string]string{
		"Request-Id": "r9", "Request-Class": "keyed", "Tenant": "north", "Idempotency-Key": "k1",
		"Affinity-Key": "hive-7", "Client-Retry": "1", "Work-Hint": "1500", "X-Apiary": "1,2",
	}
	for name, values := range request.Fields {
		if want[name] != strings.Join(values, ",") {
			t.Errorf("field %s: got %q, want %q", name, values, want[name])
		}
	}
	if len(request.Fields) != len(want) {
		t.Errorf("got fields %v, want exactly the expected ones", request.Fields)
	}
	request.Respond(core.Response{
		Result: core.Served,
		Body:   []byte("honey"),
		Fields: map[string][]string{"X-Grade": {"1"}, "Connection": {"close"}, "X-Odd": {"a\x01b"}},
	})
	message := client.readMessage(t)
	got, err := msgrpc.ParseResult(message.Result)
	if err != nil || message.ID != 9 || message.Fault != nil || string(got.Body) != "honey" || len(got.Fields) != 1 {
		t.Errorf("got response %+v with result %+v, error %v", message, got, err)
	}
}

// An invalid request must be answered with an error that names the violated rule, and the connection
// must remain usable.
func TestInvalidRequests(t *testing.T) {
	handler := newChannelHandler()
	front := startFront(t, Config{}, handler)
	client := dial(t, front)
	for word, change := range map[string]func(*msgrpc.Call){
		"class":               func(call *msgrpc.Call) { call.Class = "later" },
		"tenant":              func(call *msgrpc.Call) { call.Tenant = "" },
		"id":                  func(call *msgrpc.Call) { call.ID = "" },
		"ASCII":               func(call *msgrpc.Call) { call.ID = "a b" },
		"target":              func(call *msgrpc.Call) { call.Target = "no-path" },
		"host":                func(call *msgrpc.Call) { call.Target, call.Host = "/a b", "x" },
		"left_ms":             func(call *msgrpc.Call) { call.Timeout = 0 },
		"key":                 func(call *msgrpc.Call) { call.Class = "keyed" },
		"key: must not begin": func(call *msgrpc.Call) { call.Class, call.IdempotencyKey = "keyed", " \t" },
		"key: must not":       func(call *msgrpc.Call) { call.Class, call.IdempotencyKey = "keyed", "k1 " },
		"escape":              func(call *msgrpc.Call) { call.Target = "/api/%zz" },
		"host: must":          func(call *msgrpc.Call) { call.Host = "a{b}" },
		"have":                func(call *msgrpc.Call) { call.IdempotencyKey = "k" },
		"body: must be empty": func(call *msgrpc.Call) { call.Class = "read" },
		"field":               func(call *msgrpc.Call) { call.Fields = map[string][]string{"X:Y": {"1"}} },
		"control":             func(call *msgrpc.Call) { call.Fields = map[string][]string{"X": {"1\r\nY: 2"}} },
		"bytes":               func(call *msgrpc.Call) { call.Body = make([]byte, msgrpc.MaxRequestBodyBytes+1) },
	} {
		client.call(5, change)
		if got := client.expectFault(t, 5); got.Kind != msgrpc.KindRejected || !strings.Contains(got.Text, word) {
			t.Errorf("%[1]s: got error %+[2]v, want kind rejected and a text with %[1]q", word, got)
		}
	}
	client.Write(msgrpc.AppendRequestWithoutParams(nil, 6, "no_such_method"))
	if got := client.expectFault(t, 6); got.Kind != msgrpc.KindRejected {
		t.Errorf("unknown method: got error %+v, want kind rejected", got)
	}
	client.Write(msgrpc.AppendRequestWithoutParams(nil, 7, msgrpc.MethodReady))
	if ready, err := msgrpc.ParseReady(client.readMessage(t).Result); err != nil || !ready {
		t.Errorf("ready: got %v, error %v; want true", ready, err)
	}
	if len(handler.submitted) > 0 {
		t.Error("an invalid request was submitted")
	}
}

// Params that violate the encoding must be answered with an error under the msgid of their call.
func TestInvalidParams(t *testing.T) {
	handler := newChannelHandler()
	client := dial(t, startFront(t, Config{}, handler))
	for name, params := range map[string]string{
		"none": "\x90", "two": "\x92\x80\x80", "a string": "\x91\xa1x", "key a number": "\x91\x81\x07\x07",
		"key twice": "\x91\x82\xa2id\xa1x\xa2id\xa1y", "id a number": "\x91\x81\xa2id\x07",
		"left NaN":     "\x91\x81\xa7left_ms\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00",
		"left below 0": "\x91\x81\xa7left_ms\xff", "fields a list": "\x91\x81\xa6fields\x90",
	} {
		io.WriteString(client, "\x94\x00\x05\xa4call"+params)
		if fault := client.expectFault(t, 5); fault.Kind != msgrpc.KindRejected || fault.Text == "" {
			t.Errorf("%s: got error %+v, want kind rejected with a text", name, fault)
		}
	}
	if len(handler.submitted) > 0 {
		t.Error("an invalid request was submitted")
	}
}
