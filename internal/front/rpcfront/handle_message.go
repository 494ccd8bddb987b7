package rpcfront

import (
	"log/slog"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
	"mothridge/internal/msgrpc"
)

const (
	// maxMalformedMessages is the number of messages that are malformed or reuse a msgid in flight
	// after which a connection is closed.
	maxMalformedMessages = 16
	// limitExceededRetryAfter is how long a client should wait after a request that was rejected
	// because the connection has too many requests in flight, or because there is no memory.
	limitExceededRetryAfter = 100 * time.Millisecond
	// maxQueuedFactor is the maximum number of responses that wait to be written, in multiples
	// of Config.MaxRequestsInFlight. Those of the requests in flight count already.
	maxQueuedFactor = 4
)

// handleMessage handles one message on the reader's goroutine. If it returns false, the connection
// must be closed.
func (conn *clientConn) handleMessage(frame []byte, arrival time.Time) bool {
	message, err := msgrpc.Parse(frame)
	if err != nil {
		return conn.onMalformed(err.Error())
	}
	switch message.Type {
	case msgrpc.Response:
		return conn.onMalformed("unexpected response: no request was sent to the client")
	case msgrpc.Notification:
		return conn.handleNotification(&message)
	default: // msgrpc.Request, the only other kind that Parse returns
		return conn.handleRequest(&message, arrival)
	}
}

func (conn *clientConn) handleRequest(message *msgrpc.Message, arrival time.Time) bool {
	if !conn.hasRoomForResponse() {
		return false
	}
	switch string(message.Method) {
	case msgrpc.MethodReady:
		conn.handleReady(message.ID)
		return true
	case msgrpc.MethodCall:
		return conn.handleCall(message, arrival)
	default:
		conn.rejectInvalid(message.ID, rejectedFault("method: must be call or ready"))
		return true
	}
}

func (conn *clientConn) handleReady(id uint32) {
	ready := conn.front.handler.Ready() && !conn.front.isDraining()
	conn.queueResponse(queuedResponse{id: id, encoded: msgrpc.AppendReady(nil, id, ready)})
}

// handleCall submits the request of a call, or responds to the call with an error. If it returns false,
// the connection must be closed.
func (conn *clientConn) handleCall(message *msgrpc.Message, arrival time.Time) bool {
	front, id := conn.front, message.ID
	if proceed, open := conn.enforceLimits(id); !proceed {
		return open
	}
	request, fault := front.readRequest(message.Params, arrival)
	if fault != nil {
		conn.rejectInvalid(id, fault)
		return true
	}
	open := openRequest{Request: request, chargedBytes: memoryOf(request)}
	if !conn.memory.Add(open.chargedBytes, 0) {
		conn.refuseWithoutMemory(id)
		return true
	}
	request.Respond = func(result core.Response) { conn.respond(id, request, result) }
	request.ClientDisconnected = func() bool { return conn.isAbandoned(id, request) }
	if !conn.beginRequest(id, open) {
		return false
	}
	front.submitted.Add(1)
	front.handler.Submit(request)
	return true
}

// handleDiscarded handles a message that found no memory, of which frame contains the first bytes. If it returns false, the
// connection must be closed.
func (conn *clientConn) handleDiscarded(frame []byte) bool {
	id, isRequest := msgrpc.ParseRequestID(frame)
	if !isRequest {
		return conn.onMalformed(msgrpc.ErrDiscarded.Error())
	}
	if !conn.hasRoomForResponse() {
		return false
	}
	proceed, open := conn.enforceLimits(id)
	if proceed {
		conn.refuseWithoutMemory(id)
	}
	return open
}

// enforceLimits responds to a request for which checkLimits finds that a limit is reached; it then returns false for proceed. If
// open is false, the connection must be closed.
func (conn *clientConn) enforceLimits(id uint32) (proceed, open bool) {
	front := conn.front
	switch conn.checkLimits(id) {
	case duplicateID: // a response could not be assigned to one of the two requests
		front.duplicateIDs.Add(1)
		return false, conn.notifyProtocolError("ignored a request: its msgid is already in flight")
	case limitExceeded:
		front.limitExceeded.Add(1)
		conn.flow.RecordUseless()
		conn.refuse(id, "too many requests in flight or unread responses on this connection")
		return false, true
	default: // withinLimits
		return true, true
	}
}

// refuseWithoutMemory responds to a request for which there is no memory.
func (conn *clientConn) refuseWithoutMemory(id uint32) {
	conn.front.outOfMemory.Add(1)
	conn.refuse(id, frontend.OutOfMemoryText)
}

// refuse responds to a call that was not submitted. A retry is harmless.
func (conn *clientConn) refuse(id uint32, text string) {
	conn.queueFault(id, &msgrpc.Fault{Kind: msgrpc.KindRefused, RetryAfter: limitExceededRetryAfter, Text: text})
}

// hasRoomForResponse reports whether the response to one more request may be queued. If not, the client continues to send but does
// not read its responses, and the connection must be closed.
func (conn *clientConn) hasRoomForResponse() bool {
	conn.mu.Lock()
	expected := len(conn.responseQueue) + len(conn.inFlight)
	conn.mu.Unlock()
	if expected < maxQueuedFactor*conn.front.config.MaxRequestsInFlight {
		return true
	}
	conn.front.stalled.Add(1)
	conn.recordCloseReason(closedStalled)
	return false
}

// limitCheck is the result of checking whether a connection may have one more request in flight.
type limitCheck int

const (
	withinLimits  limitCheck = iota
	duplicateID              // a request with the same msgid is in flight
	limitExceeded            // too many requests in flight, or too many bytes of unread responses
)

func (conn *clientConn) checkLimits(id uint32) limitCheck {
	config := &conn.front.config
	conn.mu.Lock()
	defer conn.mu.Unlock()
	_, inFlight := conn.inFlight[id]
	switch {
	case inFlight:
		return duplicateID
	case len(conn.inFlight) >= config.MaxRequestsInFlight, conn.bufferedBytes > config.MaxBufferedResponseBytes:
		return limitExceeded
	}
	return withinLimits
}

// rejectInvalid responds to an invalid request with an error. The client must change the request.
func (conn *clientConn) rejectInvalid(id uint32, fault *msgrpc.Fault) {
	conn.front.invalidRequests.Add(1)
	conn.flow.RecordUseless()
	slog.Debug("invalid request", "client", conn.netConn.RemoteAddr(), "msgid", id, "reason", fault.Text)
	conn.queueFault(id, fault)
}

func (conn *clientConn) handleNotification(message *msgrpc.Message) bool {
	if string(message.Method) != msgrpc.MethodCancel {
		conn.flow.RecordUseless()
		return true // ignored: the notification may belong to a later protocol version
	}
	id, err := msgrpc.ParseCancel(message.Params)
	if err != nil {
		return conn.onMalformed("cancel: " + err.Error())
	}
	conn.cancel(id)
	return true
}

// cancel abandons a request in flight and responds with an error of kind msgrpc.KindCancelled. It
// does nothing if the request is not in flight.
func (conn *clientConn) cancel(id uint32) {
	conn.mu.Lock()
	open := conn.inFlight[id]
	delete(conn.inFlight, id)
	conn.mu.Unlock()
	if open.Request == nil {
		conn.flow.RecordUseless()
		return
	}
	conn.memory.Remove(open.chargedBytes)
	conn.front.handler.Abandon(open.Request)
	conn.queueFault(id, &msgrpc.Fault{Kind: msgrpc.KindCancelled})
}

// onMalformed counts a message that violates the protocol and notifies the client. If it returns
// false, the connection must be closed.
func (conn *clientConn) onMalformed(reason string) bool {
	conn.front.malformed.Add(1)
	return conn.notifyProtocolError(reason)
}

// notifyProtocolError notifies the client that a message was ignored, and why. It returns false if this
// was message number maxMalformedMessages; the connection must then be closed.
func (conn *clientConn) notifyProtocolError(reason string) bool {
	conn.flow.RecordUseless()
	conn.mu.Lock()
	conn.notifications = msgrpc.AppendProtocolError(conn.notifications, reason)
	conn.mu.Unlock()
	conn.signalWriter()
	slog.Debug("message violates the protocol", "client", conn.netConn.RemoteAddr(), "reason", reason)
	conn.malformed++
	if conn.malformed < maxMalformedMessages {
		return true
	}
	conn.recordCloseReason(closedByViolation)
	return false
}
