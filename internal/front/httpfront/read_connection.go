package httpfront

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/http1"
	"mothridge/internal/sockets"
)

// maxReadAheadBytes is the maximum number of bytes that are buffered while another request is being
// served: one request of the largest size. If more bytes arrive, they are dropped, and the connection is closed
// after the response.
const maxReadAheadBytes = http1.MaxRequestBodyBytes + maxHeaderBytes

// readAheadChunkBytes is the maximum number of bytes that one read takes while a request is served.
const readAheadChunkBytes = 1 << 10

// discardChunkBytes is the maximum number of bytes that are dropped by one read.
const discardChunkBytes = 16 << 10

// Read implements net.Conn; it is not called concurrently. During a request, net/http reads one byte
// to detect that the client disconnects; see watchForClose.
func (conn *clientConn) Read(buffer []byte) (int, error) {
	if len(buffer) == 1 && conn.netHTTPActive.Load() {
		return conn.watchForClose(buffer)
	}
	count, err := conn.readBuffered(buffer)
	if count == 0 || conn.netHTTPActive.Load() {
		return count, err
	}
	switch size, lines := conn.framing.HeadSize(); {
	case lines > maxHeadLines:
		return 0, conn.rejectHead(http.StatusRequestHeaderFieldsTooLarge, "")
	case !conn.chargeHead(size, lines):
		return 0, conn.rejectHeadWithoutMemory()
	}
	return count, err
}

// readBuffered reads the bytes that were read ahead, or else from the socket.
func (conn *clientConn) readBuffered(buffer []byte) (int, error) {
	if count := conn.takeReadAhead(buffer); count > 0 {
		return count, nil
	}
	conn.readAhead = nil
	conn.memory.Remove(conn.chargedReadAheadBytes)
	conn.chargedReadAheadBytes = 0
	conn.flow.AwaitRead()
	return conn.readSocket(buffer)
}

// readSocket reads from the socket. The first byte of a request starts the read timeout of that
// request, which replaces the deadline that was set before.
func (conn *clientConn) readSocket(buffer []byte) (int, error) {
	count, err := conn.reader.Read(buffer)
	if conn.requestStarted {
		conn.requestStarted = false
		_ = conn.SetReadDeadline(time.Time{})
	}
	if count > 0 {
		conn.framing.Observe(buffer[:count])
		conn.recordArrival(time.Now())
	}
	conn.recordPeerError(err)
	return count, err
}

// recordPeerError records that the client has disconnected if a read failed for that reason, and not because of a
// deadline or because this process closed the connection. err may be nil.
func (conn *clientConn) recordPeerError(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		conn.peerClosed.Store(true)
	}
}

// onRead records that bytes were read. It returns false if the connection is closed, and the bytes
// are then dropped. The caller holds conn.mu.
func (conn *clientConn) onRead(count int) (accepted bool) {
	if count == 0 {
		return conn.state != connClosed
	}
	conn.lastByteAt = time.Now()
	if conn.isIdleLocked() {
		conn.requestStartedAt = conn.lastByteAt
		conn.requestStarted = true
	}
	return conn.state != connClosed
}

// isIdleLocked reports whether the connection is open and no byte has been received since the last
// response, if any. The caller holds conn.mu.
func (conn *clientConn) isIdleLocked() bool {
	return conn.state == connReading && conn.requestStartedAt.IsZero()
}

// watchForClose implements the one-byte read that net/http makes during a request. It returns an
// error if the client disconnects. Because unread bytes would hide a disconnect, watchForClose
// continues to read and buffers the bytes. It returns one of them after net/http has interrupted the
// read with a deadline. Bytes beyond maxReadAheadBytes are dropped. If there is no memory for more, it returns one
// too, and the rest stays unread until the response.
func (conn *clientConn) watchForClose(buffer []byte) (int, error) {
	if len(conn.readAhead) == 0 { // usually no bytes arrive, so this path allocates no memory
		conn.flow.ChargeRead()
		count, err := conn.readSocket(buffer)
		if count == 0 {
			return count, err
		}
		conn.readAhead = append(conn.readAhead, buffer[0])
	}
	for !conn.interrupted.Load() {
		var chunk [readAheadChunkBytes]byte
		conn.flow.AwaitReadAhead()
		count, err := conn.readSocket(chunk[:min(len(chunk), maxReadAheadBytes-len(conn.readAhead))])
		conn.readAhead = append(conn.readAhead, chunk[:count]...)
		if err != nil && conn.peerClosed.Load() {
			return 0, err
		}
		if hasMemory := conn.chargeReadAhead(count); err != nil || !hasMemory {
			break
		}
		if len(conn.readAhead) == maxReadAheadBytes {
			return conn.discardUntilClose(buffer)
		}
	}
	return conn.takeReadAhead(buffer), nil
}

const (
	// discardBurstBytes is how many bytes discardUntilClose drops before it pauses for discardPause, so that a
	// client that sends without an end takes little processor time.
	discardBurstBytes = 64 << 10
	discardPause      = time.Millisecond
)

// discardUntilClose drops what the client sends behind the current request, so that its disconnect is seen, until
// the request has its response. The response announces the close of the connection, so that the bytes need no parsing.
func (conn *clientConn) discardUntilClose(buffer []byte) (int, error) {
	if !conn.beginDiscarding() {
		return conn.takeReadAhead(buffer), nil
	}
	conn.readAhead = nil
	conn.memory.Remove(conn.chargedReadAheadBytes)
	conn.chargedReadAheadBytes = 0
	for burst := 0; !conn.interrupted.Load(); {
		var chunk [discardChunkBytes]byte
		conn.flow.AwaitReadAhead()
		count, err := conn.reader.Read(chunk[:])
		if err != nil {
			conn.recordPeerError(err)
			return 0, err
		}
		if burst += count; burst >= discardBurstBytes {
			burst = 0
			time.Sleep(discardPause)
		}
	}
	return 0, os.ErrDeadlineExceeded
}

// takeReadAhead moves buffered bytes into buffer and returns their number.
func (conn *clientConn) takeReadAhead(buffer []byte) int {
	count := copy(buffer, conn.readAhead)
	conn.readAhead = conn.readAhead[count:]
	return count
}

// hasClientDisconnected reports whether the client has disconnected. It may be called from any
// goroutine and does not block. It also checks the socket, because watchForClose may detect a
// disconnect later.
func (conn *clientConn) hasClientDisconnected() bool {
	return conn.peerClosed.Load() || sockets.PeerClosed(conn.TCPConn)
}

// recordArrival records the arrival time of the bytes that were just read.
func (conn *clientConn) recordArrival(now time.Time) {
	arrival := frontend.EarliestArrival(now, conn.reader, conn.earliestArrival)
	conn.lastReadAt.Store(int64(arrival.Sub(conn.acceptedAt)))
	conn.hasRead.Store(true)
}

// arrivalTime returns the arrival time of the request whose header was just parsed. A request that
// arrived while another one was served has waited, and the client counts this time as part of the
// request's timeout.
func (conn *clientConn) arrivalTime(now time.Time) time.Time {
	lastRead := conn.acceptedAt.Add(time.Duration(conn.lastReadAt.Load()))
	if lastRead.Before(now) && conn.hasRead.Load() {
		return lastRead
	}
	return now
}

// SetReadDeadline implements net.Conn for net/http. It has no effect on a closed connection. While a
// request is being read, the deadline is always frontend.RequestReadTimeout after the request's first
// byte, except that a deadline in the past still interrupts a read.
func (conn *clientConn) SetReadDeadline(deadline time.Time) error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state == connClosed {
		return nil
	}
	interrupts := !deadline.IsZero() && !deadline.After(conn.acceptedAt)
	conn.interrupted.Store(interrupts)
	if !conn.requestStartedAt.IsZero() && !interrupts {
		deadline = conn.requestStartedAt.Add(frontend.RequestReadTimeout)
	}
	return conn.TCPConn.SetReadDeadline(deadline)
}

// limitRemainingRead sets the maximum time for reading the rest of an invalid request.
func (conn *clientConn) limitRemainingRead(timeout time.Duration) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != connClosed {
		_ = conn.TCPConn.SetReadDeadline(time.Now().Add(timeout))
	}
}

// isSilent reports whether no bytes were received on the connection although the client had at least
// frontend.FirstByteGrace to send them. The caller holds the listener's lock.
func (conn *clientConn) isSilent(now time.Time) bool {
	graceElapsed := now.Sub(conn.stateChangedAt) >= frontend.FirstByteGrace
	return graceElapsed && !conn.hasRead.Load() && sockets.IsIdle(conn.TCPConn)
}
