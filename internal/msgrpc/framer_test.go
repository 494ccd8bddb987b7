package msgrpc

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// readerConn is a connection whose input comes from a reader.
type readerConn struct {
	net.Conn
	io.Reader
}

func (conn readerConn) Read(b []byte) (int, error) { return conn.Reader.Read(b) }

func (readerConn) SetReadDeadline(time.Time) error { return nil }

// readMessages reads all messages from reader. It returns the error that ended the reading.
func readMessages(reader io.Reader, maxBytes int) ([][]byte, error) {
	framer := NewFramer(readerConn{Reader: reader}, maxBytes, time.Second)
	var all [][]byte
	for {
		message, err := framer.Next()
		if err != nil {
			return all, err
		}
		all = append(all, bytes.Clone(message))
	}
}

// The framer finds the same messages no matter how the bytes are split into reads.
func TestFramerReadsMessagesInPieces(t *testing.T) {
	var encoded []byte
	var want int
	for i := range 50 {
		call := exampleCall()
		call.Body = make([]byte, i*1000)
		encoded = call.Append(encoded, uint32(i))
		encoded = AppendDrain(AppendCancel(encoded, 3))
		want += 3
	}
	for name, reader := range map[string]io.Reader{
		"single read":    bytes.NewReader(encoded),
		"bytes":          iotest.OneByteReader(bytes.NewReader(encoded)),
		"halves":         iotest.HalfReader(bytes.NewReader(encoded)),
		"with the error": iotest.DataErrReader(bytes.NewReader(encoded)),
	} {
		all, err := readMessages(reader, MaxRequestBytes)
		if err != io.EOF || len(all) != want || !bytes.Equal(bytes.Join(all, nil), encoded) {
			t.Errorf("%s: got %d messages, error %v; want all messages unchanged and EOF", name, len(all), err)
		}
	}
	if _, err := readMessages(bytes.NewReader(encoded[:len(encoded)-1]), MaxRequestBytes); err == io.EOF || !errors.Is(err, io.EOF) {
		t.Errorf("truncated message: got error %v, want one that wraps io.EOF", err)
	}
}

// A message that exceeds a limit or is invalid ends the reading with an error, and does not make the
// buffer grow beyond its limit.
func TestFramerBounds(t *testing.T) {
	const maxBytes = 10 << 10
	for name, test := range map[string]struct {
		text string
		want error
	}{
		"4 GB bin":           {"\x91\xc6\xff\xff\xff\xff", ErrTooLarge},
		"4 GB str":           {"\x91\xdb\xff\xff\xff\xff", ErrTooLarge},
		"4 G elements":       {"\xdd\xff\xff\xff\xff", ErrTooLarge},
		"4 G pairs":          {"\x91\xdf\xff\xff\xff\xff", ErrTooLarge},
		"one byte too large": {"\x91\xc5\x27\xfd" + strings.Repeat("x", 0x27fd), ErrTooLarge},
		"many small values":  {"\xdc\x27\xfe" + strings.Repeat("\xa1x", 0x27fe), ErrTooLarge},
		"nested 17 deep":     {strings.Repeat("\x91", 17) + "\x00", ErrTooDeep},
		"ext 8":              {"\x91\xc7\x01\x01x", ErrExtension},
		"fixext":             {"\x91\xd8", ErrExtension},
		"reserved":           {"\x91\xc1", ErrReserved},
		"a map":              {"\x80", ErrNotArray},
		"a number":           {"\x01", ErrNotArray},
		"nested 16 deep":     {strings.Repeat("\x91", 16) + "\x00", io.EOF},
		"maximum size":       {"\x91\xc5\x27\xfc" + strings.Repeat("x", 0x27fc), io.EOF},
		"empty":              {"\x90", io.EOF},
	} {
		framer := NewFramer(readerConn{Reader: strings.NewReader(test.text)}, maxBytes, time.Second)
		var err error
		for err == nil {
			_, err = framer.Next()
		}
		if !errors.Is(err, test.want) {
			t.Errorf("%s: got error %v, want %v", name, err, test.want)
		}
		if len(framer.buffer) > 2*maxBytes+initialBufferBytes {
			t.Errorf("%s: got a buffer of %d bytes, want at most 2*maxBytes+initialBufferBytes", name, len(framer.buffer))
		}
	}
}

// The framer releases a buffer that has grown for one large message.
func TestFramerReleasesLargeBuffers(t *testing.T) {
	call := exampleCall()
	call.Body = make([]byte, MaxRequestBodyBytes)
	reader, writer := io.Pipe()
	go func() {
		writer.Write(call.Append(nil, 1))
		writer.Write(AppendDrain(nil))
		writer.Close()
	}()
	framer := NewFramer(readerConn{Reader: reader}, MaxRequestBytes, time.Second)
	for range 2 {
		if _, err := framer.Next(); err != nil {
			t.Fatal(err)
		}
	}
	if len(framer.buffer) > maxKeptBufferBytes {
		t.Errorf("got a buffer of %d bytes, want at most maxKeptBufferBytes", len(framer.buffer))
	}
}

// Guards against a stream that is lost, or a message that is taken for another, when a message finds no memory: it is discarded, its
// msgid can still be parsed, and all other messages are unchanged, no matter how the bytes are split into reads.
func TestFramerDiscardsMessagesWithoutMemory(t *testing.T) {
	var encoded []byte
	var want []string
	for i := range 40 {
		call := exampleCall()
		call.Body = bytes.Repeat([]byte{byte(i)}, i*1500)
		encoded = AppendCancel(call.Append(encoded, uint32(i)), 3)
		size := len(call.Append(nil, uint32(i)))
		if size > 2*initialBufferBytes {
			want = append(want, "discarded "+strconv.Itoa(i), "whole")
		} else {
			want = append(want, "whole", "whole")
		}
	}
	for name, reader := range map[string]io.Reader{
		"single read": bytes.NewReader(encoded),
		"bytes":       iotest.OneByteReader(bytes.NewReader(encoded)),
		"halves":      iotest.HalfReader(bytes.NewReader(encoded)),
	} {
		framer := NewFramer(readerConn{Reader: reader}, MaxRequestBytes, time.Second)
		framer.Reserve = func(size int) bool { return size <= 2*initialBufferBytes }
		for i, kind := range want {
			frame, err := framer.Next()
			got := "whole"
			if errors.Is(err, ErrDiscarded) {
				id, _ := ParseRequestID(frame)
				got = "discarded " + strconv.Itoa(int(id))
			} else if _, parseErr := Parse(frame); err != nil || parseErr != nil {
				t.Fatalf("%s: message %d: got errors %v and %v", name, i, err, parseErr)
			}
			if got != kind {
				t.Errorf("%s: message %d: got %s, want %s", name, i, got, kind)
			}
			if len(framer.buffer) > 2*initialBufferBytes {
				t.Fatalf("%s: message %d: got a buffer of %d bytes", name, i, len(framer.buffer))
			}
		}
		if _, err := framer.Next(); err != io.EOF {
			t.Errorf("%s: got error %v at the end, want EOF", name, err)
		}
	}
}
