package rpcfront

import (
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
)

const (
	// maxMalformedMessages bounds the messages of a connection that cannot be handled: with
	// the last of them it is closed.
	maxMalformedMessages = 16
	// limitExceededRetryAfter is how long a client that has too many requests in flight is to wait.
	limitExceededRetryAfter = 100 * time.Millisecond
	// maxQueuedFactor bounds the responses that wait to be written, in multiples of
	// Config.MaxRequestsInFlight.
	maxQueuedFactor = 4
)

// handleMessage handles one message, on the reader's goroutine; false ends the connection.
func (conn *clientConn) handleMessage(frame []byte, arrival time.Time) bool {
	message, err := msgrpc.Parse(frame)
	if err != nil {
		return conn.onMalformed(err.Error())
	}
	switch message.Kind {
	case msgrpc.Response:
		return conn.onMalformed("a response, though nothing was asked")
	case msgrpc.Notification:
		return conn.handleNotification(&message)
	default: // Parse returns no further kind than msgrpc.Request
		return conn.handleRequest(&message, arrival)
	}
}

func (conn *clientConn) handleRequest(message *msgrpc.Message, arrival time.Time) bool {
	switch string(message.Method) {
	case msgrpc.MethodReady:
		conn.handleReady(message.ID)
		return true
	case msgrpc.MethodCall:
		return conn.handleCall(message, arrival)
	default:
		conn.rejectInvalid(message.ID, rejected("method: call and ready are known"))
		return true
	}
}

func (conn *clientConn) handleReady(id uint32) {
	ready := conn.front.handler.Ready() && !conn.front.isDraining()
	conn.queueResponse(queuedResponse{id: id, encoded: msgrpc.AppendReady(nil, id, ready)})
}

// handleCall submits a call's request, or answers it with an error; false ends the connection.
func (conn *clientConn) handleCall(message *msgrpc.Message, arrival time.Time) bool {
	front, id := conn.front, message.ID
	switch conn.checkLimits(id) {
	case duplicateID: // a response could not say which of the two it is for
		front.duplicateIDs.Add(1)
		return conn.notifyProtocolError("a request under a msgid that is open was passed over")
	case queueFull:
		front.stalled.Add(1)
		return false
	case limitExceeded:
		front.limitExceeded.Add(1)
		conn.queueFault(id, &msgrpc.Fault{
			Kind:       msgrpc.KindRefused,
			RetryAfter: limitExceededRetryAfter,
			Text:       "too many at once on one connection",
		})
		return true
	case withinLimits:
	}
	request, fault := front.readRequest(message.Params, arrival)
	if fault != nil {
		conn.rejectInvalid(id, fault)
		return true
	}
	request.Respond = func(result core.Response) { conn.respond(id, request, result) }
	request.ClientGone = func() bool { return conn.isAbandoned(id, request) }
	if !conn.beginRequest(id, request) {
		return false
	}
	front.submitted.Add(1)
	front.handler.Submit(request)
	return true
}

// limitCheck is whether a connection may have one more request.
type limitCheck int

const (
	withinLimits  limitCheck = iota
	duplicateID              // a request of that msgid is in flight
	queueFull                // the client goes on sending and reads no responses
	limitExceeded            // too many requests in flight, or too large responses unread
)

func (conn *clientConn) checkLimits(id uint32) limitCheck {
	config := &conn.front.config
	conn.mu.Lock()
	defer conn.mu.Unlock()
	_, inFlight := conn.inFlight[id]
	switch {
	case inFlight:
		return duplicateID
	case len(conn.responseQueue) >= maxQueuedFactor*config.MaxRequestsInFlight:
		return queueFull
	case len(conn.inFlight) >= config.MaxRequestsInFlight, conn.bufferedBytes > config.MaxBufferedResponseBytes:
		return limitExceeded
	}
	return withinLimits
}

// rejectInvalid answers a request that the client is to change.
func (conn *clientConn) rejectInvalid(id uint32, fault *msgrpc.Fault) {
	conn.front.invalidRequests.Add(1)
	conn.queueFault(id, fault)
}

func (conn *clientConn) handleNotification(message *msgrpc.Message) bool {
	if string(message.Method) != msgrpc.MethodCancel {
		return true // it may be of a later version
	}
	id, err := msgrpc.ParseCancel(message.Params)
	if err != nil {
		return conn.onMalformed("cancel: " + err.Error())
	}
	conn.cancel(id)
	return true
}

// cancel abandons a request and answers it; it does nothing where the request is not in flight.
func (conn *clientConn) cancel(id uint32) {
	conn.mu.Lock()
	request := conn.inFlight[id]
	delete(conn.inFlight, id)
	conn.mu.Unlock()
	if request == nil {
		return
	}
	conn.front.handler.Abandon(request)
	conn.queueFault(id, &msgrpc.Fault{Kind: msgrpc.KindCancelled})
}

// onMalformed handles a message that is none of the protocol; false ends the connection.
func (conn *clientConn) onMalformed(reason string) bool {
	conn.front.malformed.Add(1)
	return conn.notifyProtocolError(reason)
}

// notifyProtocolError notifies the client of a message that was ignored; false, which ends
// the connection, with the last of maxMalformedMessages.
func (conn *clientConn) notifyProtocolError(reason string) bool {
	conn.mu.Lock()
	conn.notifications = msgrpc.AppendProtocolError(conn.notifications, reason)
	conn.mu.Unlock()
	conn.signalWriter()
	conn.malformed++
	return conn.malformed < maxMalformedMessages
}
