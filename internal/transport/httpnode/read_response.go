package httpnode

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"mothridge/internal/http1"
)

// Limits on the bytes that are read for one response. Upstreams send bodies that are several times
// larger than the protocol specifies. 1 MiB of memory is affordable for each request in flight.
const (
	maxResponseHeadBytes = 128 << 10 // including interim responses
	maxResponseBodyBytes = 1 << 20
	maxInterimResponses  = 5 // before the final response
)

var (
	errBodyTooLarge    = errors.New("response body exceeds the maximum size")
	errAmbiguousLength = errors.New("ambiguous body length: two or invalid length fields, or Transfer-Encoding in HTTP/1.0")
)

// response is the final response of an upstream.
type response struct {
	*http.Response
	head             http1.Head
	body             []byte // nil if only the status matters
	delimitedByClose bool   // the close of the connection marked the end of the body
}

// isNotStarted reports whether the upstream rejected the request without starting it.
func (result *response) isNotStarted() bool {
	switch result.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return result.Header.Get("Not-Started") == "1"
	}
	return false
}

// readResponse reads a response. It blocks until the response is complete or the connection is
// closed.
func (conn *connection) readResponse() (result response, err error) {
	result.Response, result.head, err = conn.readHead() //nolint:bodyclose // not closed: see readBody
	if err != nil {
		return result, err
	}
	conn.limit.N = maxResponseBodyBytes + 1 // reading one byte more detects a body that is too large
	return result, conn.readBody(&result)
}

// readHead reads the head of the final response and discards the interim responses before it.
func (conn *connection) readHead() (*http.Response, http1.Head, error) {
	for interim := 0; ; interim++ {
		result, err := http.ReadResponse(conn.reader, nil)
		if err != nil {
			return nil, http1.Head{}, err
		}
		head := conn.framing.NextHead()
		if result.StatusCode >= http.StatusOK {
			return result, head, nil
		}
		if interim == maxInterimResponses || result.StatusCode == http.StatusSwitchingProtocols {
			return nil, http1.Head{}, fmt.Errorf("unexpected status %d", result.StatusCode)
		}
	}
}

// isFramingCertain reports whether net/http and the raw bytes of the head agree on which field determines the
// length of the body. They disagree if a field's name has a blank before the colon, for example: net/http then
// ignores the field, but other readers may not.
func (result *response) isFramingCertain(isChunked bool) bool {
	head := result.head
	ignoresLength := head.HasContentLength && !isChunked && result.ContentLength < 0
	return head.Unambiguous() && head.HasTransferEncoding == isChunked && !ignoresLength
}

// readBody reads the body of a response. It returns an error unless the body is certain to be
// complete. The body ends after the one valid length, after the last chunk or, if the head specifies
// neither, at the orderly close of the connection (RFC 9112, section 6.3). A reset does not complete
// the body. A head with two lengths may specify two different ends: see http1.Framing.
//
// readBody does not close the body, because closing would continue to read a body that is too large.
// The connection is closed instead if its response was not read completely.
func (conn *connection) readBody(result *response) (err error) {
	isChunked := len(result.TransferEncoding) > 0
	switch {
	case !result.isFramingCertain(isChunked):
		return errAmbiguousLength
	case result.ContentLength > maxResponseBodyBytes:
		return errBodyTooLarge
	case result.ContentLength >= 0:
		result.body, err = http1.ReadExactly(result.Body, result.ContentLength)
		return err
	case !isChunked && result.StatusCode != http.StatusOK:
		return nil // the body is not needed, and reading it could block forever
	}
	result.delimitedByClose = !isChunked
	return conn.readUnsizedBody(result)
}

// readUnsizedBody reads a body without a Content-Length, up to the last chunk or to the close of the
// connection.
func (conn *connection) readUnsizedBody(result *response) (err error) {
	result.body, err = io.ReadAll(io.LimitReader(result.Body, maxResponseBodyBytes+1))
	if err != nil {
		return err
	}
	limitReached := result.delimitedByClose && conn.limit.N <= 0
	if len(result.body) > maxResponseBodyBytes || limitReached {
		return errBodyTooLarge
	}
	return nil
}
