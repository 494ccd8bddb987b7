package httpfront

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/hopbyhop"
	"mothridge/internal/http1"
)

// invalidBodyTimeout is the maximum time for reading the rest of an invalid request's body.
const invalidBodyTimeout = 250 * time.Millisecond

const plainText = "text/plain; charset=utf-8"

// statusOf is the HTTP status of each result. 429 and 503 are reserved for rejections.
var statusOf = [...]int{
	core.Served:    http.StatusOK,
	core.Rejected:  http.StatusServiceUnavailable,
	core.Failed:    http.StatusBadGateway,
	core.TimedOut:  http.StatusGatewayTimeout,
	core.Duplicate: http.StatusConflict,
}

// rejectInvalid responds to an invalid request, or one for which there is no memory, with an error and closes the
// connection, because the bytes that follow may be the body of that request. The body is not read before the response is
// written, because the body may have any size or never arrive. Part of it is read afterwards, unless its end cannot be reached:
// a close with unread bytes would reset the connection, and the client could lose the response. rejectInvalid does not return: it
// panics with http.ErrAbortHandler, upon which net/http closes the connection.
func (front *Front) rejectInvalid(writer http.ResponseWriter, httpRequest *http.Request, err *requestError) {
	text := err.Error() + "\n"
	slog.Debug("invalid request", "client", httpRequest.RemoteAddr, "request", httpRequest.Header.Get("Request-Id"), "reason", err.detail)
	header := writer.Header()
	if errors.Is(err, errOutOfMemory) {
		front.listener.outOfMemory.Add(1)
		header.Set("Retry-After", http1.FormatSeconds(outOfMemoryRetryAfter))
	} else {
		front.invalidRequests.Add(1)
	}
	header.Set("Connection", "close")
	header.Set("Content-Type", plainText)
	header.Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(err.status)
	// Write errors are ignored because the connection is closed in any case.
	_, _ = io.WriteString(writer, text)
	_ = http.NewResponseController(writer).Flush()
	conn := clientConnOf(httpRequest)
	_ = conn.CloseWrite()
	switch {
	case httpRequest.ContentLength > maxLingerBytes:
		conn.skipLinger()
	case httpRequest.ContentLength <= http1.MaxRequestBodyBytes: // the end of a larger body is not reached
		conn.limitRemainingRead(invalidBodyTimeout)
		_, _ = io.CopyN(io.Discard, httpRequest.Body, http1.MaxRequestBodyBytes)
	}
	panic(http.ErrAbortHandler) // net/http would keep the connection for another 0.5 s if the body is unread
}

// writeResponse writes the response to a valid request. It blocks at most until the write deadline. If
// the write fails, net/http closes the connection.
func (front *Front) writeResponse(writer http.ResponseWriter, response core.Response, conn *clientConn) {
	header := writer.Header()
	copyFields(header, response.Fields)
	if response.RetryAfter > 0 {
		header.Set("Retry-After", http1.FormatSeconds(response.RetryAfter))
	}
	if isLast := conn.beginResponse(); isLast || front.listener.isDraining() {
		header.Set("Connection", "close")
	}
	body := response.Body
	if response.Detail != "" {
		header.Set("Content-Type", plainText)
		body = []byte(response.Detail + "\n")
	}
	if response.DelimitedByClose {
		header.Set("Connection", "close")
		header.Set("Transfer-Encoding", "identity") // makes net/http send neither a length nor this field
	} else {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	writer.WriteHeader(statusOf[response.Result])
	_, err := writer.Write(body)
	if response.DelimitedByClose && errors.Join(err, http.NewResponseController(writer).Flush()) != nil {
		conn.reset() // after an orderly close, the client would treat a partial body as complete
	}
}

// copyFields copies the header fields of an upstream's response, except those of the upstream's hop. fields is
// nil if no upstream has responded.
func copyFields(header http.Header, fields http.Header) {
	if fields == nil {
		return
	}
	hopbyhop.Remove(fields)
	for name, values := range fields {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevents net/http from deriving the type from the body
	}
}
