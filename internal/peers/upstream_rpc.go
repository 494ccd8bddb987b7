package peers

import (
	"net"
	"strings"
	"sync"
	"time"

	"mothridge/internal/msgrpc"
)

const (
	rpcReadTimeout = 10 * time.Second // limit for reading the rest of a frame after its first byte
	rpcHangTime    = time.Hour        // time after which Hang responds
	// unsolicitedIDOffset is added to a request's id to get the id of a response to no request.
	unsolicitedIDOffset = 1000
)

// rpcServerConn is one connection of a MessagePack-RPC upstream. The goroutine that reads the
// connection responds to requests that need no wait. Each other request has a goroutine that ends
// when the request is responded to or cancelled, or when the connection ends or the upstream closes.
// serveRPC waits for these goroutines.
type rpcServerConn struct {
	upstream *Upstream
	conn     net.Conn
	closed   chan struct{} // closed when serveRPC stops reading
	wg       sync.WaitGroup

	mu        sync.Mutex
	cancelled map[uint32]chan struct{} // by id of the waiting requests; closed on a cancel notification
}

// serveRPC serves one MessagePack-RPC connection.
func (u *Upstream) serveRPC(conn net.Conn) {
	framer := msgrpc.NewFramer(conn, msgrpc.MaxRequestBytes, rpcReadTimeout)
	c := &rpcServerConn{
		upstream:  u,
		conn:      conn,
		closed:    make(chan struct{}),
		cancelled: make(map[uint32]chan struct{}),
	}
	defer c.wg.Wait()
	defer close(c.closed)
	for {
		frame, err := framer.Next()
		if err != nil {
			return
		}
		message, err := msgrpc.Parse(frame)
		if err != nil {
			return
		}
		if !c.handleMessage(message) {
			return
		}
	}
}

// handleMessage handles one message. It returns false if the connection must be closed.
func (c *rpcServerConn) handleMessage(message msgrpc.Message) bool {
	if message.Type == msgrpc.Notification && string(message.Method) == msgrpc.MethodCancel {
		c.handleCancel(message)
		return true
	}
	if message.Type != msgrpc.Request {
		return true
	}
	if string(message.Method) == msgrpc.MethodProbe {
		report := msgrpc.Result{InFlight: float64(c.upstream.inFlight.Load())}
		return c.write(report.Append(nil, message.ID))
	}
	request, err := msgrpc.ParseCall(message.Params)
	if err != nil {
		return c.writeFault(message.ID, msgrpc.Fault{Kind: msgrpc.KindRejected, Text: err.Error()})
	}
	return c.handleCall(message.ID, rpcCall(request))
}

// handleCancel cancels a waiting request, unless the upstream ignores cancel notifications.
func (c *rpcServerConn) handleCancel(message msgrpc.Message) {
	c.upstream.cancels.Add(1)
	id, err := msgrpc.ParseCancel(message.Params)
	if err != nil || c.upstream.ignoreCancels.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancelled := c.cancelled[id]; cancelled != nil {
		delete(c.cancelled, id)
		close(cancelled)
	}
}

// rpcCall converts a decoded request to a Call.
func rpcCall(request *msgrpc.Call) Call {
	return Call{
		ID:             request.ID,
		Class:          request.Class,
		Tenant:         request.Tenant,
		IdempotencyKey: request.IdempotencyKey,
		Timeout:        request.Timeout,
		Body:           request.Body,
		HeaderValue:    func(name string) string { return strings.Join(request.Fields[name], ",") },
	}
}

// handleCall responds to a request as the script decides. It returns false if the connection must
// be closed.
func (c *rpcServerConn) handleCall(id uint32, call Call) bool {
	c.upstream.inFlight.Add(1)
	response := c.upstream.decide(call)
	if respondsAtOnce(response) {
		defer c.upstream.inFlight.Add(-1)
		return c.respond(id, response)
	}
	cancelled := make(chan struct{})
	c.mu.Lock()
	c.cancelled[id] = cancelled
	c.mu.Unlock()
	c.wg.Go(func() {
		defer c.upstream.inFlight.Add(-1)
		c.respondLater(id, response, cancelled)
	})
	return true
}

// respondsAtOnce reports whether a response needs no wait.
func respondsAtOnce(response Response) bool {
	return response.Action != Hang && response.Delay == 0 && response.WaitForAction == nil
}

// respondLater responds after the response's Delay or WaitForAction, unless the request is cancelled first.
func (c *rpcServerConn) respondLater(id uint32, response Response, cancelled <-chan struct{}) {
	if response.Action == Hang {
		response.Delay = rpcHangTime
	}
	timer := time.NewTimer(response.Delay)
	defer timer.Stop()
	ready := timer.C
	if response.WaitForAction != nil {
		waited := make(chan time.Time, 1)
		ready = waited
		c.wg.Go(func() {
			response.Action = response.WaitForAction(cancelled)
			waited <- time.Time{}
		})
	}
	select {
	case <-ready:
		c.mu.Lock()
		delete(c.cancelled, id)
		c.mu.Unlock()
		if !c.respond(id, response) {
			c.conn.Close()
		}
	case <-cancelled:
		c.writeFault(id, msgrpc.Fault{Kind: msgrpc.KindCancelled})
	case <-c.closed:
	case <-c.upstream.closing:
	}
}

// respond performs a response action. It returns false if the connection must be closed.
func (c *rpcServerConn) respond(id uint32, response Response) bool {
	result := msgrpc.Result{Body: response.Body, InFlight: -1}
	switch response.Action {
	case Error:
		return c.writeFault(id, msgrpc.Fault{Kind: msgrpc.KindError})
	case Reject:
		return c.writeFault(id, msgrpc.Fault{Kind: msgrpc.KindNotStarted})
	case Reset:
		resetOnClose(c.conn)
		return false
	case Truncate:
		message := result.Append(nil, id)
		c.write(message[:min(response.TruncateAt, len(message)-1)])
		return false
	case Duplicate:
		second := msgrpc.Result{Body: []byte(duplicateBody), InFlight: -1}
		return c.write(second.Append(result.Append(nil, id), id))
	case Unsolicited:
		unsolicited := msgrpc.Result{Body: []byte(unsolicitedBody), InFlight: -1}
		return c.write(result.Append(unsolicited.Append(nil, id+unsolicitedIDOffset), id))
	case Malformed:
		c.write([]byte{0xc1, 0xc1, 0xc1}) // 0xc1 is never used in MessagePack
		return false
	default:
		c.upstream.served.Add(1)
		result.Fields = rpcFields(response.HeaderFields)
		return c.write(result.Append(nil, id))
	}
}

func (c *rpcServerConn) writeFault(id uint32, fault msgrpc.Fault) bool {
	return c.write(fault.Append(nil, id))
}

// write writes a message with one call, so that messages from different goroutines are not interleaved.
// It returns false if the write fails.
func (c *rpcServerConn) write(message []byte) bool {
	_, err := c.conn.Write(message)
	return err == nil
}
