package msgrpc

import (
	"fmt"
	"net"
	"time"
)

const (
	initialBufferBytes = 4 << 10
	// maxKeptBufferBytes bounds the buffer that is kept while it is empty.
	maxKeptBufferBytes = 16 << 10
)

// Framer reads messages off a connection, one at a time. Its memory is bounded by the
// largest message and grows only as bytes come. One goroutine at a time may use it.
type Framer struct {
	conn           net.Conn
	maxBytes       int
	messageTimeout time.Duration
	buffer         []byte
	start          int // of the message that is read
	end            int // of what was read
	scanner        scanner
}

// NewFramer reads messages of maxBytes at most from conn. A message has to be complete
// within messageTimeout of its first byte, or Next returns the deadline's error.
func NewFramer(conn net.Conn, maxBytes int, messageTimeout time.Duration) *Framer {
	return &Framer{conn: conn, maxBytes: maxBytes, messageTimeout: messageTimeout}
}

// Next blocks until the next message is complete and returns it; it is valid until the next
// call. After an error the stream cannot be read on. io.EOF says that it ended between
// two messages.
func (framer *Framer) Next() ([]byte, error) {
	deadlineSet := false
	for {
		complete, err := framer.scanner.advance(framer.buffer[framer.start:framer.end], framer.maxBytes)
		if err != nil {
			return nil, err
		}
		if complete {
			if deadlineSet {
				framer.conn.SetReadDeadline(time.Time{})
			}
			return framer.takeMessage(), nil
		}
		if framer.Buffered() >= framer.maxBytes {
			return nil, ErrTooLarge
		}
		if framer.Buffered() > 0 && !deadlineSet {
			deadlineSet = true
			framer.conn.SetReadDeadline(time.Now().Add(framer.messageTimeout))
		}
		if err := framer.fill(); err != nil {
			return nil, err
		}
	}
}

// takeMessage returns the message that the scanner has found.
func (framer *Framer) takeMessage() []byte {
	message := framer.buffer[framer.start : framer.start+framer.scanner.position]
	framer.start += framer.scanner.position
	framer.scanner = scanner{}
	return message
}

// fill reads once; it returns an error only where nothing was read.
func (framer *Framer) fill() error {
	framer.ensureSpace()
	count, err := framer.conn.Read(framer.buffer[framer.end:])
	framer.end += count
	if err == nil || count > 0 {
		return nil
	}
	if framer.Buffered() > 0 {
		return fmt.Errorf("message cut after %d bytes: %w", framer.Buffered(), err)
	}
	return err
}

// Buffered returns how many bytes were read after the message that Next returned last.
func (framer *Framer) Buffered() int { return framer.end - framer.start }

// ensureSpace makes space in the buffer to read into.
func (framer *Framer) ensureSpace() {
	if framer.start == framer.end {
		framer.start, framer.end = 0, 0
		if len(framer.buffer) > maxKeptBufferBytes {
			framer.buffer = nil
		}
	}
	if framer.buffer == nil {
		framer.buffer = make([]byte, initialBufferBytes)
	}
	if framer.end < len(framer.buffer) {
		return
	}
	target := framer.buffer
	if framer.start <= len(framer.buffer)/2 { // moving alone would free little
		target = make([]byte, min(2*len(framer.buffer), framer.maxBytes+initialBufferBytes))
	}
	framer.end = copy(target, framer.buffer[framer.start:framer.end])
	framer.start = 0
	framer.buffer = target
}
