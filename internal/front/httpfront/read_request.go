package httpfront

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
	"mothridge/internal/http1"
	"mothridge/policy"
)

const (
	// maxRequestTimeout is the longest Request-Timeout; a longer one is cut to it.
	maxRequestTimeout = time.Hour
	// maxRequestIDBytes bounds a Request-Id.
	maxRequestIDBytes = 256
)

// requestError is why a request is invalid: the client is to change it.
type requestError struct {
	status int    // of the HTTP response
	detail string // what a valid request has
}

// Error returns the body of the response, without its line break.
func (err *requestError) Error() string { return http.StatusText(err.status) + ": " + err.detail }

func badRequest(detail string) *requestError { return &requestError{http.StatusBadRequest, detail} }

// requestFields are the header fields that every request has.
type requestFields struct {
	id      string
	class   int
	tenant  int
	timeout time.Duration // how long the client waits, from its request's arrival
}

// checkFraming rejects a request whose length is ambiguous (see http1.Framing) or too large.
func checkFraming(httpRequest *http.Request, head http1.Head) *requestError {
	switch {
	case !httpRequest.ProtoAtLeast(1, 1): // net/http ignores a Transfer-Encoding of HTTP/1.0
		return &requestError{http.StatusHTTPVersionNotSupported, "version 1.1 is spoken here"}
	case len(httpRequest.TransferEncoding) > 0 && !head.Unambiguous():
		return &requestError{http.StatusLengthRequired, "a Content-Length or a Transfer-Encoding is needed, and not both"}
	case httpRequest.ContentLength > http1.MaxRequestBodyBytes:
		detail := fmt.Sprintf("a body of %d bytes, %d at most", httpRequest.ContentLength, http1.MaxRequestBodyBytes)
		return &requestError{http.StatusRequestEntityTooLarge, detail}
	}
	return nil
}

// readRequest checks a request and reads its body, which blocks for the rest of the
// connection's time to read a request. It reads no body before the head is known to be valid.
func (front *Front) readRequest(httpRequest *http.Request, conn *clientConn) (*core.Request, *requestError) {
	arrival := conn.arrivalTime(time.Now())
	header := httpRequest.Header
	http1.RemoveHopByHopFields(header) // before any field is read: one that Connection names is not forwarded
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
		return nil, &requestError{http.StatusConflict, "a request of this Request-Id is held"}
	}
	body, err := readBody(httpRequest, idempotency)
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
			Target: httpRequest.URL.RequestURI(),
			Host:   httpRequest.Host,
			Fields: header,
			Body:   body,
		},
	}, nil
}

// checkTarget rejects a target that is no path: it could not be forwarded unchanged.
func checkTarget(httpRequest *http.Request) *requestError {
	if httpRequest.Host == "" || !strings.HasPrefix(httpRequest.URL.Path, "/") {
		return badRequest("a Host and a target that is a path are needed")
	}
	return nil
}

func (front *Front) readFields(header http.Header) (requestFields, *requestError) {
	var fields requestFields
	var ok bool
	if fields.id, ok = singleField(header, "Request-Id"); !ok || !isValidRequestID(fields.id) {
		return fields, badRequest(fmt.Sprintf("one Request-Id is needed: 1 to %d bytes of printable ASCII without blanks, "+
			"new with every try", maxRequestIDBytes))
	}
	className, _ := singleField(header, "Request-Class")
	if fields.class, ok = front.rules.Class(className); !ok {
		return fields, badRequest("one Request-Class is needed, by a name that the configuration has")
	}
	tenantName, _ := singleField(header, "Tenant")
	if fields.tenant, ok = front.rules.Tenant(tenantName); !ok {
		return fields, badRequest("one Tenant is needed, by a name that the configuration has")
	}
	timeoutText, _ := singleField(header, "Request-Timeout")
	if fields.timeout, ok = parseTimeout(timeoutText); !ok {
		return fields, badRequest("one Request-Timeout is needed: how long the client will wait, in seconds, such as 0.480")
	}
	return fields, nil
}

func isValidRequestID(id string) bool {
	return len(id) <= maxRequestIDBytes && !frontend.HasUnprintable(id)
}

// checkIdempotency checks what follows from a class: the method, the key and whether
// there may be a body.
func checkIdempotency(httpRequest *http.Request, idempotency policy.Idempotency) *requestError {
	method := frontend.Method(idempotency)
	if httpRequest.Method != method {
		return &requestError{http.StatusMethodNotAllowed, method + " is the method of this class"}
	}
	if err := checkIdempotencyKey(httpRequest.Header, idempotency); err != nil {
		return err
	}
	if idempotency == policy.Idempotent && httpRequest.ContentLength > 0 {
		return errUnexpectedBody
	}
	return nil
}

// errUnexpectedBody is immutable.
var errUnexpectedBody = badRequest("requests of a class that is safe to repeat have no body")

// checkIdempotencyKey checks that a keyed class has one key, and no other class any.
func checkIdempotencyKey(header http.Header, idempotency policy.Idempotency) *requestError {
	_, hasKey := singleField(header, "Idempotency-Key")
	needsKey := idempotency == policy.IdempotentByKey
	if hasKey == needsKey && len(header["Idempotency-Key"]) <= 1 {
		return nil
	}
	if needsKey {
		return badRequest("one Idempotency-Key is needed: without it a repeat could not be told from a new request")
	}
	return badRequest("requests of this class have no Idempotency-Key")
}

func readBody(httpRequest *http.Request, idempotency policy.Idempotency) ([]byte, *requestError) {
	body, err := readBodyBytes(httpRequest)
	switch {
	case err != nil:
		return nil, badRequest("the body was not whole in time")
	case len(body) > http1.MaxRequestBodyBytes:
		detail := fmt.Sprintf("a body of over %d bytes", http1.MaxRequestBodyBytes)
		return nil, &requestError{http.StatusRequestEntityTooLarge, detail}
	case idempotency == policy.Idempotent && len(body) > 0:
		return nil, errUnexpectedBody
	}
	return body, nil
}

// readBodyBytes reads a body; of one that is too large it may return one byte too many.
func readBodyBytes(httpRequest *http.Request) ([]byte, error) {
	switch {
	case httpRequest.ContentLength == 0:
		return nil, nil
	case httpRequest.ContentLength < 0: // chunked
		return io.ReadAll(io.LimitReader(httpRequest.Body, http1.MaxRequestBodyBytes+1))
	}
	return http1.ReadExactly(httpRequest.Body, httpRequest.ContentLength)
}

// singleField returns a header field that has to occur exactly once and not be empty.
func singleField(header http.Header, name string) (value string, ok bool) {
	values := header[name]
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// parseTimeout parses seconds in plain decimals, above 0.
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

// parseWorkHint parses an estimate of a request's work, in microseconds; 0 where the
// text is none.
func parseWorkHint(text string) time.Duration {
	microseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(microseconds > 0) {
		return 0
	}
	return time.Duration(min(microseconds, float64(maxRequestTimeout.Microseconds())) * float64(time.Microsecond))
}
