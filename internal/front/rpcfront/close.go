package rpcfront

import (
	"mothridge/internal/front/frontend"
	"mothridge/internal/msgrpc"
	"mothridge/internal/sockets"
)

// maxLingerBytes bounds what is read from a connection that is closed.
const maxLingerBytes = 4 * msgrpc.MaxRequestBytes

// closeIdle closes the connection if it is idle. From then on no request of it is
// submitted, so that the client may send it again elsewhere.
func (conn *clientConn) closeIdle() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.isIdleLocked() {
		conn.state = connClosed
		conn.signalWriter()
	}
}

// abandonRequests closes the connection as the reader ends, and abandons the requests in
// flight.
func (conn *clientConn) abandonRequests() {
	conn.mu.Lock()
	conn.state = connClosed
	inFlight := conn.inFlight
	conn.inFlight = nil
	conn.responseQueue = nil
	conn.bufferedBytes = 0
	conn.mu.Unlock()
	conn.signalWriter()
	for _, request := range inFlight {
		conn.front.handler.Abandon(request)
	}
}

// closeSocket closes the socket as the writer ends, without losing what was written to the
// client; that ends the reader too. It blocks for frontend.LingerTimeout at most.
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
