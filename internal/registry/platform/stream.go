package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxMessageBytes bounds one message of discovery, with the white space before it.
const maxMessageBytes = 4 << 20

// stream reads a response of discovery and detects its silence. The messages are JSON values,
// which may be indented and arrive in any pieces, with white space between them. Any byte
// restarts the time of silence, except that within a message white space alone does not:
// discovery goes on sending empty lines after a message whose rest was lost.
type stream struct {
	silenceTimer *time.Timer
	body         io.Reader
	onKeepAlive  func() // called by Read for white space between messages; may be nil
	bytesRead    int64
	messageEnd   int64 // offset of the end of the last complete message
	inMessage    bool  // part of a further one has been read
	err          error // of the body, or that a message is too long
}

// newStream returns a stream that calls onSilence, from another goroutine, when a response has
// had no data for watchSilence.
func newStream(onSilence func()) *stream {
	s := &stream{silenceTimer: time.AfterFunc(watchSilence, onSilence)}
	s.stop()
	return s
}

// start reads a response from its beginning.
func (s *stream) start(body io.Reader, onKeepAlive func()) {
	*s = stream{silenceTimer: s.silenceTimer, body: body, onKeepAlive: onKeepAlive}
	s.restartSilence()
}

// stop ends the detection of silence until the next start.
func (s *stream) stop() { s.silenceTimer.Stop() }

func (s *stream) restartSilence() { s.silenceTimer.Reset(watchSilence) }

// endMessage notes that the decoder has read a message to its end.
func (s *stream) endMessage(decoder *json.Decoder) {
	buffered, _ := io.ReadAll(decoder.Buffered()) // from memory
	s.messageEnd = decoder.InputOffset()
	s.inMessage = !isBlank(buffered)
}

// Read reads from the response, for the JSON decoder.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.body.Read(b)
	s.bytesRead += int64(n)
	if n > 0 {
		s.noteData(b[:n])
	}
	if err == nil && s.bytesRead-s.messageEnd > maxMessageBytes {
		err = fmt.Errorf("a message of over %d bytes", maxMessageBytes)
	}
	if err != nil && s.err == nil {
		s.err = err
	}
	return n, err
}

func (s *stream) noteData(data []byte) {
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
