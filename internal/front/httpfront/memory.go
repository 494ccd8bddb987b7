package httpfront

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/http1"
)

const (
	// outOfMemoryRetryAfter is how long a client should wait after its request found no memory.
	outOfMemoryRetryAfter = time.Second
	// chunkedBodyFactor is the memory of a chunked body for each of its bytes: the buffer that grows, and the one
	// that it replaces.
	chunkedBodyFactor = 2
	// maxHeadLines is the maximum number of lines of a head. Parsing more of them, which all fit into maxHeaderBytes if
	// they are short, takes much processor time.
	maxHeadLines = 1000
	// rejectHeadTimeout is the maximum time for writing the response to a head that is not parsed.
	rejectHeadTimeout = 10 * time.Millisecond
)

// chargeHead charges the memory of the head that is being read, of which size bytes in a number of lines were received. It
// blocks for at most memoryWaitTimeout and returns false if there is no memory. net/http has not parsed the bytes of the
// last read yet.
func (conn *clientConn) chargeHead(size, lines int) bool {
	total := int64(size) + int64(lines)*frontend.FieldOverheadBytes
	missing := max(0, total-conn.chargedHeadBytes)
	if !conn.charge(missing) {
		return false
	}
	conn.chargedHeadBytes += missing
	return true
}

// rejectHeadWithoutMemory responds to a request whose head finds no memory, as rejectHead does.
func (conn *clientConn) rejectHeadWithoutMemory() error {
	if conn.isClosed() { // the wait ended because the connection was closed
		return os.ErrDeadlineExceeded
	}
	conn.outOfMemory.Add(1)
	return conn.rejectHead(errOutOfMemory.status, "Retry-After: "+http1.FormatSeconds(outOfMemoryRetryAfter)+"\r\n")
}

// rejectHead responds to a request whose head is not parsed, and returns the error with which net/http closes the
// connection without a response of its own. fields are further lines of the response's head.
func (conn *clientConn) rejectHead(status int, fields string) error {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), fields)
	_ = conn.SetWriteDeadline(time.Now().Add(rejectHeadTimeout))
	_, _ = io.WriteString(conn.TCPConn, text) // an error is ignored because the connection is closed in any case
	return os.ErrDeadlineExceeded
}

// charge charges bytes. Only if they are not available at once, it blocks for at most memoryWaitTimeout.
func (conn *clientConn) charge(bytes int64) bool {
	return conn.memory.Add(bytes, 0) || conn.memory.Add(bytes, conn.memoryWaitTimeout())
}

// memoryWaitTimeout returns the time for which the request that is being read may wait for memory now. A wait ends with the
// read timeout of the request.
func (conn *clientConn) memoryWaitTimeout() time.Duration {
	conn.mu.Lock()
	startedAt := conn.requestStartedAt
	conn.mu.Unlock()
	if startedAt.IsZero() {
		return frontend.MemoryWaitTimeout
	}
	return min(frontend.MemoryWaitTimeout, time.Until(startedAt.Add(frontend.RequestReadTimeout)))
}

// chargeBody charges the memory of further bytes of the current request's body. It blocks for at most memoryWaitTimeout
// and returns false if there is no memory.
func (conn *clientConn) chargeBody(bytes int64) bool {
	if !conn.charge(bytes) {
		return false
	}
	conn.chargedBodyBytes += bytes
	return true
}

// chargeReadAhead charges the memory of bytes that were read ahead. It does not block.
func (conn *clientConn) chargeReadAhead(count int) bool {
	if !conn.memory.Add(int64(count), 0) {
		return false
	}
	conn.chargedReadAheadBytes += int64(count)
	return true
}

// endMemory takes back the charges of a request that has ended. Bytes that were read ahead stay charged.
func (conn *clientConn) endMemory() {
	conn.memory.Remove(conn.chargedHeadBytes + conn.chargedBodyBytes)
	conn.chargedHeadBytes, conn.chargedBodyBytes = 0, 0
}

// chargedReader charges the memory of a chunked body as its bytes are read.
type chargedReader struct {
	io.Reader
	conn *clientConn
}

// Read implements io.Reader. The error is errOutOfMemory if there is no memory for the bytes.
func (reader chargedReader) Read(buffer []byte) (int, error) {
	count, err := reader.Reader.Read(buffer)
	if !reader.conn.chargeBody(int64(count) * chunkedBodyFactor) {
		return 0, errOutOfMemory
	}
	return count, err
}
