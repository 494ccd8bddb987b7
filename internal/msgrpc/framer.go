package msgrpc

import (
	"fmt"
	"net"
	"time"
)

const (
	initialBufferBytes = 4 << 10
	// maxKeptBufferBytes is the largest buffer that a Framer keeps while the buffer is empty.
	maxKeptBufferBytes = 16 << 10
)

// Framer reads messages from a connection, one at a time. Its memory is limited by the maximum message
// size and grows only with the bytes received, not with the lengths that a message claims. A Framer must
// not be used by several goroutines concurrently.
type Framer struct {
	conn           net.Conn
	maxBytes       int
	messageTimeout time.Duration
	buffer         []byte
	start          int // start of the current message in buffer
	end            int // end of the received bytes in buffer
	scanner        scanner
}

// NewFramer returns a Framer that reads messages of at most maxBytes from conn. If a message is not
// complete within messageTimeout after its first byte, Next returns the error of the exceeded read
// deadline.
func NewFramer(conn net.Conn, maxBytes int, messageTimeout time.Duration) *Framer {
	return &Framer{conn: conn, maxBytes: maxBytes, messageTimeout: messageTimeout}
}

// Next blocks until the next message is complete and returns it. The message is valid until the next
// call. After an error, no more messages can be read from the stream. The error is io.EOF if the stream
// ended between two messages.
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

// takeMessage returns the complete message that the scanner has found, and prepares for the next one.
func (framer *Framer) takeMessage() []byte {
	message := framer.buffer[framer.start : framer.start+framer.scanner.position]
	framer.start += framer.scanner.position
	framer.scanner = scanner{}
	return message
}

// fill reads from the connection once. It returns an error only if no bytes were read.
func (framer *Framer) fill() error {
	framer.ensureSpace()
	count, err := framer.conn.Read(framer.buffer[framer.end:])
	framer.end += count
	if err == nil || count > 0 {
		return nil
	}
	if framer.Buffered() > 0 {
		return fmt.Errorf("message incomplete after %d bytes: %w", framer.Buffered(), err)
	}
	return err
}

// Buffered returns the number of bytes that were read after the last message that Next returned.
func (framer *Framer) Buffered() int { return framer.end - framer.start }

// ensureSpace provides free space in the buffer for the next read.
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
	if framer.start <= len(framer.buffer)/2 { // moving the bytes to the start would free little space
		target = make([]byte, min(2*len(framer.buffer), framer.maxBytes+initialBufferBytes))
	}
	framer.end = copy(target, framer.buffer[framer.start:framer.end])
	framer.start = 0
	framer.buffer = target
}
