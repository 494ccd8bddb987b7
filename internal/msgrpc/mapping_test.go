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

func TestCallRoundTrip(t *testing.T) {
	for name, call := range map[string]*Call{
		"full":  exampleCall(),
		"least": {ID: "r", Class: "c", Timeout: time.Nanosecond * 1500, Target: "/"},
	} {
		message, err := Parse(call.Append(nil, 1<<32-1))
		if err != nil || message.Kind != Request || message.ID != 1<<32-1 || string(message.Method) != MethodCall {
			t.Fatalf("%s: %+v, %v", name, message, err)
		}
		if got, err := ParseCall(message.Params); err != nil || !reflect.DeepEqual(got, call) {
			t.Errorf("%s: %+v, %v; want %+v", name, got, err, call)
		}
	}
}

func TestResponsesRoundTrip(t *testing.T) {
	result := &Result{Fields: map[string][]string{"X": {"1"}}, Body: []byte("honey"), InFlight: 3}
	message, err := Parse(result.Append(nil, 7))
	if err != nil || message.Kind != Response || message.ID != 7 || message.Fault != nil {
		t.Fatalf("%+v, %v", message, err)
	}
	if got, err := ParseResult(message.Result); err != nil || !reflect.DeepEqual(got, result) {
		t.Errorf("%+v, %v", got, err)
	}
	fault := &Fault{Kind: KindRefused, RetryAfter: 120 * time.Millisecond, Text: "full"}
	if message, err = Parse(fault.Append(nil, 7)); err != nil || message.Fault == nil {
		t.Fatalf("%+v, %v", message, err)
	}
	if got, err := ParseFault(message.Fault); err != nil || !reflect.DeepEqual(got, fault) {
		t.Errorf("%+v, %v", got, err)
	}
	if message, err = Parse(AppendCancel(nil, 9)); err != nil || message.Kind != Notification {
		t.Fatalf("%+v, %v", message, err)
	}
	if id, err := ParseCancel(message.Params); err != nil || id != 9 {
		t.Errorf("cancel of %d, %v", id, err)
	}
}

// The bytes that docs/protocol/msgpack-rpc.md shows.
func TestExampleOfTheDocument(t *testing.T) {
	message, err := Parse([]byte("\x94\x00\xce\x00\x00\x00\x07\xa4call\x91\x84\xa2id\xa2r1" +
		"\xa7left_ms\xcb\x40\x7e\x00\x00\x00\x00\x00\x00\xa5class\xa4read\xa6tenant\xa5north"))
	if err != nil || message.ID != 7 {
		t.Fatal(message, err)
	}
	call, err := ParseCall(message.Params)
	want := &Call{ID: "r1", Timeout: 480 * time.Millisecond, Class: "read", Tenant: "north", Target: "/"}
	if err != nil || !reflect.DeepEqual(call, want) {
		t.Errorf("%+v, %v; want %+v", call, err, want)
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

// Numbers come in any format, and bytes as a text from encoders without bin.
func TestFormatsOfOthers(t *testing.T) {
	for name, timeout := range map[string][]byte{
		"fixint": {100}, "uint 8": {0xcc, 100}, "uint 64": {0xcf, 0, 0, 0, 0, 0, 0, 0, 100}, "int 16": {0xd1, 0, 100},
		"float 32": {0xca, 0x42, 0xc8, 0, 0}, "float 64": {0xcb, 0x40, 0x59, 0, 0, 0, 0, 0, 0},
	} {
		params := append([]byte("\x91\x84\xa2id\xa1r\xa5class\xa1c\xa4body\xa2{}\xa7left_ms"), timeout...)
		if call, err := ParseCall(params); err != nil || call.Timeout != 100*time.Millisecond || string(call.Body) != "{}" {
			t.Errorf("%s: %+v, %v", name, call, err)
		}
	}
	later := []byte("\x91\x85\xa2id\xa1r\xa5class\xa1c\xa7left_ms\x64\xa5later\x91\x81\x01\x02\xa5other\xc0")
	if call, err := ParseCall(later); err != nil || call.ID != "r" {
		t.Errorf("keys of a later version: %+v, %v", call, err)
	}
}
