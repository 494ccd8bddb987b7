package httpnode

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"time"

	"mothridge/internal/http1"
	"mothridge/internal/sockets"
)

// maxKeptBufferBytes is the largest request buffer that an idle connection keeps.
const maxKeptBufferBytes = 8 << 10

// connection is a connection to an upstream. A connection carries one request at a time. It is
// owned by the goroutine that took it from the pool, or by the pool while it is idle.
type connection struct {
	netConn  net.Conn
	upstream *httpUpstream

	limit   io.LimitedReader // bounds the bytes read for one response
	reader  *bufio.Reader    // reads through limit
	framing http1.Framing    // tracks the framing of the responses

	requestBuffer bytes.Buffer // the encoded request, so that a single write sends it
	takenAt       time.Time    // when the connection was last taken from the pool
	idleSince     time.Time    // when the connection was last put into the pool
}

func newConnection(upstream *httpUpstream, netConn net.Conn) *connection {
	conn := &connection{netConn: netConn, upstream: upstream, takenAt: time.Now()}
	conn.limit.R = observedReader{netConn, &conn.framing}
	conn.reader = bufio.NewReader(&conn.limit)
	return conn
}

// observedReader is a reader that passes all bytes it reads to a Framing.
type observedReader struct {
	io.Reader
	framing *http1.Framing
}

// Read implements io.Reader.
func (reader observedReader) Read(buffer []byte) (int, error) {
	count, err := reader.Reader.Read(buffer)
	reader.framing.Observe(buffer[:count])
	return count, err
}

// checkIdle reports whether an idle connection may carry a request: the connection has been idle for less
// than idleTimeout, is open and has no unread bytes. reset reports that the upstream has reset the connection
// although it was not idle for longer than that. checkIdle does not block.
func (conn *connection) checkIdle(now time.Time, idleTimeout time.Duration) (usable, reset bool) {
	if now.Sub(conn.idleSince) >= idleTimeout {
		return false, false
	}
	state := sockets.Inspect(conn.netConn)
	return state == sockets.Idle && conn.reader.Buffered() == 0, state == sockets.Reset
}

// releaseLargeBuffer frees the request buffer if it is larger than maxKeptBufferBytes.
func (conn *connection) releaseLargeBuffer() {
	if conn.requestBuffer.Cap() > maxKeptBufferBytes {
		conn.requestBuffer = bytes.Buffer{}
	}
}
