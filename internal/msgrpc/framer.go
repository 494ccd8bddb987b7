package msgrpc

import (
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	initialBufferBytes = 4 << 10
	// maxKeptBufferBytes is the largest buffer that a Framer keeps while the buffer is empty.
	maxKeptBufferBytes = 16 << 10
	// keptPrefixBytes is how much of a message remains that Reserve has refused memory for. It contains the msgid.
	keptPrefixBytes = 64
)

// ErrDiscarded is the error of Framer.Next for a message that is complete, but of which only the first bytes were kept because
// Framer.Reserve has refused memory for it. The next message can be read.
var ErrDiscarded = errors.New("no memory for the message")

// Framer reads messages from a connection, one at a time. Its memory is limited by the maximum message
// size and grows only with the bytes received, not with the lengths that a message claims. A Framer must
// not be used by several goroutines concurrently.
type Framer struct {
	// Reserve, if set, is called before the size of the buffer changes to a number of bytes. If it returns false, the buffer
	// does not grow and the message is discarded. The result does not matter if the buffer shrinks. Reserve may block.
	Reserve func(bufferBytes int) bool

	conn           net.Conn
	maxBytes       int
	messageTimeout time.Duration
	buffer         []byte
	start          int // start of the current message in buffer
	end            int // end of the received bytes in buffer
	scanner        scanner
	discarding     bool // Reserve has refused memory for the current message
	discarded      int  // number of bytes of the current message that are no longer in buffer
}

// NewFramer returns a Framer that reads messages of at most maxBytes from conn. If a message is not
// complete within messageTimeout after its first byte, Next returns the error of the exceeded read
// deadline.
func NewFramer(conn net.Conn, maxBytes int, messageTimeout time.Duration) *Framer {
	return &Framer{conn: conn, maxBytes: maxBytes, messageTimeout: messageTimeout}
}

// Next blocks until the next message is complete and returns it. The message is valid until the next
// call. If the error is ErrDiscarded, only the first bytes of the message are returned. After any other error, no more
// messages can be read from the stream. The error is io.EOF if the stream ended between two messages.
func (framer *Framer) Next() ([]byte, error) {
	deadlineSet := false
	for {
		complete, err := framer.scanner.advance(framer.buffer[framer.start:framer.end], framer.maxBytes-framer.discarded)
		if err != nil {
			return nil, err
		}
		if complete {
			if deadlineSet {
				framer.conn.SetReadDeadline(time.Time{})
			}
			return framer.takeMessage()
		}
		if framer.Buffered()+framer.discarded >= framer.maxBytes {
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

// takeMessage returns the complete message that the scanner has found, and prepares for the next one. The error is nil or
// ErrDiscarded.
func (framer *Framer) takeMessage() (message []byte, err error) {
	message = framer.buffer[framer.start : framer.start+framer.scanner.position]
	if framer.discarding {
		err = ErrDiscarded
	}
	framer.start += framer.scanner.position
	framer.scanner = scanner{}
	framer.discarding, framer.discarded = false, 0
	return message, err
}

// discard removes the scanned bytes of the current message from the buffer, except for its first keptPrefixBytes. The current
// message begins at the start of the buffer.
func (framer *Framer) discard() {
	count := max(0, framer.scanner.position-keptPrefixBytes)
	copy(framer.buffer[framer.scanner.position-count:], framer.buffer[framer.scanner.position:framer.end])
	framer.end -= count
	framer.scanner.position -= count
	framer.discarded += count
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
		framer.reserve(initialBufferBytes)
		framer.buffer = make([]byte, initialBufferBytes)
	}
	if framer.end < len(framer.buffer) {
		return
	}
	target := framer.buffer
	if framer.start <= len(framer.buffer)/2 { // moving the bytes to the start would free little space
		target = framer.grow()
	}
	framer.end = copy(target, framer.buffer[framer.start:framer.end])
	framer.start = 0
	framer.buffer = target
	if framer.discarding {
		framer.discard()
	}
}

// grow returns a larger buffer. Without memory it returns the current one; the message is then discarded if the buffer has no space
// before it.
func (framer *Framer) grow() []byte {
	size := min(2*len(framer.buffer), framer.maxBytes+initialBufferBytes)
	if framer.discarding || !framer.reserve(size) {
		framer.discarding = framer.discarding || framer.start == 0
		return framer.buffer
	}
	return make([]byte, size)
}

func (framer *Framer) reserve(bufferBytes int) bool {
	return framer.Reserve == nil || framer.Reserve(bufferBytes)
}
