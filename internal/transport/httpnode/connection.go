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

// maxKeptBufferBytes bounds the request buffer that an idle connection keeps.
const maxKeptBufferBytes = 8 << 10

// connection is a connection to an upstream. It carries one request at a time and belongs to
// the goroutine that took it from the pool, or to the pool while it is idle.
type connection struct {
	netConn  net.Conn
	upstream *httpUpstream

	limit   io.LimitedReader // bounds the bytes read for one response
	reader  *bufio.Reader    // reads through limit
	framing http1.Framing    // of the responses

	requestBuffer bytes.Buffer // a request is gathered here, so that one write sends it
	takenAt       time.Time    // when it was last taken from the pool
	idleSince     time.Time    // when it was last put into the pool
}

func newConnection(upstream *httpUpstream, netConn net.Conn) *connection {
	conn := &connection{netConn: netConn, upstream: upstream, takenAt: time.Now()}
	conn.limit.R = observedReader{netConn, &conn.framing}
	conn.reader = bufio.NewReader(&conn.limit)
	return conn
}

// observedReader shows to a Framing what is read.
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

// isUsable reports whether an idle connection may carry a request: it is young enough, open and
// has nothing to read. It does not block.
func (conn *connection) isUsable(now time.Time, idleTimeout time.Duration) bool {
	isYoung := now.Sub(conn.idleSince) < idleTimeout
	return isYoung && conn.reader.Buffered() == 0 && sockets.IsIdle(conn.netConn)
}

// releaseLargeBuffer frees a request buffer that is too large to be kept.
func (conn *connection) releaseLargeBuffer() {
	if conn.requestBuffer.Cap() > maxKeptBufferBytes {
		conn.requestBuffer = bytes.Buffer{}
	}
}
