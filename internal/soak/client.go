package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"
)

// class is a request class as the sidecars' settings define it.
type class struct {
	name        string
	idempotency string // value of the setting "semantics"
	deadline    time.Duration
	dedupWindow time.Duration // deduplication window of the idempotency keys
}

// Values of class.idempotency.
const (
	idempotent      = "free"
	idempotentByKey = "guarded"
	notIdempotent   = "single_shot"
)

var classes = []class{
	{"read", idempotent, time.Second, 0},
	{"weight-reading", idempotentByKey, 2500 * time.Millisecond, 300 * time.Millisecond},
	{"harvest-entry", notIdempotent, 2 * time.Second, 0},
}

// clientBehaviour is how a client sends one request.
type clientBehaviour int

const (
	sendsInOneWrite  clientBehaviour = iota // sends the request in one write and waits for the response
	disconnectsEarly                        // closes its connection before the response
	sendsInPieces                           // sends the request in several writes, within the time allowed for slow clients
	stopsMidRequest                         // sends a part of the request and keeps the connection open
)

// client sends requests to one sidecar on one connection, one request at a time.
type client struct {
	sidecar      *sidecar
	rng          *rand.Rand
	conn         net.Conn // nil: not connected
	reader       *bufio.Reader
	requestCount int
	name         string
}

// run sends requests until the soak ends.
func (c *client) run(env *environment) {
	defer c.closeConn()
	for !env.isOver() {
		env.sleep(time.Duration(c.rng.ExpFloat64() * float64(env.cfg.MeanPause)))
		if c.rng.IntN(20) == 0 { // stays idle for about as long as the sidecar keeps an idle connection open
			env.sleep(1800*time.Millisecond + time.Duration(c.rng.IntN(400))*time.Millisecond)
		}
		if env.isOver() {
			return
		}
		c.sendRequest(env)
	}
}

func (c *client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// sendRequest sends one request and records its outcome. It sends nothing while the sidecar does
// not have to accept requests from this client.
func (c *client) sendRequest(env *environment) {
	newConns, openConns := c.sidecar.acceptsRequests()
	if c.conn == nil && !newConns || !openConns {
		c.closeConn()
		env.sleep(20 * time.Millisecond)
		return
	}
	c.requestCount++
	id, requestClass := fmt.Sprintf("%s-%d", c.name, c.requestCount), classes[c.rng.IntN(len(classes))]
	behaviour := sendsInOneWrite
	switch draw := c.rng.IntN(100); {
	case draw < 6:
		behaviour = disconnectsEarly
	case draw < 10:
		behaviour = sendsInPieces
	case draw < 12:
		behaviour = stopsMidRequest
	}
	reused := c.conn != nil
	if !reused && !c.dial() {
		return // The connection was refused or reset before anything was sent, so no request was accepted.
	}
	startedAt := time.Now()
	deadline := startedAt.Add(requestClass.deadline)
	env.checker.recordRequest(id, requestClass, deadline)
	err := c.exchange(env, id, requestClass, behaviour, startedAt, deadline)
	// If a reused connection closes without a response, the sidecar has not read the request, and the client
	// retries once on a new connection.
	if errors.Is(err, errNoResponse) && reused {
		if acceptsNew, _ := c.sidecar.acceptsRequests(); !acceptsNew || !c.dial() {
			return
		}
		err = c.exchange(env, id, requestClass, sendsInOneWrite, startedAt, deadline)
	}
	if err != nil {
		env.checker.recordNoResponse(id, err, c.sidecar.excusedSince(startedAt))
	}
}

// dial replaces the client's connection with a new one. It returns false if the sidecar does not accept one.
func (c *client) dial() bool {
	c.closeConn()
	conn, err := net.DialTimeout("tcp", c.sidecar.addr, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// errNoResponse says that a connection ended before the first byte of a response.
var errNoResponse = errors.New("connection closed before a response")

// exchange sends a request on the open connection and records the response. startedAt is when the client
// began the request, and deadline is when the response is due.
func (c *client) exchange(env *environment, id string, requestClass class, behaviour clientBehaviour,
	startedAt, deadline time.Time,
) error {
	text := requestText(id, requestClass, time.Until(deadline))
	if behaviour == stopsMidRequest {
		return c.sendPart(env, id, text)
	}
	err := c.write(text, behaviour, func() {
		deadline = time.Now().Add(requestClass.deadline)
		env.checker.recordLastByte(id, deadline)
	})
	if err != nil {
		c.closeConn()
		return errNoResponse
	}
	if behaviour == disconnectsEarly {
		env.sleep(time.Duration(c.rng.Int64N(int64(200 * time.Millisecond))))
		env.checker.recordClientDisconnected(id)
		c.closeConn()
		return nil
	}
	c.conn.SetReadDeadline(deadline.Add(responseSlack + stallSlack + 3*time.Second))
	if _, err := c.reader.Peek(1); err != nil {
		c.closeConn()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("no response %v after the deadline", time.Since(deadline))
		}
		return fmt.Errorf("%w: %w", errNoResponse, err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.closeConn()
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.closeConn()
		return err
	}
	env.checker.recordResponse(id, resp.StatusCode, string(body), time.Since(deadline), c.sidecar.excusedSince(startedAt))
	if resp.Close {
		c.closeConn()
	}
	return nil
}

// requestText returns the complete text of an HTTP request. remaining is sent as Request-Timeout.
func requestText(id string, requestClass class, remaining time.Duration) []byte {
	method, key, body := "POST", "", "{}"
	switch requestClass.idempotency {
	case idempotent:
		method, body = "GET", ""
	case idempotentByKey:
		key = "Idempotency-Key: " + id + "\r\n"
	}
	return fmt.Appendf(nil, "%s /api HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nTenant: north\r\nRequest-Timeout: %.3f\r\n%sContent-Length: %d\r\n\r\n%s",
		method, id, requestClass.name, remaining.Seconds(), key, len(body), body)
}

// write sends a request in one write, or in several if the client's behaviour is sendsInPieces. In the
// second case it calls beforeLast before the last write, because the request's deadline counts from there.
func (c *client) write(text []byte, behaviour clientBehaviour, beforeLast func()) error {
	if behaviour != sendsInPieces {
		_, err := c.conn.Write(text)
		return err
	}
	for len(text) > 0 {
		n := min(1+c.rng.IntN(len(text)), len(text))
		if n == len(text) {
			beforeLast()
		}
		if _, err := c.conn.Write(text[:n]); err != nil {
			return err
		}
		if text = text[n:]; len(text) > 0 {
			time.Sleep(time.Duration(c.rng.Int64N(int64(150 * time.Millisecond))))
		}
	}
	return nil
}

// sendPart sends a part of a request and waits for the sidecar to close the connection. The sidecar must
// do so, with or without an error response, within partialRequestTimeout.
func (c *client) sendPart(env *environment, id string, text []byte) error {
	startedAt := time.Now()
	c.conn.Write(text[:1+c.rng.IntN(len(text)-1)])
	c.conn.SetReadDeadline(startedAt.Add(2 * partialRequestTimeout))
	io.Copy(io.Discard, c.reader)
	c.closeConn()
	if elapsed := time.Since(startedAt); elapsed > partialRequestTimeout+env.checker.lag.slack() &&
		!c.sidecar.excusedSince(startedAt) {
		env.checker.addViolation(PartialRequest, "%s: the connection of an incomplete request closed %v after its first byte",
			id, elapsed)
	}
	return nil
}
