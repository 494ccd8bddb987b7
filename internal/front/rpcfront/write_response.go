package rpcfront

import (
	"errors"
	"os"
	"slices"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
)

const (
	// writeTimeout is how long a client may leave its responses unread.
	writeTimeout = time.Second
	// maxKeptBufferBytes bounds the buffer that a writer keeps between two writes.
	maxKeptBufferBytes = 32 << 10
)

// queuedResponse is a response that waits to be written. One of encoded, fault and result is used,
// in this order.
type queuedResponse struct {
	id      uint32 // the request's msgid
	result  core.Response
	fault   *msgrpc.Fault
	encoded []byte
}

// faultKinds are the kinds of error of each result; core.Served has none.
var faultKinds = [...]string{
	core.Rejected:  msgrpc.KindRefused,
	core.Failed:    msgrpc.KindFailed,
	core.TimedOut:  msgrpc.KindTimeout,
	core.Duplicate: msgrpc.KindDuplicate,
}

// appendTo appends the encoded response.
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
			Kind:       faultKinds[response.result.Result],
			RetryAfter: response.result.RetryAfter,
			Text:       response.result.Detail,
		}
	}
	if errorsAsText {
		return fault.AppendText(buffer, response.id)
	}
	return fault.Append(buffer, response.id)
}

func (response *queuedResponse) appendServed(buffer []byte) []byte {
	fields := response.result.Fields
	for name, values := range fields {
		if !isForwarded(name, values) {
			delete(fields, name)
		}
	}
	result := msgrpc.Result{Fields: fields, Body: response.result.Body, InFlight: -1}
	return result.Append(buffer, response.id)
}

// isForwarded reports whether a field of an upstream's response goes on to the client: not
// where it concerns the upstream's connection alone or cannot stand in a message.
func isForwarded(name string, values []string) bool {
	if msgrpc.IsHopByHopField(name) || !msgrpc.IsPlainText(name) {
		return false
	}
	return !slices.ContainsFunc(values, isNotPlain)
}

func isNotPlain(value string) bool { return !msgrpc.IsPlainText(value) }

// writeLoop is the writer. A client that does not read its responses loses its connection:
// they are not held for it.
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
			batch[i] = queuedResponse{}
		}
		if !conn.write(buffer) {
			return
		}
		if conn.onWritten(bodyBytes) {
			return
		}
		if cap(buffer) > maxKeptBufferBytes {
			buffer = nil
		}
	}
}

// takeOutput takes what waits to be written: it returns the queued responses, for which
// recycled becomes the new queue, and buffer with the notifications in it.
func (conn *clientConn) takeOutput(recycled []queuedResponse, buffer []byte) (queued []queuedResponse, output []byte) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	queued, conn.responseQueue = conn.responseQueue, recycled[:0]
	output = buffer[:0]
	output = append(output, conn.notifications...)
	conn.notifications = conn.notifications[:0]
	return queued, output
}

// write writes a buffer, which may be empty; it blocks for writeTimeout at most and returns
// false where that fails.
func (conn *clientConn) write(buffer []byte) bool {
	if len(buffer) == 0 {
		return true
	}
	conn.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.netConn.Write(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		conn.front.stalled.Add(1)
	}
	return err == nil
}

// onWritten records that responses were written and reports whether the connection is closed.
func (conn *clientConn) onWritten(bodyBytes int) (closed bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.bufferedBytes = max(0, conn.bufferedBytes-bodyBytes)
	if conn.isIdleLocked() {
		conn.idleSince = time.Now()
		if conn.state == connFinishing {
			conn.state = connClosed
		}
	}
	return conn.state == connClosed
}
