package eureka

import (
	"bufio"
	"fmt"
)

// errTokenTooLong is returned when one name or value is longer than maxTokenBytes.
var errTokenTooLong = fmt.Errorf("a name or value must be at most %d bytes", maxTokenBytes)

// byteOrderMark is the UTF-8 byte order mark, which some servers send before the document.
const byteOrderMark = "\xef\xbb\xbf"

// boundedReader passes a response to a decoder. Its read methods return errTokenTooLong when more
// than maxTokenBytes are read without the end of a token, because a decoder keeps each whole token
// in memory.
type boundedReader struct {
	in         *bufio.Reader
	tokenBytes int // bytes read since the end of the previous token
}

// firstByte skips a byte order mark and white space and returns the byte after them without
// consuming it.
func (r *boundedReader) firstByte() (byte, error) {
	if mark, err := r.in.Peek(len(byteOrderMark)); err == nil && string(mark) == byteOrderMark {
		_, _ = r.in.Discard(len(mark)) // cannot fail: Peek has buffered these bytes
	}
	for {
		c, err := r.in.ReadByte()
		if err != nil {
			return 0, fmt.Errorf("response is empty or cannot be read: %w", err)
		}
		if c != ' ' && c != '\n' && c != '\r' && c != '\t' {
			return c, r.in.UnreadByte()
		}
		if r.tokenBytes++; r.tokenBytes > maxTokenBytes {
			return 0, errTokenTooLong
		}
	}
}

// resetTokenBytes starts the count for the next token. Call it when the decoder has read a whole token.
func (r *boundedReader) resetTokenBytes() { r.tokenBytes = 0 }

// Read reads from the response. It returns errTokenTooLong when the current token is too long.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.tokenBytes > maxTokenBytes {
		return 0, errTokenTooLong
	}
	n, err := r.in.Read(p)
	r.tokenBytes += n
	return n, err
}

// ReadByte reads one byte. The XML decoder calls it because boundedReader implements io.ByteReader;
// otherwise the decoder would add a buffer of its own.
func (r *boundedReader) ReadByte() (byte, error) {
	if r.tokenBytes++; r.tokenBytes > maxTokenBytes {
		return 0, errTokenTooLong
	}
	return r.in.ReadByte()
}
