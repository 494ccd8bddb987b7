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

// serveHTTP serves one connection of HTTP/1.1, one request after the other.
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

func isHealthCheck(request *http.Request) bool {
	return request.URL.Path == "/health/live" || request.URL.Path == "/stats"
}

// respondToHealthCheck writes the load report; false ends the connection.
func (u *Upstream) respondToHealthCheck(conn net.Conn, out *bytes.Buffer) bool {
	report := fmt.Sprintf("TEXT busy_reqs=%d", u.inFlight.Load())
	appendHTTPResponse(out, "200 OK", "", []byte(report))
	_, err := conn.Write(out.Bytes())
	return err == nil
}

// httpCall reads a request's header fields.
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
		Field:          header.Get,
	}
}

// handleHTTP carries out what the script decides for a request; false ends the connection.
func (u *Upstream) handleHTTP(conn net.Conn, out *bytes.Buffer, call Call) bool {
	u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	response := u.decide(call)
	u.sleep(response.Delay)
	if response.Wait != nil {
		response.Action = response.Wait(u.closing)
	}
	if response.Action == Hang {
		_, _ = io.Copy(io.Discard, conn) // until the client closes
	}
	return u.respondHTTP(conn, out, response)
}

// respondHTTP carries out a response action; false ends the connection.
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

// appendHTTPAction appends what a response action writes in full. HTTP/1.1 matches responses to
// requests by order, so that an unsolicited one can only follow the request's own.
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
		appendHTTPResponse(out, "200 OK", "", response.Body)
	}
}

// The bodies of the further responses of Duplicate and Unsolicited.
const (
	duplicateBody   = "the second answer"
	unsolicitedBody = "to nobody"
)

// appendHTTPResponse appends a response; fields are further header lines, each with its line break.
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
