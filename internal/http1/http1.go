// Package http1 holds what the HTTP/1.1 front and the HTTP/1.1 transport share.
package http1

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxBody is what a request may hold, in bytes.
const MaxBody = 64 << 10

// trusted is how much is set aside for a body on the word of its length alone.
const trusted = 8 << 10

// hopFields concern one connection only (RFC 9110, section 7.6.1).
var hopFields = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// DropHopByHop takes the fields out of a header that concern one connection only.
func DropHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopFields {
		delete(h, name)
	}
}

// ReadExactly reads n bytes. A length that somebody claims takes little memory
// before bytes have come, and their rest is set aside at once: growing step by
// step would copy a large body over and over.
func ReadExactly(r io.Reader, n int64) ([]byte, error) {
	b := make([]byte, min(n, trusted))
	if _, err := io.ReadFull(r, b); err != nil || n <= trusted {
		return b, err
	}
	b = append(make([]byte, 0, n), b...)[:n]
	_, err := io.ReadFull(r, b[trusted:])
	return b, err
}

// Seconds writes a duration as seconds with decimals.
func Seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
