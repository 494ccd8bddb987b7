package peers

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/msgrpc"
)

// Outcome is how a request ended for its client.
type Outcome int

// The verdicts.
const (
	Served   Outcome = iota
	Rejected         // trying again is harmless
	Failed
	InvalidRequest // wrong, by the sidecar's word
	Lost           // no whole answer
)

func (v Outcome) String() string {
	return [...]string{"served", "refused", "failed", "rejected", "lost"}[v]
}

// Result is what a client got.
type Result struct {
	Outcome    Outcome
	RetryAfter time.Duration // refused: how long to stay away
	Body       []byte
	Text       string // why, where the answer says
	Err        error  // lost: what was seen
}

// Client sends requests to a sidecar. It is safe for concurrent use and never
// sends one twice.
type Client interface {
	Do(ctx context.Context, c Call) Result
	Close()
}

// NewClient makes one that speaks a protocol.
func NewClient(p Protocol, addr string) Client {
	if p == RPC {
		return &RPCClient{Addr: addr}
	}
	return &httpClient{addr: addr}
}

// httpClient keeps connections as the application does: one request at a time
// on each, another one when all are busy.
type httpClient struct {
	addr string
	mu   sync.Mutex
	idle []*httpConn
}

type httpConn struct {
	net.Conn
	in  *bufio.Reader
	out bytes.Buffer
}

func (h *httpClient) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.idle {
		c.Close()
	}
	h.idle = nil
}

func (h *httpClient) get(ctx context.Context) (c *httpConn, kept bool, err error) {
	h.mu.Lock()
	if n := len(h.idle); n > 0 {
		c, h.idle = h.idle[n-1], h.idle[:n-1]
	}
	h.mu.Unlock()
	if c != nil {
		return c, true, nil
	}
	nc, err := new(net.Dialer).DialContext(ctx, "tcp", h.addr)
	if err != nil {
		return nil, false, err
	}
	return &httpConn{Conn: nc, in: bufio.NewReader(nc)}, false, nil
}

func (h *httpClient) Do(ctx context.Context, call Call) Result {
	for {
		c, kept, err := h.get(ctx)
		if err != nil {
			return Result{Outcome: Lost, Err: err}
		}
		r, crossed := h.exchange(ctx, c, call)
		// The sidecar may close a kept connection between requests; one that
		// crosses that was not read, and goes out on another connection.
		if !crossed || !kept || ctx.Err() != nil {
			return r
		}
	}
}

func (h *httpClient) exchange(ctx context.Context, c *httpConn, call Call) (r Result, crossed bool) {
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	keep := false
	defer func() {
		if stop() && keep {
			h.mu.Lock()
			h.idle = append(h.idle, c)
			h.mu.Unlock()
		} else {
			c.Close()
		}
	}()
	c.out.Reset()
	call.writeHTTP(&c.out)
	if _, err := c.Write(c.out.Bytes()); err != nil {
		return Result{Outcome: Lost, Err: err}, true
	}
	if _, err := c.in.Peek(1); err != nil {
		return Result{Outcome: Lost, Err: err}, ctx.Err() == nil
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return Result{Outcome: Lost, Err: err}, false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{Outcome: Lost, Err: err}, false
	}
	keep = !resp.Close
	switch {
	case resp.StatusCode == http.StatusOK:
		return Result{Outcome: Served, Body: body}, false
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return Result{Outcome: Rejected, RetryAfter: time.Duration(s * 1e9)}, false
	case resp.StatusCode >= 500:
		return Result{Outcome: Failed, Text: resp.Status}, false
	}
	return Result{Outcome: InvalidRequest, Text: resp.Status}, false
}

func (c *Call) writeHTTP(b *bytes.Buffer) {
	method := http.MethodGet
	if c.IdempotencyKey != "" || c.NotIdempotent {
		method = http.MethodPost
	}
	fmt.Fprintf(b, "%s /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout: %.3f\r\n",
		method, c.ID, c.Class, c.Timeout.Seconds())
	field := func(name, value string) {
		if value != "" {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	field("Tenant", c.Tenant)
	field("Idempotency-Key", c.IdempotencyKey)
	if c.ClientRetry {
		field("Client-Retry", "1")
	}
	for name, value := range c.Fields {
		field(name, value)
	}
	if len(c.Body) > 0 || method == http.MethodPost {
		field("Content-Length", strconv.Itoa(len(c.Body)))
	}
	b.WriteString("\r\n")
	b.Write(c.Body)
}

// RPCClient carries many requests on one connection at a time, and opens
// another when that one ends or is asked to send nothing new.
type RPCClient struct {
	Addr string

	mu   sync.Mutex
	conn *rpcConn

	// UnexpectedMessages counts responses to ids that were not open, and notifications of
	// messages that the sidecar passed over.
	UnexpectedMessages atomic.Int64
}

type rpcConn struct {
	client *RPCClient
	nc     net.Conn
	out    sync.Mutex // one writer at a time
	mu     sync.Mutex
	next   uint32
	open   map[uint32]chan Result
	drain  bool
	err    error
}

// Close ends the connection.
func (r *RPCClient) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		r.conn.nc.Close()
		r.conn = nil
	}
}

func (r *RPCClient) get(ctx context.Context) (*rpcConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil && r.conn.usable() {
		return r.conn, nil
	}
	nc, err := new(net.Dialer).DialContext(ctx, "tcp", r.Addr)
	if err != nil {
		return nil, err
	}
	c := &rpcConn{client: r, nc: nc, open: make(map[uint32]chan Result)}
	r.conn = c
	go c.read()
	return c, nil
}

func (c *rpcConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && !c.drain
}

// Do sends one request and waits for its answer.
func (r *RPCClient) Do(ctx context.Context, call Call) Result {
	c, err := r.get(ctx)
	if err != nil {
		return Result{Outcome: Lost, Err: err}
	}
	m := msgrpc.Call{
		ID: call.ID, Class: call.Class, Tenant: call.Tenant, IdempotencyKey: call.IdempotencyKey, Timeout: call.Timeout, ClientRetry: call.ClientRetry, Target: "/api", Body: call.Body,
	}
	if len(call.Fields) > 0 {
		m.Fields = make(map[string][]string, len(call.Fields))
		for name, value := range call.Fields {
			m.Fields[name] = []string{value}
		}
	}
	done := make(chan Result, 1)
	c.mu.Lock()
	if err := c.err; err != nil {
		c.mu.Unlock()
		return Result{Outcome: Lost, Err: err}
	}
	id := c.next
	c.next++
	c.open[id] = done
	c.mu.Unlock()
	c.write(m.Append(nil, id))
	select {
	case res := <-done:
		return res
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.open, id)
		c.mu.Unlock()
		c.write(msgrpc.AppendCancel(nil, id))
		return Result{Outcome: Lost, Err: ctx.Err()}
	}
}

func (c *rpcConn) write(b []byte) {
	c.out.Lock()
	defer c.out.Unlock()
	c.nc.Write(b) // what goes wrong shows on the reader's side
}

func (c *rpcConn) read() {
	in := msgrpc.NewFramer(c.nc, msgrpc.MaxResponseBytes, 10*time.Second)
	for {
		frame, err := in.Next()
		if err == nil {
			err = c.take(frame)
		}
		if err != nil {
			c.mu.Lock()
			c.err = err
			open := c.open
			c.open = nil
			c.mu.Unlock()
			for _, done := range open {
				done <- Result{Outcome: Lost, Err: err}
			}
			c.nc.Close()
			return
		}
	}
}

func (c *rpcConn) take(frame []byte) error {
	m, err := msgrpc.Parse(frame)
	if err != nil {
		return err
	}
	if m.Kind == msgrpc.Notification {
		if string(m.Method) == msgrpc.MethodDrain {
			c.mu.Lock()
			c.drain = true
			c.mu.Unlock()
			return nil
		}
		c.client.UnexpectedMessages.Add(1)
		return nil
	}
	if m.Kind != msgrpc.Response {
		return errors.New("the sidecar sent a request")
	}
	c.mu.Lock()
	done := c.open[m.ID]
	delete(c.open, m.ID)
	idle := c.drain && len(c.open) == 0
	c.mu.Unlock()
	if done == nil {
		c.client.UnexpectedMessages.Add(1)
		return nil
	}
	done <- rpcResult(m)
	if idle {
		return errors.New("drained")
	}
	return nil
}

func rpcResult(m msgrpc.Message) Result {
	if m.Fault == nil {
		r, err := msgrpc.ParseResult(m.Result)
		if err != nil {
			return Result{Outcome: Lost, Err: err}
		}
		return Result{Outcome: Served, Body: r.Body}
	}
	f, err := msgrpc.ParseFault(m.Fault)
	if err != nil {
		return Result{Outcome: Lost, Err: err}
	}
	switch f.Kind {
	case msgrpc.KindRefused:
		return Result{Outcome: Rejected, RetryAfter: f.RetryAfter, Text: f.Text}
	case msgrpc.KindRejected, msgrpc.KindDuplicate:
		return Result{Outcome: InvalidRequest, Text: f.Kind + " " + f.Text}
	}
	return Result{Outcome: Failed, Text: f.Kind + " " + f.Text}
}
