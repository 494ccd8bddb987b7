package httpnode

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"mothridge/internal/http1"
)

// Bounds of what is read for one response. Upstreams send bodies of several times what the
// protocol names; 1 MiB can be held for each request in flight.
const (
	maxResponseHeadBytes = 128 << 10 // interim responses included
	maxResponseBodyBytes = 1 << 20
	maxInterimResponses  = 5 // before the final one
)

var (
	errBodyTooLarge    = errors.New("body too large")
	errAmbiguousLength = errors.New("two lengths, or chunks in a version without them")
)

// response is the final response of an upstream.
type response struct {
	*http.Response
	head             http1.Head
	body             []byte // nil where the status alone matters
	delimitedByClose bool   // the body ended with its connection
}

// isNotStarted reports whether the upstream rejected the request without starting it.
func (result *response) isNotStarted() bool {
	switch result.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return result.Header.Get("Not-Started") == "1"
	}
	return false
}

// readResponse blocks until a response is complete or its connection is closed.
func (conn *connection) readResponse() (result response, err error) {
	result.Response, result.head, err = conn.readHead() //nolint:bodyclose // left open: see readBody
	if err != nil {
		return result, err
	}
	conn.limit.N = maxResponseBodyBytes + 1 // one more shows that there are too many
	return result, conn.readBody(&result)
}

// readHead reads the head of a response, and drops the interim responses before it.
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

// readBody reads the body of a response that proves to be complete: it ends after one valid
// length, after the last chunk or, where the head names neither, with the orderly close of its
// connection (RFC 9112, section 6.3). A reset does not complete it. A head with two lengths may
// name two ends: see http1.Framing.
//
// It does not close the body, which would read on in one that is too large: a connection whose
// response was not read to its end is closed.
func (conn *connection) readBody(result *response) (err error) {
	isChunked := len(result.TransferEncoding) > 0
	isDefinite := isChunked && result.head.Unambiguous()
	switch {
	case result.head.HasTransferEncoding && !isDefinite:
		return errAmbiguousLength
	case result.ContentLength > maxResponseBodyBytes:
		return errBodyTooLarge
	case result.ContentLength >= 0:
		result.body, err = http1.ReadExactly(result.Body, result.ContentLength)
		return err
	case !isChunked && result.StatusCode != http.StatusOK:
		return nil // the status is enough, and the body may never end
	}
	result.delimitedByClose = !isChunked
	return conn.readUnsizedBody(result)
}

// readUnsizedBody reads a body to its last chunk or to the close of the connection.
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
