package httpfront

import (
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/sockets"
)

// closeReason is the reason for which a connection was closed. Counters counts
// each reason, and the metrics contain these counts.
type closeReason int

const (
	closedByServer   closeReason = iota // by net/http: after a response, an error, a timeout or a disconnect
	closedIdle                          // too many connections were idle, or the idle connection was evicted
	closedDrain                         // the connection was idle during a drain
	closedSilent                        // no bytes had been received when the front end shut down
	closedUnfinished                    // evicted while silent, or while a request was being read for too long
	closedTruncated                     // a response without a length could not be written completely
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	closedByServer:   "closed by net/http",
	closedIdle:       "idle",
	closedDrain:      "drain",
	closedSilent:     "silent at shutdown",
	closedUnfinished: "unfinished request",
	closedTruncated:  "response cut off",
}

// String implements fmt.Stringer.
func (reason closeReason) String() string { return closeReasonNames[reason] }

// maxLingerBytes is the maximum number of bytes read from a connection while it is being closed.
const maxLingerBytes = 4 * maxReadAheadBytes

// closeIdle closes the connection if it is open and no request has started on it. The bytes of a request
// may still be unread. closeIdle reports whether it closed the connection.
func (conn *clientConn) closeIdle(linger time.Duration, reason closeReason) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.isIdleLocked() || sockets.Inspect(conn.TCPConn) == sockets.Readable {
		return false
	}
	conn.closeLocked(linger, reason)
	return true
}

// closeUnfinished closes the connection at once if its client has sent nothing or a part of a request, and has
// had its time for the rest. startedAt is when the client could begin to send. closeUnfinished reports whether it
// closed the connection.
func (conn *clientConn) closeUnfinished(now, startedAt time.Time) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != connReading {
		return false
	}
	if !conn.writeClosedAt.IsZero() { // after an invalid request, whose rest may still be read
		conn.closeLocked(max(0, frontend.EvictionLingerTimeout-now.Sub(conn.writeClosedAt)), closedUnfinished)
		return true
	}
	isOverdue := frontend.IsUnfinishedOverdue(now, startedAt, conn.lastByteAt)
	if !isOverdue || !conn.reader.AwaitsPeerLocked() {
		return false
	}
	conn.closeLocked(0, closedUnfinished) // no response can be in transit
	return true
}

// Close implements net.Conn. It is the last method that net/http calls, and it does not block.
func (conn *clientConn) Close() error {
	conn.close(frontend.LingerTimeout, closedByServer)
	return nil
}

// reset closes the connection with a TCP reset, so that the client does not mistake this for an
// orderly close.
func (conn *clientConn) reset() {
	_ = conn.SetLinger(0)
	conn.close(0, closedTruncated)
}

func (conn *clientConn) close(linger time.Duration, reason closeReason) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != connClosed {
		conn.closeLocked(linger, reason)
	}
}

// closeLocked closes the connection, which must be open, without losing bytes that were written to
// the client. The socket is closed in the background. From this call on, net/http reads no bytes
// from the connection, so a request that arrives later is not served. The caller holds conn.mu.
func (conn *clientConn) closeLocked(linger time.Duration, reason closeReason) {
	conn.closeReason = reason
	conn.state = connClosed
	conn.memory.Close()
	if conn.peerClosed.Load() { // there is no client left that could lose a response
		linger = 0
	}
	if linger > 0 && conn.TCPConn.CloseWrite() != nil {
		linger = 0
	}
	go conn.lingerAndClose(linger, conn.lingerSkipped) // asynchronous: onClosed locks the listener, which the caller may hold
}

// skipLinger records that the end of what the client sends cannot be reached, so that reading on is of no use. The client has
// frontend.EvictionLingerTimeout to receive the response before the connection is reset.
func (conn *clientConn) skipLinger() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.lingerSkipped = true
}

func (conn *clientConn) lingerAndClose(linger time.Duration, skipped bool) {
	switch {
	case linger > 0 && skipped:
		time.Sleep(min(linger, frontend.EvictionLingerTimeout))
	case linger > 0:
		sockets.Linger(conn.TCPConn, linger, maxLingerBytes)
	}
	_ = conn.TCPConn.Close()
	conn.onClosed(conn)
}
