package msgrpc

import (
	"bytes"
	"errors"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// stream is a connection that brings what a reader does.
type stream struct {
	net.Conn
	io.Reader
}

func (s stream) Read(b []byte) (int, error) { return s.Reader.Read(b) }

func (stream) SetReadDeadline(time.Time) error { return nil }

// frames reads all messages of a text that comes by way of reader.
func frames(r io.Reader, most int) ([][]byte, error) {
	f := NewFramer(stream{Reader: r}, most, time.Second)
	var all [][]byte
	for {
		m, err := f.Next()
		if err != nil {
			return all, err
		}
		all = append(all, bytes.Clone(m))
	}
}

func exampleCall() *Call {
	return &Call{
		ID: "r1", Class: "keyed", Tenant: "north", IdempotencyKey: "k", Timeout: 480 * time.Millisecond, ClientRetry: true, ExpectedWork: 1500 * time.Microsecond,
		AffinityKey: "hive-7", Target: "/a?b=c", Host: "h", Fields: map[string][]string{"X-A": {"1"}, "X-B": {"1", "2"}, "X-C": {}}, Body: []byte("{}"),
	}
}

func TestCallRoundTrip(t *testing.T) {
	for name, c := range map[string]*Call{"full": exampleCall(), "least": {ID: "r", Class: "c", Timeout: time.Nanosecond * 1500, Target: "/"}} {
		m, err := Parse(c.Append(nil, 1<<32-1))
		if err != nil || m.Kind != Request || m.ID != 1<<32-1 || string(m.Method) != MethodCall {
			t.Fatalf("%s: %+v, %v", name, m, err)
		}
		if got, err := ParseCall(m.Params); err != nil || !reflect.DeepEqual(got, c) {
			t.Errorf("%s: %+v, %v; want %+v", name, got, err, c)
		}
	}
}

func TestAnswersRoundTrip(t *testing.T) {
	r := &Result{Fields: map[string][]string{"X": {"1"}}, Body: []byte("honey"), InFlight: 3}
	m, err := Parse(r.Append(nil, 7))
	if err != nil || m.Kind != Response || m.ID != 7 || m.Fault != nil {
		t.Fatalf("%+v, %v", m, err)
	}
	if got, err := ParseResult(m.Result); err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("%+v, %v", got, err)
	}
	f := &Fault{Kind: KindRefused, RetryAfter: 120 * time.Millisecond, Text: "full"}
	if m, err = Parse(f.Append(nil, 7)); err != nil || m.Fault == nil {
		t.Fatalf("%+v, %v", m, err)
	}
	if got, err := ParseFault(m.Fault); err != nil || !reflect.DeepEqual(got, f) {
		t.Errorf("%+v, %v", got, err)
	}
	if m, err = Parse(AppendCancel(nil, 9)); err != nil || m.Kind != Notification {
		t.Fatalf("%+v, %v", m, err)
	}
	if id, err := ParseCancel(m.Params); err != nil || id != 9 {
		t.Errorf("cancel of %d, %v", id, err)
	}
}

// The bytes that docs/protocol/msgpack-rpc.md shows.
func TestExampleOfTheDocument(t *testing.T) {
	m, err := Parse([]byte("\x94\x00\xce\x00\x00\x00\x07\xa4call\x91\x84\xa2id\xa2r1\xa7left_ms\xcb\x40\x7e\x00\x00\x00\x00\x00\x00\xa5class\xa4read\xa6tenant\xa5north"))
	if err != nil || m.ID != 7 {
		t.Fatal(m, err)
	}
	c, err := ParseCall(m.Params)
	if err != nil || c.ID != "r1" || c.Timeout != 480*time.Millisecond || c.Class != "read" || c.Tenant != "north" || c.Target != "/" {
		t.Errorf("%+v, %v", c, err)
	}
	m, err = Parse([]byte("\x94\x01\xce\x00\x00\x00\x07\xc0\x81\xa4body\xc4\x02ok"))
	if r, err2 := ParseResult(m.Result); err != nil || err2 != nil || string(r.Body) != "ok" {
		t.Error(r, err, err2)
	}
	m, err = Parse([]byte("\x94\x01\xce\x00\x00\x00\x07\x82\xa4kind\xa7refused\xa8pause_ms\xcb\x40\x5e\x00\x00\x00\x00\x00\x00\xc0"))
	if f, err2 := ParseFault(m.Fault); err != nil || err2 != nil || f.Kind != KindRefused || f.RetryAfter != 120*time.Millisecond {
		t.Error(f, err, err2)
	}
}

// Numbers come in any format, and bytes as a text from encoders without bin.
func TestFormatsOfOthers(t *testing.T) {
	for name, left := range map[string][]byte{
		"fixint": {100}, "uint 8": {0xcc, 100}, "uint 64": {0xcf, 0, 0, 0, 0, 0, 0, 0, 100}, "int 16": {0xd1, 0, 100},
		"float 32": {0xca, 0x42, 0xc8, 0, 0}, "float 64": {0xcb, 0x40, 0x59, 0, 0, 0, 0, 0, 0},
	} {
		b := append([]byte("\x91\x84\xa2id\xa1r\xa5class\xa1c\xa4body\xa2{}\xa7left_ms"), left...)
		if c, err := ParseCall(b); err != nil || c.Timeout != 100*time.Millisecond || string(c.Body) != "{}" {
			t.Errorf("%s: %+v, %v", name, c, err)
		}
	}
	later := []byte("\x91\x85\xa2id\xa1r\xa5class\xa1c\xa7left_ms\x64\xa5later\x91\x81\x01\x02\xa5other\xc0")
	if c, err := ParseCall(later); err != nil || c.ID != "r" {
		t.Errorf("keys of a later version: %+v, %v", c, err)
	}
}

// However the bytes come, the same messages are found.
func TestFramerTakesPieces(t *testing.T) {
	var text []byte
	var want int
	for i := range 50 {
		c := exampleCall()
		c.Body = make([]byte, i*1000)
		text = c.Append(text, uint32(i))
		text = AppendDrain(AppendCancel(text, 3))
		want += 3
	}
	for name, r := range map[string]io.Reader{
		"whole": bytes.NewReader(text), "bytes": iotest.OneByteReader(bytes.NewReader(text)), "halves": iotest.HalfReader(bytes.NewReader(text)),
		"with the error": iotest.DataErrReader(bytes.NewReader(text)),
	} {
		all, err := frames(r, MaxRequestBytes)
		if err != io.EOF || len(all) != want || !bytes.Equal(bytes.Join(all, nil), text) {
			t.Errorf("%s: %d messages, %v", name, len(all), err)
		}
	}
	if _, err := frames(bytes.NewReader(text[:len(text)-1]), MaxRequestBytes); err == io.EOF || !errors.Is(err, io.EOF) {
		t.Errorf("a cut message: %v", err)
	}
}

func TestFramerBounds(t *testing.T) {
	const most = 10 << 10
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"4 GB bin":           {"\x91\xc6\xff\xff\xff\xff", ErrTooLarge},
		"4 GB str":           {"\x91\xdb\xff\xff\xff\xff", ErrTooLarge},
		"4 G values":         {"\xdd\xff\xff\xff\xff", ErrTooLarge},
		"4 G pairs":          {"\x91\xdf\xff\xff\xff\xff", ErrTooLarge},
		"one byte too large": {"\x91\xc5\x27\xfd" + strings.Repeat("x", 0x27fd), ErrTooLarge},
		"many small":         {"\xdc\x27\xfe" + strings.Repeat("\xa1x", 0x27fe), ErrTooLarge},
		"17 deep":            {strings.Repeat("\x91", 17) + "\x00", ErrTooDeep},
		"ext 8":              {"\x91\xc7\x01\x01x", ErrExtension},
		"fixext":             {"\x91\xd8", ErrExtension},
		"reserved":           {"\x91\xc1", ErrReserved},
		"a map":              {"\x80", ErrNotArray},
		"a number":           {"\x01", ErrNotArray},
		"16 deep":            {strings.Repeat("\x91", 16) + "\x00", io.EOF},
		"just right":         {"\x91\xc5\x27\xfc" + strings.Repeat("x", 0x27fc), io.EOF},
		"empty":              {"\x90", io.EOF},
	} {
		f := NewFramer(stream{Reader: strings.NewReader(c.text)}, most, time.Second)
		var err error
		for err == nil {
			_, err = f.Next()
		}
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		if len(f.buffer) > 2*most+initialBufferBytes {
			t.Errorf("%s: a buffer of %d bytes", name, len(f.buffer))
		}
	}
}

// A buffer that one large message needed is let go.
func TestFramerLetsLargeBuffersGo(t *testing.T) {
	c := exampleCall()
	c.Body = make([]byte, MaxRequestBodyBytes)
	r, w := io.Pipe()
	go func() {
		w.Write(c.Append(nil, 1))
		w.Write(AppendDrain(nil))
		w.Close()
	}()
	f := NewFramer(stream{Reader: r}, MaxRequestBytes, time.Second)
	for range 2 {
		if _, err := f.Next(); err != nil {
			t.Fatal(err)
		}
	}
	if len(f.buffer) > maxKeptBufferBytes {
		t.Errorf("%d bytes are kept", len(f.buffer))
	}
}

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
		const most = 4 << 10
		whole, err := frames(bytes.NewReader(text), most)
		pieces, err2 := frames(iotest.OneByteReader(bytes.NewReader(text)), most)
		if !reflect.DeepEqual(whole, pieces) || (err == io.EOF) != (err2 == io.EOF) {
			t.Fatalf("%d messages, %v; in pieces %d, %v", len(whole), err, len(pieces), err2)
		}
		for _, m := range whole {
			if rest, err := msgp.Skip(m); err != nil || len(rest) != 0 || len(m) > most {
				t.Fatalf("a message of %d bytes: %d too many, %v", len(m), len(rest), err)
			}
		}
	})
}

// Any message: no panic, and what is read is written and read again the same.
func FuzzMapping(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		all, _ := frames(bytes.NewReader(text), MaxResponseBytes)
		for _, frame := range all {
			m, err := Parse(frame)
			if err != nil {
				continue
			}
			if c, err := ParseCall(m.Params); err == nil {
				again, err := Parse(c.Append(nil, m.ID))
				if err != nil {
					t.Fatal(err)
				}
				if c2, err := ParseCall(again.Params); err != nil || !sameCall(c, c2) {
					t.Fatalf("%+v and then %+v, %v", c, c2, err)
				}
				for name, values := range c.HTTPFields() {
					for _, v := range append(values, name) {
						if strings.ContainsAny(v, "\r\n\x00") {
							t.Fatalf("field %q %q could end a header's line", name, values)
						}
					}
				}
			}
			if r, err := ParseResult(m.Result); err == nil {
				again, _ := Parse(r.Append(nil, m.ID))
				if r2, err := ParseResult(again.Result); err != nil || !bytes.Equal(r.Body, r2.Body) || r.InFlight != r2.InFlight {
					t.Fatalf("%+v and then %+v, %v", r, r2, err)
				}
			}
			if fault, err := ParseFault(m.Fault); err == nil {
				again, _ := Parse(fault.Append(nil, m.ID))
				if f2, err := ParseFault(again.Fault); err != nil || f2.Kind != fault.Kind || f2.Text != sanitize(fault.Text) {
					t.Fatalf("%+v and then %+v, %v", fault, f2, err)
				}
				again, _ = Parse(fault.AppendText(nil, m.ID))
				if _, err := ParseFault(again.Fault); err != nil {
					t.Fatalf("%+v as a text: %v", fault, err)
				}
			}
			ParseCancel(m.Params)
			ParseReady(m.Result)
		}
	})
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
