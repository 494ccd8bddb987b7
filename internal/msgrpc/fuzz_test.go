package msgrpc

import (
	"bytes"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// addSeeds adds valid and invalid messages to the seed corpus.
func addSeeds(f *testing.F) {
	f.Add(exampleCall().Append(nil, 1))
	f.Add((&Result{Body: []byte("x"), InFlight: 1}).Append(nil, 2))
	f.Add((&Fault{Kind: KindRefused, RetryAfter: time.Second, Text: "t"}).Append(nil, 3))
	f.Add(AppendProtocolError(AppendDrain(AppendCancel(nil, 4)), "x"))
	f.Add([]byte("\x94\x00\x01\xa4call\x91\x81\xa4body\xc6\xff\xff\xff\xff"))
	f.Add([]byte(strings.Repeat("\x91", 10000)))
	f.Add([]byte("\x94\x00\x01\xa4call\x91\x82\xa2id\xa1x\xa2id\xa1y"))
	f.Add([]byte("\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xa4call\x90"))
	f.Add([]byte("\x94\x01\x01\xd4\x01\x00\xc0\xc1"))
	f.Add([]byte{})
}

// For any input, the framer does not panic, uses limited memory and finds the same messages no matter how
// the bytes are split into reads. The msgp library reads each message as exactly one value.
func FuzzFramer(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		const maxBytes = 4 << 10
		atOnce, err := readMessages(bytes.NewReader(data), maxBytes)
		pieces, errInPieces := readMessages(iotest.OneByteReader(bytes.NewReader(data)), maxBytes)
		if !reflect.DeepEqual(atOnce, pieces) || (err == io.EOF) != (errInPieces == io.EOF) {
			t.Fatalf("single read: got %d messages, error %v; byte by byte: got %d, %v",
				len(atOnce), err, len(pieces), errInPieces)
		}
		for _, message := range atOnce {
			if rest, err := msgp.Skip(message); err != nil || len(rest) != 0 || len(message) > maxBytes {
				t.Fatalf("message of %d bytes: got %d surplus bytes, error %v", len(message), len(rest), err)
			}
		}
	})
}

// For any message, parsing does not panic. A message that was parsed, encoded and parsed again is
// unchanged.
func FuzzMapping(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		all, _ := readMessages(bytes.NewReader(data), MaxResponseBytes)
		for _, frame := range all {
			message, err := Parse(frame)
			if err != nil {
				continue
			}
			checkCall(t, message)
			checkResult(t, message)
			checkFault(t, message)
			ParseCancel(message.Params)
			ParseReady(message.Result)
		}
	})
}

// checkCall checks that a valid call is unchanged when encoded and parsed again, and that its HTTP header
// fields contain no line break or NUL, which could end a header line early.
func checkCall(t *testing.T, message Message) {
	t.Helper()
	call, err := ParseCall(message.Params)
	if err != nil {
		return
	}
	reencoded, err := Parse(call.Append(nil, message.ID))
	if err != nil {
		t.Fatal(err)
	}
	if reparsed, err := ParseCall(reencoded.Params); err != nil || !sameCall(call, reparsed) {
		t.Fatalf("call %+v: got %+v, error %v after encoding", call, reparsed, err)
	}
	for name, values := range call.HTTPFields() {
		for _, value := range append(values, name) {
			if strings.ContainsAny(value, "\r\n\x00") {
				t.Fatalf("field %q with values %q contains a line break or NUL", name, values)
			}
		}
	}
}

// checkResult checks that a valid result is unchanged when encoded and parsed again.
func checkResult(t *testing.T, message Message) {
	t.Helper()
	result, err := ParseResult(message.Result)
	if err != nil {
		return
	}
	reencoded, _ := Parse(result.Append(nil, message.ID))
	reparsed, err := ParseResult(reencoded.Result)
	if err != nil || !bytes.Equal(result.Body, reparsed.Body) || result.InFlight != reparsed.InFlight {
		t.Fatalf("result %+v: got %+v, error %v after encoding", result, reparsed, err)
	}
}

// checkFault checks that a valid fault is unchanged, except for the sanitized text, when encoded and parsed
// again, and that its text form can be parsed.
func checkFault(t *testing.T, message Message) {
	t.Helper()
	fault, err := ParseFault(message.Fault)
	if err != nil {
		return
	}
	reencoded, _ := Parse(fault.Append(nil, message.ID))
	reparsed, err := ParseFault(reencoded.Fault)
	if err != nil || reparsed.Kind != fault.Kind || reparsed.Text != sanitize(fault.Text) {
		t.Fatalf("fault %+v: got %+v, error %v after encoding", fault, reparsed, err)
	}
	reencoded, _ = Parse(fault.AppendText(nil, message.ID))
	if _, err := ParseFault(reencoded.Fault); err != nil {
		t.Fatalf("fault %+v in text form: got error %v", fault, err)
	}
}

// sameCall reports whether two calls are equal. Durations may differ by 1 µs, because they are encoded as
// floating-point numbers.
func sameCall(a, b *Call) bool {
	x, y := *a, *b
	near := func(p, q time.Duration) bool { return (p - q).Abs() <= time.Microsecond }
	if !near(x.Timeout, y.Timeout) || !near(x.ExpectedWork, y.ExpectedWork) {
		return false
	}
	x.Timeout, x.ExpectedWork, y.Timeout, y.ExpectedWork = 0, 0, 0, 0
	if len(x.Body) == 0 {
		x.Body, y.Body = nil, nil
	}
	if len(x.Fields) == 0 {
		x.Fields, y.Fields = nil, nil
	}
	return reflect.DeepEqual(x, y)
}
