package httpfront

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
	"mothridge/internal/hopbyhop"
	"mothridge/internal/http1"
	"mothridge/policy"
)

const (
	// maxRequestTimeout is the longest Request-Timeout; a longer one is reduced to this value.
	maxRequestTimeout = time.Hour
	// maxRequestIDBytes is the maximum length of a Request-Id.
	maxRequestIDBytes = 256
)

// requestError describes why a request is invalid. The client must change the request.
type requestError struct {
	status int    // status of the HTTP response
	detail string // the rule that the request violates
}

// errOutOfMemory rejects a request whose body finds no memory; a retry is harmless. It is immutable.
var errOutOfMemory = &requestError{http.StatusServiceUnavailable, frontend.OutOfMemoryText}

// Error returns the body of the response without its line break.
func (err *requestError) Error() string { return http.StatusText(err.status) + ": " + err.detail }

func badRequest(detail string) *requestError { return &requestError{http.StatusBadRequest, detail} }

// requestFields are the values of the header fields that every request must have.
type requestFields struct {
	id      string
	class   int
	tenant  int
	timeout time.Duration // how long the client waits, counted from the arrival of its request
}

// checkFraming rejects a request that is not HTTP/1.1, or whose length is ambiguous (see
// http1.Framing) or too large.
func checkFraming(httpRequest *http.Request, head http1.Head) *requestError {
	switch {
	case !httpRequest.ProtoAtLeast(1, 1): // net/http ignores a Transfer-Encoding of HTTP/1.0
		return &requestError{http.StatusHTTPVersionNotSupported, "only version 1.1 is supported"}
	case len(httpRequest.TransferEncoding) > 0 && !head.Unambiguous():
		return &requestError{http.StatusLengthRequired, "set either Content-Length or Transfer-Encoding, not both"}
	case httpRequest.ContentLength > http1.MaxRequestBodyBytes:
		detail := fmt.Sprintf("body has %d bytes, must have at most %d", httpRequest.ContentLength, http1.MaxRequestBodyBytes)
		return &requestError{http.StatusRequestEntityTooLarge, detail}
	}
	return nil
}

// readRequest checks a request and reads its body. It blocks until the body was read or the read
// timeout of the request has expired. The body is not read before the head was found valid.
func (front *Front) readRequest(httpRequest *http.Request, conn *clientConn) (*core.Request, *requestError) {
	arrival := conn.arrivalTime(time.Now())
	header := httpRequest.Header
	hopbyhop.RemoveConnectionFields(header) // first: a field listed in Connection is not forwarded and counts as absent
	if err := checkTarget(httpRequest); err != nil {
		return nil, err
	}
	fields, err := front.readFields(header)
	if err != nil {
		return nil, err
	}
	idempotency := front.rules.Idempotency(fields.class)
	if err := checkIdempotency(httpRequest, idempotency); err != nil {
		return nil, err
	}
	if front.handler.HasRequest(fields.id) {
		return nil, &requestError{http.StatusConflict, "another request with this Request-Id is in flight, or may have run for a client that has left"}
	}
	body, err := readBody(httpRequest, idempotency, conn)
	if err != nil {
		return nil, err
	}
	return &core.Request{
		ID:           fields.id,
		Class:        fields.class,
		Tenant:       fields.tenant,
		ClientRetry:  header.Get("Client-Retry") == "1",
		ExpectedWork: parseWorkHint(header.Get("Work-Hint")),
		Deadline:     frontend.Deadline(arrival, fields.timeout),
		Message: core.Message{
			Method: frontend.Method(idempotency),
			Target: forwardedTarget(httpRequest),
			Host:   httpRequest.Host,
			Fields: header,
			Body:   body,
		},
	}, nil
}

// checkTarget rejects a request without a Host, or with a target that is not a path, because such a
// target could not be forwarded unchanged.
func checkTarget(httpRequest *http.Request) *requestError {
	if httpRequest.Host == "" || !strings.HasPrefix(httpRequest.URL.Path, "/") {
		return badRequest("Host must be set, and the target must be a path that begins with /")
	}
	return nil
}

// forwardedTarget returns the path and query as the client sent them. URL.RequestURI would escape characters that the
// client did not escape; it is used only for a target in absolute form, which names the host as well.
func forwardedTarget(httpRequest *http.Request) string {
	if strings.HasPrefix(httpRequest.RequestURI, "/") {
		return httpRequest.RequestURI
	}
	return httpRequest.URL.RequestURI()
}

func (front *Front) readFields(header http.Header) (requestFields, *requestError) {
	var fields requestFields
	var ok bool
	if fields.id, ok = singleField(header, "Request-Id"); !ok || !isValidRequestID(fields.id) {
		return fields, badRequest(fmt.Sprintf("Request-Id must be set once, to 1 to %d printable ASCII bytes, no blanks, "+
			"and must be new for every retry", maxRequestIDBytes))
	}
	className, _ := singleField(header, "Request-Class")
	if fields.class, ok = front.rules.Class(className); !ok {
		return fields, badRequest("Request-Class must be set once, to the name of a configured class")
	}
	tenantName, _ := singleField(header, "Tenant")
	if fields.tenant, ok = front.rules.Tenant(tenantName); !ok {
		return fields, badRequest("Tenant must be set once, to the name of a configured tenant")
	}
	timeoutText, _ := singleField(header, "Request-Timeout")
	if fields.timeout, ok = parseTimeout(timeoutText); !ok {
		return fields, badRequest("Request-Timeout must be set once, to a number of seconds above 0, such as 0.480")
	}
	return fields, nil
}

func isValidRequestID(id string) bool {
	return len(id) <= maxRequestIDBytes && !frontend.HasUnprintable(id)
}

// checkIdempotency checks the rules that depend on the idempotency of the request's class: the method,
// the idempotency key, and whether a body is allowed.
func checkIdempotency(httpRequest *http.Request, idempotency policy.Idempotency) *requestError {
	method := frontend.Method(idempotency)
	if httpRequest.Method != method {
		return &requestError{http.StatusMethodNotAllowed, method + " is the only method allowed for this class"}
	}
	if err := checkIdempotencyKey(httpRequest.Header, idempotency); err != nil {
		return err
	}
	if idempotency == policy.Idempotent && httpRequest.ContentLength > 0 {
		return errUnexpectedBody
	}
	return nil
}

// errUnexpectedBody rejects a body of an idempotent request. It is immutable.
var errUnexpectedBody = badRequest("a request of an idempotent class must not have a body")

// checkIdempotencyKey checks that a request of a class that is idempotent by key has exactly one
// idempotency key, and that requests of all other classes have none.
func checkIdempotencyKey(header http.Header, idempotency policy.Idempotency) *requestError {
	_, hasOneKey := singleField(header, "Idempotency-Key")
	needsKey := idempotency == policy.IdempotentByKey
	switch {
	case needsKey && !hasOneKey:
		return badRequest("Idempotency-Key must be set once: without it, a retry looks like a new request")
	case !needsKey && len(header["Idempotency-Key"]) > 0: // also an empty one
		return badRequest("Idempotency-Key must not be set for this class")
	}
	return nil
}

func readBody(httpRequest *http.Request, idempotency policy.Idempotency, conn *clientConn) ([]byte, *requestError) {
	body, err := readBodyBytes(httpRequest, conn)
	switch {
	case errors.Is(err, errOutOfMemory):
		return nil, errOutOfMemory
	case err != nil:
		return nil, badRequest("body was invalid or was not received completely in time")
	case len(body) > http1.MaxRequestBodyBytes:
		detail := fmt.Sprintf("body must have at most %d bytes", http1.MaxRequestBodyBytes)
		return nil, &requestError{http.StatusRequestEntityTooLarge, detail}
	case idempotency == policy.Idempotent && len(body) > 0:
		return nil, errUnexpectedBody
	}
	return body, nil
}

// readBodyBytes reads a body. Of a chunked body that is too large, it returns one byte more than
// http1.MaxRequestBodyBytes, so that the caller can detect the excess.
func readBodyBytes(httpRequest *http.Request, conn *clientConn) ([]byte, error) {
	switch {
	case httpRequest.ContentLength == 0:
		return nil, nil
	case httpRequest.ContentLength < 0: // chunked
		body := chargedReader{httpRequest.Body, conn}
		return io.ReadAll(io.LimitReader(body, http1.MaxRequestBodyBytes+1))
	case !conn.chargeBody(httpRequest.ContentLength):
		return nil, errOutOfMemory
	}
	return http1.ReadExactly(httpRequest.Body, httpRequest.ContentLength)
}

// singleField returns the value of a header field that must occur exactly once and must not be empty.
func singleField(header http.Header, name string) (value string, ok bool) {
	values := header[name]
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// parseTimeout parses a number of seconds above 0 in plain decimal notation. A timeout longer than
// maxRequestTimeout is reduced to maxRequestTimeout.
func parseTimeout(text string) (timeout time.Duration, ok bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0, false
	}
	return time.Duration(min(seconds, maxRequestTimeout.Seconds()) * float64(time.Second)), true
}

// parseWorkHint parses an estimate of a request's work in microseconds. It returns 0 if the text is
// not a number above 0.
func parseWorkHint(text string) time.Duration {
	microseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(microseconds > 0) {
		return 0
	}
	return time.Duration(min(microseconds, float64(maxRequestTimeout.Microseconds())) * float64(time.Microsecond))
}
