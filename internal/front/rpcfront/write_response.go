package rpcfront

import (
	"errors"
	"os"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/hopbyhop"
	"mothridge/internal/msgrpc"
)

const (
	// writeTimeout is the maximum time for which a client may leave its responses unread.
	writeTimeout = time.Second
	// maxKeptBufferBytes is the maximum size of the buffer that a writer keeps between two writes.
	maxKeptBufferBytes = 32 << 10
)

// queuedResponse is a response that waits to be written. The writer writes encoded if it is set,
// else fault if it is set, else result.
type queuedResponse struct {
	id      uint32 // msgid of the request
	result  core.Response
	fault   *msgrpc.Fault
	encoded []byte

	requestID string    // set if result is
	deadline  time.Time // of the request; set if result is
}

// faultKindByResult are the error kinds of the results. core.Served has none, because it is not an error.
var faultKindByResult = [...]string{
	core.Rejected:  msgrpc.KindRefused,
	core.Failed:    msgrpc.KindFailed,
	core.TimedOut:  msgrpc.KindTimeout,
	core.Duplicate: msgrpc.KindDuplicate,
}

// appendTo appends the encoded response to buffer.
func (response *queuedResponse) appendTo(buffer []byte, errorsAsText bool) []byte {
	if response.encoded != nil {
		return append(buffer, response.encoded...)
	}
	fault := response.fault
	if fault == nil && response.result.Result == core.Served {
		return response.appendServed(buffer)
	}
	if fault == nil {
		fault = &msgrpc.Fault{
			Kind:       faultKindByResult[response.result.Result],
			RetryAfter: response.result.RetryAfter,
			Text:       response.result.Detail,
		}
	}
	if errorsAsText {
		return fault.AppendText(buffer, response.id)
	}
	return fault.Append(buffer, response.id)
}

// appendServed appends a served response. Fields that belong to the upstream's hop, or that a message cannot contain,
// are left out.
func (response *queuedResponse) appendServed(buffer []byte) []byte {
	fields := response.result.Fields
	hopbyhop.Remove(fields)
	delete(fields, "Date") // only HTTP/1.1 responses have it
	for name, values := range fields {
		if !msgrpc.CanEncodeField(name, values) {
			delete(fields, name)
		}
	}
	if len(fields) > msgrpc.MaxFields {
		clear(fields)
	}
	result := msgrpc.Result{Fields: fields, Body: response.result.Body, InFlight: -1}
	return result.Append(buffer, response.id)
}

// writeLoop is the writer. If a client does not read its responses within writeTimeout, its connection
// is closed, so that the responses do not occupy memory.
func (conn *clientConn) writeLoop() {
	defer conn.closeSocket()
	var buffer []byte
	var batch []queuedResponse
	for range conn.wakeWriter {
		batch, buffer = conn.takeOutput(batch, buffer)
		bodyBytes := 0
		for i := range batch {
			buffer = batch[i].appendTo(buffer, conn.front.config.ErrorsAsText)
			bodyBytes += len(batch[i].result.Body)
		}
		if !conn.write(buffer) {
			return
		}
		conn.recordLateness(batch)
		clear(batch)
		if conn.onWritten(bodyBytes) {
			return
		}
		if cap(buffer) > maxKeptBufferBytes {
			buffer = nil
		}
	}
}

// recordLateness records the responses of a batch that were written after their clients' time.
func (conn *clientConn) recordLateness(batch []queuedResponse) {
	now := time.Now()
	for _, response := range batch {
		if !response.deadline.IsZero() {
			conn.front.lateResponses.Written(now, response.deadline, response.requestID, response.result.Result, conn.netConn.LocalAddr())
		}
	}
}

// takeOutput removes all output that waits to be written. It returns the queued responses, and buffer
// filled with the notifications. recycled provides the memory of the new response queue.
func (conn *clientConn) takeOutput(recycled []queuedResponse, buffer []byte) (queued []queuedResponse, output []byte) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	queued, conn.responseQueue = conn.responseQueue, recycled[:0]
	output = buffer[:0]
	output = append(output, conn.notifications...)
	conn.notifications = conn.notifications[:0]
	return queued, output
}

// write writes a buffer, which may be empty. It blocks for at most writeTimeout and returns false if
// the write fails.
func (conn *clientConn) write(buffer []byte) bool {
	if len(buffer) == 0 {
		return true
	}
	conn.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.netConn.Write(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		conn.front.stalled.Add(1)
		conn.recordCloseReason(closedStalled)
	}
	return err == nil
}

// onWritten records that responses with bodyBytes bytes of bodies were written, and reports whether the
// connection is closed.
func (conn *clientConn) onWritten(bodyBytes int) (closed bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.bufferedBytes = max(0, conn.bufferedBytes-bodyBytes)
	if conn.isIdleLocked() {
		conn.idleSince = time.Now()
		conn.finishLocked()
	}
	return conn.state == connClosed
}
