package peers

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// httpClient sends one request at a time on each connection. Like the application, it keeps idle
// connections and opens another connection when all of them are busy.
type httpClient struct {
	addr string
	mu   sync.Mutex
	idle []*httpClientConn
}

// httpClientConn is one connection of an httpClient.
type httpClientConn struct {
	net.Conn
	reader   *bufio.Reader
	out      bytes.Buffer
	dialedAt time.Time // when the client began to connect
}

// silentGrace is for how long a sidecar waits for the first byte on a new connection at its limit of connections. A client that is
// slower, as its machine did not run it, may find the connection closed.
const silentGrace = 50 * time.Millisecond

// httpExchange is the result of one request on one connection.
type httpExchange struct {
	result    Result
	unread    bool // the connection ended before a response began; the server may not have read the request
	wasSilent bool // the request was sent over silentGrace after its client began to connect
	keepsConn bool // the connection can carry another request
}

// Close closes the idle connections.
func (h *httpClient) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.idle {
		conn.Close()
	}
	h.idle = nil
}

// Do sends a request. The sidecar may close an idle connection at any time, and a new one that is silent. A request that is sent
// while the sidecar closes its connection was not read, so Do sends that request on another connection.
func (h *httpClient) Do(ctx context.Context, call Call) Result {
	for {
		conn, reused, err := h.takeConn(ctx)
		if err != nil {
			return lost(err)
		}
		exchange := h.exchange(ctx, conn, call)
		crossedClose := exchange.unread && (reused || exchange.wasSilent)
		if !crossedClose || ctx.Err() != nil {
			return exchange.result
		}
	}
}

// takeConn returns an idle connection, or a new connection if none is idle.
func (h *httpClient) takeConn(ctx context.Context) (conn *httpClientConn, reused bool, err error) {
	if conn := h.takeIdle(); conn != nil {
		return conn, true, nil
	}
	dialedAt := time.Now()
	netConn, err := new(net.Dialer).DialContext(ctx, "tcp", h.addr)
	if err != nil {
		return nil, false, err
	}
	return &httpClientConn{Conn: netConn, reader: bufio.NewReader(netConn), dialedAt: dialedAt}, false, nil
}

// takeIdle removes and returns the most recently used idle connection, or returns nil if there is none.
func (h *httpClient) takeIdle() *httpClientConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	conn := h.idle[last]
	h.idle = h.idle[:last]
	return conn
}

// putIdle makes a connection available to later requests.
func (h *httpClient) putIdle(conn *httpClientConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idle = append(h.idle, conn)
}

// exchange sends a request on a connection, and keeps or closes the connection afterwards. When ctx
// ends, the connection's reads and writes fail.
func (h *httpClient) exchange(ctx context.Context, conn *httpClientConn, call Call) httpExchange {
	pastDeadline := time.Unix(1, 0)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(pastDeadline) })
	exchange := conn.roundTrip(call)
	if stop() && exchange.keepsConn {
		h.putIdle(conn)
	} else {
		conn.Close()
	}
	return exchange
}

// roundTrip writes a request and reads its response.
func (c *httpClientConn) roundTrip(call Call) httpExchange {
	c.out.Reset()
	call.appendHTTP(&c.out)
	_, err := c.Write(c.out.Bytes())
	silent := time.Since(c.dialedAt)
	if err == nil {
		_, err = c.reader.Peek(1)
	}
	if err != nil {
		err = fmt.Errorf("%w, sent %v after the client began to connect", err, silent)
		return httpExchange{result: lost(err), unread: true, wasSilent: silent >= silentGrace}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return httpExchange{result: lost(err)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return httpExchange{result: lost(err)}
	}
	return httpExchange{result: httpResult(response, body), keepsConn: !response.Close}
}

// httpResult converts a response to a Result by its status.
func httpResult(response *http.Response, body []byte) Result {
	status := response.StatusCode
	switch {
	case status == http.StatusOK:
		return Result{Outcome: Served, Body: body, HeaderFields: response.Header}
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // 0 if absent
		return Result{Outcome: Rejected, RetryAfter: time.Duration(seconds * float64(time.Second))}
	case status >= http.StatusInternalServerError:
		return Result{Outcome: Failed, Text: response.Status}
	default:
		return Result{Outcome: InvalidRequest, Text: response.Status}
	}
}

// appendHTTP appends the call to out as an HTTP/1.1 request.
func (c *Call) appendHTTP(out *bytes.Buffer) {
	method := http.MethodGet
	if c.IdempotencyKey != "" || c.NotIdempotent {
		method = http.MethodPost
	}
	fmt.Fprintf(out, "%s /api HTTP/1.1\r\nHost: service.internal\r\n", method)
	fmt.Fprintf(out, "Request-Id: %s\r\n", c.ID)
	fmt.Fprintf(out, "Request-Class: %s\r\n", c.Class)
	fmt.Fprintf(out, "Request-Timeout: %.3f\r\n", c.Timeout.Seconds())
	appendHTTPField(out, "Tenant", c.Tenant)
	appendHTTPField(out, "Idempotency-Key", c.IdempotencyKey)
	if c.ClientRetry {
		appendHTTPField(out, "Client-Retry", "1")
	}
	for name, value := range c.HeaderFields {
		appendHTTPField(out, name, value)
	}
	if len(c.Body) > 0 || method == http.MethodPost {
		appendHTTPField(out, "Content-Length", strconv.Itoa(len(c.Body)))
	}
	out.WriteString("\r\n")
	out.Write(c.Body)
}

// appendHTTPField appends a header field to out, unless the value is empty.
func appendHTTPField(out *bytes.Buffer, name, value string) {
	if value != "" {
		out.WriteString(name + ": " + value + "\r\n")
	}
}
