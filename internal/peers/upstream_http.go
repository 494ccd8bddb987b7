package peers

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// serveHTTP serves the requests of one HTTP/1.1 connection one after the other.
func (u *Upstream) serveHTTP(conn net.Conn) {
	reader := bufio.NewReader(conn)
	var out bytes.Buffer
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		out.Reset()
		var keepConn bool
		if isHealthCheck(request) {
			keepConn = u.respondToHealthCheck(conn, &out)
		} else {
			keepConn = u.handleHTTP(conn, &out, httpCall(request, body))
		}
		if !keepConn {
			return
		}
	}
}

// isHealthCheck reports whether a request is for a load report rather than for the script.
func isHealthCheck(request *http.Request) bool {
	return request.URL.Path == "/health/live" || request.URL.Path == "/stats"
}

// respondToHealthCheck writes a load report. It returns false if the connection must be closed.
func (u *Upstream) respondToHealthCheck(conn net.Conn, out *bytes.Buffer) bool {
	report := fmt.Sprintf("TEXT busy_reqs=%d", u.inFlight.Load())
	appendHTTPResponse(out, "200 OK", "", []byte(report))
	_, err := conn.Write(out.Bytes())
	return err == nil
}

// httpCall returns the call that a request's method, header fields and body describe.
func httpCall(request *http.Request, body []byte) Call {
	header := request.Header
	seconds, _ := strconv.ParseFloat(header.Get("Request-Timeout"), 64)
	key := header.Get("Idempotency-Key")
	return Call{
		ID:             header.Get("Request-Id"),
		Class:          header.Get("Request-Class"),
		Tenant:         header.Get("Tenant"),
		IdempotencyKey: key,
		NotIdempotent:  request.Method == http.MethodPost && key == "",
		Timeout:        time.Duration(seconds * float64(time.Second)),
		Body:           body,
		HeaderValue:    header.Get,
	}
}

// handleHTTP responds to a request as the script decides. It returns false if the connection must
// be closed.
func (u *Upstream) handleHTTP(conn net.Conn, out *bytes.Buffer, call Call) bool {
	u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	response := u.decide(call)
	u.sleep(response.Delay)
	if response.WaitForAction != nil {
		response.Action = response.WaitForAction(u.closing)
	}
	if response.Action == Hang {
		_, _ = io.Copy(io.Discard, conn) // blocks until the client closes the connection
	}
	return u.respondHTTP(conn, out, response)
}

// respondHTTP performs a response action. It returns false if the connection must be closed.
func (u *Upstream) respondHTTP(conn net.Conn, out *bytes.Buffer, response Response) bool {
	switch response.Action {
	case Hang:
		return false
	case Reset:
		resetOnClose(conn)
		return false
	case Truncate:
		appendHTTPResponse(out, "200 OK", "", response.Body)
		_, _ = conn.Write(out.Bytes()[:min(response.TruncateAt, out.Len()-1)])
		return false
	case Serve:
		u.served.Add(1)
	default:
	}
	appendHTTPAction(out, response)
	_, err := conn.Write(out.Bytes())
	return err == nil && response.Action != Malformed
}

// appendHTTPAction appends the complete output of a response action to out. HTTP/1.1 matches
// responses to requests by order, so an unsolicited response can only follow the request's own.
func appendHTTPAction(out *bytes.Buffer, response Response) {
	switch response.Action {
	case Error:
		appendHTTPResponse(out, "500 Internal Server Error", "", nil)
	case Reject:
		appendHTTPResponse(out, "503 Service Unavailable", "Not-Started: 1\r\n", nil)
	case Malformed:
		out.WriteString("\x00\x01 no HTTP at all\r\n\r\n")
	case Duplicate:
		appendHTTPResponse(out, "200 OK", "", response.Body)
		appendHTTPResponse(out, "200 OK", "", []byte(duplicateBody))
	case Unsolicited:
		appendHTTPResponse(out, "200 OK", "", response.Body)
		appendHTTPResponse(out, "200 OK", "", []byte(unsolicitedBody))
	default:
		var fields bytes.Buffer
		for name, value := range response.HeaderFields {
			appendHTTPField(&fields, name, value)
		}
		appendHTTPResponse(out, "200 OK", fields.String(), response.Body)
	}
}

// Bodies of the second responses that Duplicate and Unsolicited write.
const (
	duplicateBody   = "the second answer"
	unsolicitedBody = "to nobody"
)

// appendHTTPResponse appends a response to out. fields contains additional header lines, each with its
// line break.
func appendHTTPResponse(out *bytes.Buffer, status, fields string, body []byte) {
	out.WriteString("HTTP/1.1 ")
	out.WriteString(status)
	out.WriteString("\r\n")
	out.WriteString(fields)
	out.WriteString("Content-Length: ")
	out.Write(strconv.AppendInt(out.AvailableBuffer(), int64(len(body)), 10))
	out.WriteString("\r\n\r\n")
	out.Write(body)
}
