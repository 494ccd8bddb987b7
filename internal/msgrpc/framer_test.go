package msgrpc

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// stream is a connection that is read from a reader.
type stream struct {
	net.Conn
	io.Reader
}

func (s stream) Read(b []byte) (int, error) { return s.Reader.Read(b) }

func (stream) SetReadDeadline(time.Time) error { return nil }

// frames reads all messages that come from reader.
func frames(reader io.Reader, maxBytes int) ([][]byte, error) {
	framer := NewFramer(stream{Reader: reader}, maxBytes, time.Second)
	var all [][]byte
	for {
		message, err := framer.Next()
		if err != nil {
			return all, err
		}
		all = append(all, bytes.Clone(message))
	}
}

// However the bytes come, the same messages are found.
func TestFramerTakesPieces(t *testing.T) {
	var text []byte
	var want int
	for i := range 50 {
		call := exampleCall()
		call.Body = make([]byte, i*1000)
		text = call.Append(text, uint32(i))
		text = AppendDrain(AppendCancel(text, 3))
		want += 3
	}
	for name, reader := range map[string]io.Reader{
		"at once":        bytes.NewReader(text),
		"bytes":          iotest.OneByteReader(bytes.NewReader(text)),
		"halves":         iotest.HalfReader(bytes.NewReader(text)),
		"with the error": iotest.DataErrReader(bytes.NewReader(text)),
	} {
		all, err := frames(reader, MaxRequestBytes)
		if err != io.EOF || len(all) != want || !bytes.Equal(bytes.Join(all, nil), text) {
			t.Errorf("%s: %d messages, %v", name, len(all), err)
		}
	}
	if _, err := frames(bytes.NewReader(text[:len(text)-1]), MaxRequestBytes); err == io.EOF || !errors.Is(err, io.EOF) {
		t.Errorf("a cut message: %v", err)
	}
}

func TestFramerBounds(t *testing.T) {
	const maxBytes = 10 << 10
	for name, test := range map[string]struct {
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
		framer := NewFramer(stream{Reader: strings.NewReader(test.text)}, maxBytes, time.Second)
		var err error
		for err == nil {
			_, err = framer.Next()
		}
		if !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
		if len(framer.buffer) > 2*maxBytes+initialBufferBytes {
			t.Errorf("%s: a buffer of %d bytes", name, len(framer.buffer))
		}
	}
}

// A buffer that one large message needed is not kept.
func TestFramerReleasesLargeBuffers(t *testing.T) {
	call := exampleCall()
	call.Body = make([]byte, MaxRequestBodyBytes)
	reader, writer := io.Pipe()
	go func() {
		writer.Write(call.Append(nil, 1))
		writer.Write(AppendDrain(nil))
		writer.Close()
	}()
	framer := NewFramer(stream{Reader: reader}, MaxRequestBytes, time.Second)
	for range 2 {
		if _, err := framer.Next(); err != nil {
			t.Fatal(err)
		}
	}
	if len(framer.buffer) > maxKeptBufferBytes {
		t.Errorf("%d bytes are kept", len(framer.buffer))
	}
}
