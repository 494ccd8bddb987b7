package msgrpc

import (
	"reflect"
	"testing"
	"time"
)

func exampleCall() *Call {
	return &Call{
		ID:             "r1",
		Class:          "keyed",
		Tenant:         "north",
		IdempotencyKey: "k",
		Timeout:        480 * time.Millisecond,
		ClientRetry:    true,
		ExpectedWork:   1500 * time.Microsecond,
		AffinityKey:    "hive-7",
		Target:         "/a?b=c",
		Host:           "h",
		Fields:         map[string][]string{"X-A": {"1"}, "X-B": {"1", "2"}, "X-C": {}},
		Body:           []byte("{}"),
	}
}

// A call is unchanged when it is encoded and parsed again.
func TestCallRoundTrip(t *testing.T) {
	for name, call := range map[string]*Call{
		"full":  exampleCall(),
		"least": {ID: "r", Class: "c", Timeout: time.Nanosecond * 1500, Target: "/"},
	} {
		message, err := Parse(call.Append(nil, 1<<32-1))
		if err != nil || message.Type != Request || message.ID != 1<<32-1 || string(message.Method) != MethodCall {
			t.Fatalf("%s: got message %+v, error %v; want a request of the method call", name, message, err)
		}
		if got, err := ParseCall(message.Params); err != nil || !reflect.DeepEqual(got, call) {
			t.Errorf("%s: got %+v, error %v; want %+v", name, got, err, call)
		}
	}
}

// A result, a fault and a cancel notification are unchanged when they are encoded and parsed again.
func TestResponsesRoundTrip(t *testing.T) {
	result := &Result{Fields: map[string][]string{"X": {"1"}}, Body: []byte("honey"), InFlight: 3}
	message, err := Parse(result.Append(nil, 7))
	if err != nil || message.Type != Response || message.ID != 7 || message.Fault != nil {
		t.Fatalf("got message %+v, error %v; want a response with a result", message, err)
	}
	if got, err := ParseResult(message.Result); err != nil || !reflect.DeepEqual(got, result) {
		t.Errorf("got %+v, error %v; want the encoded result", got, err)
	}
	fault := &Fault{Kind: KindRefused, RetryAfter: 120 * time.Millisecond, Text: "full"}
	if message, err = Parse(fault.Append(nil, 7)); err != nil || message.Fault == nil {
		t.Fatalf("got message %+v, error %v; want a response with a fault", message, err)
	}
	if got, err := ParseFault(message.Fault); err != nil || !reflect.DeepEqual(got, fault) {
		t.Errorf("got %+v, error %v; want the encoded fault", got, err)
	}
	if message, err = Parse(AppendCancel(nil, 9)); err != nil || message.Type != Notification {
		t.Fatalf("got message %+v, error %v; want a notification", message, err)
	}
	if id, err := ParseCancel(message.Params); err != nil || id != 9 {
		t.Errorf("cancel: got id %d, error %v; want id 9", id, err)
	}
}

// The example messages in docs/protocol/msgpack-rpc.md are parsed as documented.
func TestExamplesOfTheProtocolDocument(t *testing.T) {
	message, err := Parse([]byte("\x94\x00\xce\x00\x00\x00\x07\xa4call\x91\x84\xa2id\xa2r1" +
		"\xa7left_ms\xcb\x40\x7e\x00\x00\x00\x00\x00\x00\xa5class\xa4read\xa6tenant\xa5north"))
	if err != nil || message.ID != 7 {
		t.Fatal(message, err)
	}
	call, err := ParseCall(message.Params)
	want := &Call{ID: "r1", Timeout: 480 * time.Millisecond, Class: "read", Tenant: "north", Target: "/"}
	if err != nil || !reflect.DeepEqual(call, want) {
		t.Errorf("got %+v, error %v; want %+v", call, err, want)
	}
	message, err = Parse([]byte("\x94\x01\xce\x00\x00\x00\x07\xc0\x81\xa4body\xc4\x02ok"))
	if result, err2 := ParseResult(message.Result); err != nil || err2 != nil || string(result.Body) != "ok" {
		t.Error(result, err, err2)
	}
	message, err = Parse([]byte("\x94\x01\xce\x00\x00\x00\x07\x82\xa4kind\xa7refused" +
		"\xa8pause_ms\xcb\x40\x5e\x00\x00\x00\x00\x00\x00\xc0"))
	wantFault := Fault{Kind: KindRefused, RetryAfter: 120 * time.Millisecond}
	if fault, err2 := ParseFault(message.Fault); err != nil || err2 != nil || *fault != wantFault {
		t.Error(fault, err, err2)
	}
}

// Other encoders may use any number format, and encode bytes as a string if they have no bin type. Unknown
// keys of later versions are ignored.
func TestParseCallAcceptsOtherEncodings(t *testing.T) {
	for name, timeout := range map[string][]byte{
		"fixint": {100}, "uint 8": {0xcc, 100}, "uint 64": {0xcf, 0, 0, 0, 0, 0, 0, 0, 100}, "int 16": {0xd1, 0, 100},
		"float 32": {0xca, 0x42, 0xc8, 0, 0}, "float 64": {0xcb, 0x40, 0x59, 0, 0, 0, 0, 0, 0},
	} {
		params := append([]byte("\x91\x84\xa2id\xa1r\xa5class\xa1c\xa4body\xa2{}\xa7left_ms"), timeout...)
		if call, err := ParseCall(params); err != nil || call.Timeout != 100*time.Millisecond || string(call.Body) != "{}" {
			t.Errorf("%s: got %+v, error %v; want timeout 100 ms and body {}", name, call, err)
		}
	}
	later := []byte("\x91\x85\xa2id\xa1r\xa5class\xa1c\xa7left_ms\x64\xa5later\x91\x81\x01\x02\xa5other\xc0")
	if call, err := ParseCall(later); err != nil || call.ID != "r" {
		t.Errorf("keys of a later version: got %+v, error %v; want id r", call, err)
	}
}
