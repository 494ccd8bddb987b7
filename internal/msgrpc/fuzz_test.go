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

func seeds(f *testing.F) {
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

// Any bytes: no panic, bounded memory, the same messages in whatever pieces,
// and each of them what the library takes for one value.
func FuzzFramer(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		const maxBytes = 4 << 10
		atOnce, err := frames(bytes.NewReader(text), maxBytes)
		pieces, errInPieces := frames(iotest.OneByteReader(bytes.NewReader(text)), maxBytes)
		if !reflect.DeepEqual(atOnce, pieces) || (err == io.EOF) != (errInPieces == io.EOF) {
			t.Fatalf("%d messages, %v; in pieces %d, %v", len(atOnce), err, len(pieces), errInPieces)
		}
		for _, message := range atOnce {
			if rest, err := msgp.Skip(message); err != nil || len(rest) != 0 || len(message) > maxBytes {
				t.Fatalf("a message of %d bytes: %d too many, %v", len(message), len(rest), err)
			}
		}
	})
}

// Any message: no panic, and what is parsed is written and parsed again the same.
func FuzzMapping(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		all, _ := frames(bytes.NewReader(text), MaxResponseBytes)
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

func checkCall(t *testing.T, message Message) {
	t.Helper()
	call, err := ParseCall(message.Params)
	if err != nil {
		return
	}
	again, err := Parse(call.Append(nil, message.ID))
	if err != nil {
		t.Fatal(err)
	}
	if reparsed, err := ParseCall(again.Params); err != nil || !sameCall(call, reparsed) {
		t.Fatalf("%+v and then %+v, %v", call, reparsed, err)
	}
	for name, values := range call.HTTPFields() {
		for _, value := range append(values, name) {
			if strings.ContainsAny(value, "\r\n\x00") {
				t.Fatalf("field %q %q could end a header's line", name, values)
			}
		}
	}
}

func checkResult(t *testing.T, message Message) {
	t.Helper()
	result, err := ParseResult(message.Result)
	if err != nil {
		return
	}
	again, _ := Parse(result.Append(nil, message.ID))
	reparsed, err := ParseResult(again.Result)
	if err != nil || !bytes.Equal(result.Body, reparsed.Body) || result.InFlight != reparsed.InFlight {
		t.Fatalf("%+v and then %+v, %v", result, reparsed, err)
	}
}

func checkFault(t *testing.T, message Message) {
	t.Helper()
	fault, err := ParseFault(message.Fault)
	if err != nil {
		return
	}
	again, _ := Parse(fault.Append(nil, message.ID))
	reparsed, err := ParseFault(again.Fault)
	if err != nil || reparsed.Kind != fault.Kind || reparsed.Text != sanitize(fault.Text) {
		t.Fatalf("%+v and then %+v, %v", fault, reparsed, err)
	}
	again, _ = Parse(fault.AppendText(nil, message.ID))
	if _, err := ParseFault(again.Fault); err != nil {
		t.Fatalf("%+v as a text: %v", fault, err)
	}
}

// sameCall allows for what a float of milliseconds cannot hold.
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
