package httpfront

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/http1"
)

// invalidBodyTimeout bounds how long the rest of an invalid request's body is read.
const invalidBodyTimeout = 250 * time.Millisecond

const plainText = "text/plain; charset=utf-8"

// statusOf is the status of each result. 429 and 503 stand for a rejection alone.
var statusOf = [...]int{
	core.Served:    http.StatusOK,
	core.Rejected:  http.StatusServiceUnavailable,
	core.Failed:    http.StatusBadGateway,
	core.TimedOut:  http.StatusGatewayTimeout,
	core.Duplicate: http.StatusConflict,
}

// rejectInvalid answers an invalid request and ends its connection: what comes next on
// it may be the request's body. The body is not read before the response, as it may be of
// any size or never come. A close with unread bytes would reset the connection, and the
// client might lose the response: part of the body is read after it.
func (front *Front) rejectInvalid(writer http.ResponseWriter, httpRequest *http.Request, err *requestError) {
	front.invalidRequests.Add(1)
	text := err.Error() + "\n"
	header := writer.Header()
	header.Set("Connection", "close")
	header.Set("Content-Type", plainText)
	header.Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(err.status)
	// A write that fails leaves nothing to do: the connection ends in any case.
	_, _ = io.WriteString(writer, text)
	_ = http.NewResponseController(writer).Flush()
	conn := clientConnOf(httpRequest)
	conn.CloseWrite()
	conn.limitRemainingRead(invalidBodyTimeout)
	_, _ = io.CopyN(io.Discard, httpRequest.Body, http1.MaxRequestBodyBytes)
}

// writeResponse writes the response to a valid request. It blocks up to the write
// deadline; where it fails net/http closes the connection.
func (front *Front) writeResponse(writer http.ResponseWriter, response core.Response, conn *clientConn) {
	header := writer.Header()
	copyFields(header, response.Fields)
	if response.RetryAfter > 0 {
		header.Set("Retry-After", http1.FormatSeconds(response.RetryAfter))
	}
	if conn.readAheadExceeded.Load() || front.listener.isDraining() {
		header.Set("Connection", "close")
	}
	body := response.Body
	if response.Detail != "" {
		header.Set("Content-Type", plainText)
		body = []byte(response.Detail + "\n")
	}
	if response.DelimitedByClose {
		header.Set("Connection", "close")
		header.Set("Transfer-Encoding", "identity") // net/http then sends no length, nor this field
	} else {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	writer.WriteHeader(statusOf[response.Result])
	_, err := writer.Write(body)
	if response.DelimitedByClose && errors.Join(err, http.NewResponseController(writer).Flush()) != nil {
		conn.reset() // after an orderly close the client would take a part for the complete body
	}
}

// copyFields copies the fields of an upstream's response; nil where there was none.
func copyFields(header http.Header, fields http.Header) {
	if fields == nil {
		return
	}
	http1.RemoveHopByHopFields(fields)
	delete(fields, "Server-Load")
	for name, values := range fields {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing it from the body
	}
}
