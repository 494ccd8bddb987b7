package rpcfront

import (
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/msgrpc"
	"mothridge/internal/sockets"
)

// closeReason is the reason for which a connection was closed. Counters counts each reason.
type closeReason int

const (
	closedByClient    closeReason = iota // the client closed or reset it
	closedIdle                           // evicted while idle
	closedUnfinished                     // evicted while silent, or while a message was being read for too long
	closedDrain                          // idle during a shutdown
	closedInTransit                      // open when the time for the shutdown was over
	closedByViolation                    // the client violated the protocol, or was too slow with a message
	closedStalled                        // the client did not read its responses
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	closedByClient:    "closed by client",
	closedIdle:        "idle",
	closedUnfinished:  "unfinished message",
	closedDrain:       "drain",
	closedInTransit:   "end of shutdown",
	closedByViolation: "protocol violation",
	closedStalled:     "responses not read",
}

// String implements fmt.Stringer.
func (reason closeReason) String() string { return closeReasonNames[reason] }

// recordCloseReason records why the connection is about to be closed; the first reason is kept.
func (conn *clientConn) recordCloseReason(reason closeReason) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.recordCloseReasonLocked(reason)
}

func (conn *clientConn) recordCloseReasonLocked(reason closeReason) {
	if conn.closeReason == closedByClient {
		conn.closeReason = reason
	}
}

// maxLingerBytes is the maximum number of bytes read from a connection while it is being closed.
const maxLingerBytes = 4 * msgrpc.MaxRequestBytes

// closeIdle closes the connection if it is idle and nothing that the client has sent is unread. From then
// on, no request that arrives on the connection is submitted, so the client may safely send the request again on
// another connection. closeIdle reports whether it closed the connection.
func (conn *clientConn) closeIdle() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state == connClosed {
		return false
	}
	if !conn.isIdleLocked() || sockets.Inspect(conn.netConn) == sockets.Readable {
		return false
	}
	conn.closeLocked(frontend.EvictionLingerTimeout, closedIdle)
	return true
}

// closeUnfinished closes the connection at once if its client has sent nothing or a part of a message, no response is
// due, and the client has had its time for the rest. closeUnfinished reports whether it closed the connection.
func (conn *clientConn) closeUnfinished(now time.Time) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	isOverdue := frontend.IsUnfinishedOverdue(now, conn.messageStartedAt, conn.lastReadAt)
	if !conn.isUnfinishedLocked() || !isOverdue || !conn.reader.AwaitsPeerLocked() {
		return false
	}
	conn.closeLocked(0, closedUnfinished) // no response can be in transit
	return true
}

// isUnfinished reports whether the client has sent nothing yet or a part of a message, no response is due, and only the
// client can make progress.
func (conn *clientConn) isUnfinished() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.isUnfinishedLocked() && conn.reader.AwaitsPeerLocked()
}

func (conn *clientConn) isUnfinishedLocked() bool {
	return conn.state != connClosed && (conn.messageStarted || !conn.hasRead) && conn.owesNothingLocked()
}

// closeLocked closes the connection. The writer closes the socket, and reads it on for at most linger before that.
func (conn *clientConn) closeLocked(linger time.Duration, reason closeReason) {
	conn.recordCloseReasonLocked(reason)
	conn.state = connClosed
	conn.lingerTimeout = linger
	conn.signalWriter()
}

// isClosing reports whether the connection is closed, but its socket may still be open.
func (conn *clientConn) isClosing() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.state == connClosed
}

// abandonRequests closes the connection and abandons its requests in flight. It is called when the
// reader ends.
func (conn *clientConn) abandonRequests() {
	conn.mu.Lock()
	conn.state = connClosed
	inFlight := conn.inFlight
	conn.inFlight = nil
	conn.responseQueue = nil
	conn.bufferedBytes = 0
	conn.mu.Unlock()
	conn.signalWriter()
	conn.memory.Close()
	for _, open := range inFlight {
		conn.front.handler.Abandon(open.Request)
	}
}

// closeSocket closes the socket without losing bytes that were written to the client. It is called when
// the writer ends, and ends the reader too. It blocks for at most frontend.LingerTimeout, and until the reader has ended.
func (conn *clientConn) closeSocket() {
	conn.mu.Lock()
	conn.state = connClosed
	linger := conn.lingerTimeout
	conn.mu.Unlock()
	if halfCloser, ok := conn.netConn.(sockets.HalfCloser); ok && linger > 0 {
		_ = sockets.LingeringClose(halfCloser, linger, maxLingerBytes)
	} else {
		conn.netConn.Close()
	}
	<-conn.readerEnded
	conn.front.onConnEnded(conn)
}
