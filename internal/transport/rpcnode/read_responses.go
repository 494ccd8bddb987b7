package rpcnode

import (
	"fmt"
	"time"

	"mothridge/internal/msgrpc"
)

// responseReadTimeout is the maximum time for reading a response, from its first byte to its last.
const responseReadTimeout = 5 * time.Second

// readLoop is the reader goroutine: it handles messages until reading from the socket fails, and then
// removes the connection.
func (conn *connection) readLoop() {
	err := conn.readMessages()
	conn.fail(fmt.Errorf("read: %w", err))
	conn.upstream.removeConnection(conn)
	<-conn.upstream.transport.slots
}

// readMessages reads and handles messages. It returns the error that ended the reading.
func (conn *connection) readMessages() error {
	framer := msgrpc.NewFramer(conn.netConn, msgrpc.MaxResponseBytes, responseReadTimeout)
	for {
		frame, err := framer.Next()
		if err != nil {
			return err
		}
		conn.handleMessage(frame)
	}
}

func (conn *connection) handleMessage(frame []byte) {
	message, err := msgrpc.Parse(frame)
	switch {
	case err != nil:
		conn.upstream.transport.malformed.Add(1)
	case message.Type == msgrpc.Notification && string(message.Method) == msgrpc.MethodDrain:
		conn.drain()
	case message.Type == msgrpc.Response:
		conn.handleResponse(&message)
	default: // upstreams send no requests
		conn.upstream.transport.malformed.Add(1)
	}
}

func (conn *connection) handleResponse(message *msgrpc.Message) {
	request := conn.findRequest(message.ID)
	if request != nil {
		conn.complete(request, parseCompletion(message)) // parsed without the lock
	}
}

// findRequest returns the request that a response belongs to. If there is none, it counts the response
// as late or unknown and returns nil.
func (conn *connection) findRequest(id uint32) *pendingRequest {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.lastReadAt = time.Now()
	request := conn.waiting[id]
	if request != nil && request.state != requestQueued {
		return request
	}
	// A request that is still queued cannot have a response: such a response counts as unknown.
	if _, isAbandoned := conn.abandoned[id]; isAbandoned {
		delete(conn.abandoned, id)
		conn.upstream.transport.late.Add(1)
	} else {
		conn.upstream.transport.unknown.Add(1)
	}
	return nil
}

func parseCompletion(message *msgrpc.Message) (completed completion) {
	if message.Fault != nil {
		completed.fault, completed.err = msgrpc.ParseFault(message.Fault)
	} else {
		completed.result, completed.err = msgrpc.ParseResult(message.Result)
	}
	return completed
}

// complete ends a request with its completion, unless the request was abandoned or its connection failed
// after the call of findRequest.
func (conn *connection) complete(request *pendingRequest, completed completion) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.waiting[request.id] != request {
		delete(conn.abandoned, request.id)
		conn.upstream.transport.late.Add(1)
		return
	}
	delete(conn.waiting, request.id)
	request.completion <- completed
	conn.checkIdleLocked()
}
