package rpcfront

import (
	"mothridge/internal/front/frontend"
	"mothridge/internal/msgrpc"
	"mothridge/internal/sockets"
)

// maxLingerBytes is the maximum number of bytes read from a connection while it is being closed.
const maxLingerBytes = 4 * msgrpc.MaxRequestBytes

// closeIdle closes the connection if it is idle and nothing that the client has sent is unread. From then
// on, no request that arrives on the connection is submitted, so the client may safely send the request again on
// another connection. closeIdle reports whether the connection is closed.
func (conn *clientConn) closeIdle() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state == connClosed {
		return true
	}
	if !conn.isIdleLocked() || sockets.Inspect(conn.netConn) == sockets.InUse {
		return false
	}
	conn.state = connClosed
	conn.signalWriter()
	return true
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
// the writer ends, and ends the reader too. It blocks for at most frontend.LingerTimeout.
func (conn *clientConn) closeSocket() {
	conn.mu.Lock()
	conn.state = connClosed
	conn.mu.Unlock()
	if halfCloser, ok := conn.netConn.(sockets.HalfCloser); ok {
		_ = sockets.LingeringClose(halfCloser, frontend.LingerTimeout, maxLingerBytes)
	} else {
		conn.netConn.Close()
	}
	conn.front.onConnClosed(conn)
}
