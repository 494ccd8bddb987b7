package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxMessageBytes is the maximum size of one message from discovery, including the white space
// before the message.
const maxMessageBytes = 4 << 20

// stream reads a response from discovery and detects when the response receives no data. The
// messages are JSON values with white space between them. They may be indented and may arrive in
// pieces of any size. Any data restarts the silence timer, except data within a message that is
// only white space: discovery continues to send empty lines after a message whose remainder was
// lost.
type stream struct {
	silenceTimer *time.Timer
	body         io.Reader
	onKeepAlive  func() // called by Read when it reads only white space between messages; may be nil
	bytesRead    int64
	messageEnd   int64 // offset of the end of the last complete message
	inMessage    bool  // part of the next message has been read
	err          error // first error: from reading the body, or because a message is too long
}

// newStream returns a stream that calls onSilence, from another goroutine, when a response has
// received no data for watchSilence.
func newStream(onSilence func()) *stream {
	s := &stream{silenceTimer: time.AfterFunc(watchSilence, onSilence)}
	s.stop()
	return s
}

// start begins to read a new response and starts the silence timer.
func (s *stream) start(body io.Reader, onKeepAlive func()) {
	*s = stream{silenceTimer: s.silenceTimer, body: body, onKeepAlive: onKeepAlive}
	s.restartSilence()
}

// stop stops the silence timer until the next start.
func (s *stream) stop() { s.silenceTimer.Stop() }

func (s *stream) restartSilence() { s.silenceTimer.Reset(watchSilence) }

// endMessage records that the decoder has read a complete message.
func (s *stream) endMessage(decoder *json.Decoder) {
	buffered, _ := io.ReadAll(decoder.Buffered()) // cannot fail: reads from memory
	s.messageEnd = decoder.InputOffset()
	s.inMessage = !isBlank(buffered)
}

// Read implements io.Reader for the JSON decoder. It reads from the response, and returns an
// error for a message that is longer than maxMessageBytes.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.body.Read(b)
	s.bytesRead += int64(n)
	if n > 0 {
		s.handleData(b[:n])
	}
	if err == nil && s.bytesRead-s.messageEnd > maxMessageBytes {
		err = fmt.Errorf("message is longer than %d bytes", maxMessageBytes)
	}
	if err != nil && s.err == nil {
		s.err = err
	}
	return n, err
}

func (s *stream) handleData(data []byte) {
	blank := isBlank(data)
	if blank && s.inMessage {
		return
	}
	s.restartSilence()
	if !blank {
		s.inMessage = true
	} else if s.onKeepAlive != nil {
		s.onKeepAlive()
	}
}

func isBlank(data []byte) bool { return len(bytes.TrimSpace(data)) == 0 }
