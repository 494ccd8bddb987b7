package httpfront

import (
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/sockets"
)

// closeReason is why a connection was closed; the names stand in the metrics.
type closeReason int

const (
	closedByServer   closeReason = iota // by net/http: after a response, an error, a timeout or a disconnect
	closedIdle                          // too many were idle, or it was evicted as idle
	closedDrain                         // it was idle in a drain
	closedSilent                        // nothing had come on it at shutdown
	closedUnfinished                    // evicted as silent or with a request that was read for long
	closedTruncated                     // a response without a length could not be written completely
	closeReasonCount
)

const (
	// evictionLingerTimeout replaces frontend.LingerTimeout where a new connection waits.
	evictionLingerTimeout = 20 * time.Millisecond
	// maxLingerBytes bounds what is read from a connection that is closed.
	maxLingerBytes = 4 * maxReadAheadBytes
)

// closeIdle closes the connection unless a request of it has started; it reports whether
// it did.
func (conn *clientConn) closeIdle(linger time.Duration, reason closeReason) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.isIdleLocked() {
		return false
	}
	conn.shutLocked(linger, reason)
	return true
}

// closeUnfinished closes the connection at once unless a request of it is being served,
// also one on which a request has started; it reports whether it did.
func (conn *clientConn) closeUnfinished() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != connReading {
		return false
	}
	conn.shutLocked(0, closedUnfinished) // no response can be on its way
	return true
}

// Close implements net.Conn; net/http calls it last. It does not block.
func (conn *clientConn) Close() error {
	conn.close(frontend.LingerTimeout, closedByServer)
	return nil
}

// reset closes the connection so that its client does not take it for an orderly close.
func (conn *clientConn) reset() {
	_ = conn.SetLinger(0)
	conn.close(0, closedTruncated)
}

func (conn *clientConn) close(linger time.Duration, reason closeReason) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != connClosed {
		conn.shutLocked(linger, reason)
	}
}

// shutLocked closes the connection, which must be open, without losing what was written to
// the client, and does not wait for that. From now on net/http reads nothing more from
// it, so that no request is served that comes after the shutdown. conn.mu is held.
func (conn *clientConn) shutLocked(linger time.Duration, reason closeReason) {
	conn.closeReason = reason
	conn.state = connClosed
	if conn.peerClosed.Load() { // nothing can be lost
		linger = 0
	}
	if linger > 0 && conn.CloseWrite() != nil {
		linger = 0
	}
	go conn.lingerAndClose(linger) // the caller may hold the listener's lock, which onClosed takes
}

func (conn *clientConn) lingerAndClose(linger time.Duration) {
	if linger > 0 {
		sockets.Linger(conn.TCPConn, linger, maxLingerBytes)
	}
	_ = conn.TCPConn.Close()
	conn.onClosed(conn)
}
