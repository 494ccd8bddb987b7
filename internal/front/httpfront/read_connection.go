package httpfront

import (
	"errors"
	"net"
	"os"
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/http1"
	"mothridge/internal/sockets"
)

// maxReadAheadBytes bounds what is kept of the requests that come during another: one of
// the largest size. A connection on which more comes is closed after the response.
const maxReadAheadBytes = http1.MaxRequestBodyBytes + maxHeaderBytes

// readAheadChunkBytes is how much is read ahead at once.
const readAheadChunkBytes = 1 << 10

// Read implements net.Conn; one goroutine at a time calls it. During a request net/http
// reads one byte ahead, to notice that the client disconnects: see watchForClose.
func (conn *clientConn) Read(buffer []byte) (int, error) {
	if len(buffer) == 1 && conn.netHTTPActive.Load() {
		return conn.watchForClose(buffer)
	}
	if count := conn.takeReadAhead(buffer); count > 0 {
		return count, nil
	}
	conn.readAhead = nil
	return conn.readSocket(buffer)
}

// readSocket reads from the socket. The first byte of a request starts its time to be
// read, whatever deadline was set before.
func (conn *clientConn) readSocket(buffer []byte) (int, error) {
	if conn.reader == nil {
		conn.reader = sockets.NewLockedReader(conn.TCPConn, &conn.mu, conn.onRead)
	}
	count, err := conn.reader.Read(buffer)
	if conn.requestStarted {
		conn.requestStarted = false
		_ = conn.SetReadDeadline(time.Time{})
	}
	if count > 0 {
		conn.framing.Observe(buffer[:count])
		conn.recordArrival(time.Now())
	}
	if isPeerError(err) {
		conn.peerClosed.Store(true)
	}
	return count, err
}

// isPeerError reports whether a read failed because of the client and not by a deadline
// or a close of ours.
func isPeerError(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// onRead records that bytes were read; conn.mu is held. Those of a closed connection are
// dropped.
func (conn *clientConn) onRead(count int) (accepted bool) {
	if count > 0 && conn.isIdleLocked() {
		conn.requestStartedAt = time.Now()
		conn.requestStarted = true
	}
	return conn.state != connClosed
}

// isIdleLocked reports whether the connection is open and no byte of a request has come
// since the last one was answered; conn.mu is held.
func (conn *clientConn) isIdleLocked() bool {
	return conn.state == connReading && conn.requestStartedAt.IsZero()
}

// watchForClose is the read of one byte during a request: it returns a byte once net/http
// interrupts it by a deadline, or the error that says that the client disconnected.
// Unread bytes would hide a close, so it reads on and keeps what comes.
func (conn *clientConn) watchForClose(buffer []byte) (int, error) {
	if len(conn.readAhead) == 0 { // mostly nothing comes, and nothing is allocated
		count, err := conn.readSocket(buffer)
		if count == 0 {
			return count, err
		}
		conn.readAhead = append(conn.readAhead, buffer[0])
	}
	for len(conn.readAhead) < maxReadAheadBytes {
		var chunk [readAheadChunkBytes]byte
		count, err := conn.readSocket(chunk[:min(len(chunk), maxReadAheadBytes-len(conn.readAhead))])
		conn.readAhead = append(conn.readAhead, chunk[:count]...)
		if err != nil && conn.peerClosed.Load() {
			return 0, err
		}
		if err != nil {
			return conn.takeReadAhead(buffer), nil
		}
	}
	conn.readAheadExceeded.Store(true)
	return conn.takeReadAhead(buffer), nil
}

// takeReadAhead moves bytes that were kept into buffer and returns their number.
func (conn *clientConn) takeReadAhead(buffer []byte) int {
	count := copy(buffer, conn.readAhead)
	conn.readAhead = conn.readAhead[count:]
	return count
}

// hasClientDisconnected reports whether the client has disconnected. It may be called from any
// goroutine and does not block; it looks at the socket too, as the watch may be late.
func (conn *clientConn) hasClientDisconnected() bool {
	return conn.peerClosed.Load() || sockets.PeerClosed(conn.TCPConn)
}

// recordArrival records when the bytes came that were just read.
func (conn *clientConn) recordArrival(now time.Time) {
	if conn.earliestArrival != nil {
		now = conn.earliestArrival(now)
	}
	conn.lastReadAt.Store(int64(now.Sub(conn.acceptedAt)))
	conn.hasRead.Store(true)
}

// arrivalTime returns when the request came whose header was just parsed: one that came
// during another has waited, and its client counts that time.
func (conn *clientConn) arrivalTime(now time.Time) time.Time {
	lastRead := conn.acceptedAt.Add(time.Duration(conn.lastReadAt.Load()))
	if lastRead.Before(now) && conn.hasRead.Load() {
		return lastRead
	}
	return now
}

// SetReadDeadline implements net.Conn for net/http. It does nothing on a connection that
// is closed, and keeps a request that has started to frontend.RequestReadTimeout. A time
// in the past interrupts a read in any case.
func (conn *clientConn) SetReadDeadline(deadline time.Time) error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state == connClosed {
		return nil
	}
	interrupts := !deadline.IsZero() && !deadline.After(conn.acceptedAt)
	if !conn.requestStartedAt.IsZero() && !interrupts {
		deadline = conn.requestStartedAt.Add(frontend.RequestReadTimeout)
	}
	return conn.TCPConn.SetReadDeadline(deadline)
}

// limitRemainingRead bounds how long the rest of an invalid request is read.
func (conn *clientConn) limitRemainingRead(timeout time.Duration) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != connClosed {
		_ = conn.TCPConn.SetReadDeadline(time.Now().Add(timeout))
	}
}

// isSilent reports whether nothing has come on the connection though the client had the
// time to send; the listener's lock is held.
func (conn *clientConn) isSilent(now time.Time) bool {
	hadTime := now.Sub(conn.trackedSince) >= frontend.FirstByteGrace
	return hadTime && !conn.hasRead.Load() && sockets.IsIdle(conn.TCPConn)
}
