// Package http1 holds what the HTTP/1.1 front end and the HTTP/1.1 transport share:
// the framing of messages, bodies of a known length and hop-by-hop header fields.
package http1

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRequestBodyBytes bounds the body of a request.
const MaxRequestBodyBytes = 64 << 10

// initialBodyBytes bounds the memory that a body's length alone sets aside, before
// any byte of the body has come.
const initialBodyBytes = 8 << 10

// hopByHopFields concern one connection only (RFC 9110, section 7.6.1).
var hopByHopFields = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHopFields removes the fields that concern one connection only, those that
// Connection names among them.
func RemoveHopByHopFields(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		delete(header, name)
	}
}

// ReadExactly reads length bytes and blocks until they have come; the error is
// io.ErrUnexpectedEOF, or io.EOF where none came, if the reader ends before. Once the
// first bytes have come, memory for the rest is set aside at once: growing step by step
// would copy a large body many times.
func ReadExactly(reader io.Reader, length int64) ([]byte, error) {
	body := make([]byte, min(length, initialBodyBytes))
	if _, err := io.ReadFull(reader, body); err != nil || length <= initialBodyBytes {
		return body, err
	}
	body = append(make([]byte, 0, length), body...)[:length]
	_, err := io.ReadFull(reader, body[initialBodyBytes:])
	return body, err
}

// FormatSeconds writes a duration in seconds with three decimals.
func FormatSeconds(duration time.Duration) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', 3, 64)
}
