// Package http1 contains what the HTTP/1.1 front end and the HTTP/1.1 transport share: message
// framing and reading bodies of a known length.
package http1

import (
	"io"
	"strconv"
	"time"
)

// MaxRequestBodyBytes is the maximum size of a request body.
const MaxRequestBodyBytes = 64 << 10

// initialBodyBytes is the maximum amount of memory that is allocated for a body before any byte
// of the body has been received. It keeps a peer from reserving memory by a Content-Length alone.
const initialBodyBytes = 8 << 10

// ReadExactly blocks until it has read length bytes. If the reader ends before, the error is
// io.ErrUnexpectedEOF, or io.EOF if no bytes were read. After the first initialBodyBytes bytes,
// memory for the whole body is allocated at once, because growing the buffer in steps would copy a
// large body many times.
func ReadExactly(reader io.Reader, length int64) ([]byte, error) {
	body := make([]byte, min(length, initialBodyBytes))
	if _, err := io.ReadFull(reader, body); err != nil || length <= initialBodyBytes {
		return body, err
	}
	body = append(make([]byte, 0, length), body...)[:length]
	_, err := io.ReadFull(reader, body[initialBodyBytes:])
	return body, err
}

// FormatSeconds formats a duration in seconds with three decimals.
func FormatSeconds(duration time.Duration) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', 3, 64)
}
