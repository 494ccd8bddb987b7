package peers

import (
	"context"
	"errors"
	"net"
	"sync"

	"mothridge/internal/msgrpc"
)

// Errors that end a connection of an rpcClient.
var (
	errRequestFromServer = errors.New("unexpected request from the sidecar")
	errDrained           = errors.New("drained")
)

// rpcClient sends its requests on one MessagePack-RPC connection at a time. It opens another
// connection when the current one has ended or is draining. rpcClient is safe for concurrent use.
type rpcClient struct {
	addr string

	mu   sync.Mutex
	conn *rpcClientConn
}

// rpcClientConn is one connection of an rpcClient. Its goroutine reads responses until the
// connection fails, has drained or is closed. Nothing waits for the goroutine to end.
type rpcClientConn struct {
	conn    net.Conn
	writing sync.Mutex // locked during each write

	mu       sync.Mutex
	nextID   uint32
	inFlight map[uint32]chan Result
	draining bool
	err      error // why the connection ended; nil while it is open
}

// Close closes the connection. Requests in flight end as Lost.
func (r *rpcClient) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		r.conn.conn.Close()
		r.conn = nil
	}
}

// connect returns the current connection, or a new one if the current one accepts no more requests.
func (r *rpcClient) connect(ctx context.Context) (*rpcClientConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil && r.conn.usable() {
		return r.conn, nil
	}
	netConn, err := new(net.Dialer).DialContext(ctx, "tcp", r.addr)
	if err != nil {
		return nil, err
	}
	r.conn = &rpcClientConn{conn: netConn, inFlight: make(map[uint32]chan Result)}
	go r.conn.readResponses()
	return r.conn, nil
}

// usable reports whether the connection accepts further requests.
func (c *rpcClientConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && !c.draining
}

// Do sends a request and blocks until the response arrives. When ctx ends, Do cancels the request.
func (r *rpcClient) Do(ctx context.Context, call Call) Result {
	conn, err := r.connect(ctx)
	if err != nil {
		return lost(err)
	}
	id, done, err := conn.register()
	if err != nil {
		return lost(err)
	}
	message := call.rpc()
	conn.write(message.Append(nil, id))
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
		conn.unregister(id)
		conn.write(msgrpc.AppendCancel(nil, id))
		return lost(ctx.Err())
	}
}

// rpc returns the call in the form that MessagePack-RPC encodes.
func (c *Call) rpc() msgrpc.Call {
	message := msgrpc.Call{
		ID:             c.ID,
		Class:          c.Class,
		Tenant:         c.Tenant,
		IdempotencyKey: c.IdempotencyKey,
		Timeout:        c.Timeout,
		ClientRetry:    c.ClientRetry,
		Target:         "/api",
		Body:           c.Body,
	}
	message.Fields = rpcFields(c.HeaderFields)
	return message
}

// rpcFields converts header fields to the form of a message, nil if there are none.
func rpcFields(headerFields map[string]string) map[string][]string {
	if len(headerFields) == 0 {
		return nil
	}
	fields := make(map[string][]string, len(headerFields))
	for name, value := range headerFields {
		fields[name] = []string{value}
	}
	return fields
}

// register reserves an id for a request. The request's result is sent to done.
func (c *rpcClientConn) register() (id uint32, done <-chan Result, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, nil, c.err
	}
	id = c.nextID
	c.nextID++
	result := make(chan Result, 1)
	c.inFlight[id] = result
	return id, result, nil
}

// unregister removes a request; a later response to its id is ignored.
func (c *rpcClientConn) unregister(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, id)
}

func (c *rpcClientConn) write(message []byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = c.conn.Write(message) // if the write fails, readResponses fails too and ends the connection
}

// readResponses handles the sidecar's messages until the connection ends.
func (c *rpcClientConn) readResponses() {
	framer := msgrpc.NewFramer(c.conn, msgrpc.MaxResponseBytes, rpcReadTimeout)
	for {
		frame, err := framer.Next()
		if err == nil {
			err = c.handleFrame(frame)
		}
		if err != nil {
			c.end(err)
			return
		}
	}
}

// end completes the requests in flight as Lost with err and closes the connection.
func (c *rpcClientConn) end(err error) {
	c.mu.Lock()
	c.err = err
	inFlight := c.inFlight
	c.inFlight = nil
	c.mu.Unlock()
	for _, done := range inFlight {
		done <- lost(err)
	}
	c.conn.Close()
}

// handleFrame handles a message from the sidecar. An error ends the connection.
func (c *rpcClientConn) handleFrame(frame []byte) error {
	message, err := msgrpc.Parse(frame)
	if err != nil {
		return err
	}
	switch message.Type {
	case msgrpc.Notification:
		c.handleNotification(message)
		return nil
	case msgrpc.Response:
		return c.handleResponse(message)
	default:
		return errRequestFromServer
	}
}

// handleNotification marks the connection as draining on a drain notification. It ignores the other
// notifications, which report messages that the sidecar skipped.
func (c *rpcClientConn) handleNotification(message msgrpc.Message) {
	if string(message.Method) != msgrpc.MethodDrain {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// handleResponse completes a request. It ignores a response whose id is not in flight, and returns
// errDrained after the last response on a draining connection.
func (c *rpcClientConn) handleResponse(message msgrpc.Message) error {
	c.mu.Lock()
	done := c.inFlight[message.ID]
	delete(c.inFlight, message.ID)
	drained := c.draining && len(c.inFlight) == 0
	c.mu.Unlock()
	if done == nil {
		return nil
	}
	done <- rpcResult(message)
	if drained {
		return errDrained
	}
	return nil
}

// rpcResult converts a response to a Result by the kind of its fault.
func rpcResult(message msgrpc.Message) Result {
	if message.Fault == nil {
		result, err := msgrpc.ParseResult(message.Result)
		if err != nil {
			return lost(err)
		}
		return Result{Outcome: Served, Body: result.Body, HeaderFields: result.Fields}
	}
	fault, err := msgrpc.ParseFault(message.Fault)
	if err != nil {
		return lost(err)
	}
	switch fault.Kind {
	case msgrpc.KindRefused:
		return Result{Outcome: Rejected, RetryAfter: fault.RetryAfter, Text: fault.Text}
	case msgrpc.KindRejected, msgrpc.KindDuplicate:
		return Result{Outcome: InvalidRequest, Text: fault.Kind + " " + fault.Text}
	}
	return Result{Outcome: Failed, Text: fault.Kind + " " + fault.Text}
}
