package rpcnode

import (
	"fmt"
	"time"

	"mothridge/internal/msgrpc"
)

// responseReadTimeout bounds reading a response, from its first byte to its last.
const responseReadTimeout = 5 * time.Second

// readLoop is the reader: it handles messages until the socket ends, and removes the connection.
func (conn *connection) readLoop() {
	err := conn.readMessages()
	conn.fail(fmt.Errorf("read: %w", err))
	conn.upstream.forget(conn)
	<-conn.upstream.transport.slots
}

// readMessages returns the error that ended reading.
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
	case message.Kind == msgrpc.Notification && string(message.Method) == msgrpc.MethodDrain:
		conn.drain()
	case message.Kind == msgrpc.Response:
		conn.handleResponse(&message)
	default: // upstreams send no requests
		conn.upstream.transport.malformed.Add(1)
	}
}

func (conn *connection) handleResponse(message *msgrpc.Message) {
	request := conn.findRequest(message.ID)
	if request != nil {
		conn.complete(request, parseReply(message)) // parsed without the lock
	}
}

// findRequest returns the request that a response belongs to, or counts the response and returns
// nil.
func (conn *connection) findRequest(id uint32) *pendingRequest {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.lastReadAt = time.Now()
	request := conn.waiting[id]
	if request != nil && request.state != requestQueued {
		return request
	}
	// It is no response to a request that is still queued.
	if _, isAbandoned := conn.abandoned[id]; isAbandoned {
		delete(conn.abandoned, id)
		conn.upstream.transport.late.Add(1)
	} else {
		conn.upstream.transport.unknown.Add(1)
	}
	return nil
}

func parseReply(message *msgrpc.Message) (answer reply) {
	if message.Fault != nil {
		answer.fault, answer.err = msgrpc.ParseFault(message.Fault)
	} else {
		answer.result, answer.err = msgrpc.ParseResult(message.Result)
	}
	return answer
}

// complete ends a request with its response, unless it was abandoned or its connection failed
// since findRequest.
func (conn *connection) complete(request *pendingRequest, answer reply) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.waiting[request.id] != request {
		delete(conn.abandoned, request.id)
		conn.upstream.transport.late.Add(1)
		return
	}
	delete(conn.waiting, request.id)
	request.reply <- answer
	conn.onAnsweredLocked()
}
