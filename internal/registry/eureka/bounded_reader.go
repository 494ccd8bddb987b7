package eureka

import (
	"bufio"
	"fmt"
)

// errTokenTooLong is the error for more than maxTokenBytes in one name or value.
var errTokenTooLong = fmt.Errorf("more than %d bytes in one value", maxTokenBytes)

const byteOrderMark = "\xef\xbb\xbf"

// boundedReader reads a response for a decoder and fails where more than maxTokenBytes come
// without the end of a token: a decoder holds each token in memory.
type boundedReader struct {
	in         *bufio.Reader
	tokenBytes int // bytes
}

// firstByte skips a byte order mark and white space and returns the byte after them, which is
// left to be read.
func (r *boundedReader) firstByte() (byte, error) {
	if mark, err := r.in.Peek(len(byteOrderMark)); err == nil && string(mark) == byteOrderMark {
		_, _ = r.in.Discard(len(mark)) // buffered by Peek
	}
	for {
		c, err := r.in.ReadByte()
		if err != nil {
			return 0, fmt.Errorf("it is empty: %w", err)
		}
		if c != ' ' && c != '\n' && c != '\r' && c != '\t' {
			return c, r.in.UnreadByte()
		}
		if r.tokenBytes++; r.tokenBytes > maxTokenBytes {
			return 0, errTokenTooLong
		}
	}
}

// resetTokenBytes notes that the decoder has read a token to its end.
func (r *boundedReader) resetTokenBytes() { r.tokenBytes = 0 }

// Read reads from the response.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.tokenBytes > maxTokenBytes {
		return 0, errTokenTooLong
	}
	n, err := r.in.Read(p)
	r.tokenBytes += n
	return n, err
}

// ReadByte reads a byte. The XML decoder uses it instead of a buffer of its own.
func (r *boundedReader) ReadByte() (byte, error) {
	if r.tokenBytes++; r.tokenBytes > maxTokenBytes {
		return 0, errTokenTooLong
	}
	return r.in.ReadByte()
}
