package rpcnode

import (
	"fmt"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
)

// maxKeptBufferBytes bounds the buffer that a writer keeps between two writes.
const maxKeptBufferBytes = 32 << 10

// writeBatch is what the writer writes at once.
type writeBatch struct {
	requests []*pendingRequest
	buffer   []byte    // the encoded requests, then cancellations
	deadline time.Time // of the write
	isLast   bool      // the connection is closed after it
}

// reset empties the batch and keeps its memory.
func (batch *writeBatch) reset(deadline time.Time) {
	batch.requests = batch.requests[:0]
	batch.buffer = batch.buffer[:0]
	batch.deadline = deadline
}

// releaseLargeBuffer frees a buffer that is too large to be kept.
func (batch *writeBatch) releaseLargeBuffer() {
	if cap(batch.buffer) > maxKeptBufferBytes {
		batch.buffer = nil
	}
}

// limitDeadline makes the write end by the message's WriteDeadline, if it has one. A nil message
// is a probe's.
func (batch *writeBatch) limitDeadline(message *core.Message) {
	if message == nil || message.WriteDeadline.IsZero() {
		return
	}
	if message.WriteDeadline.Before(batch.deadline) {
		batch.deadline = message.WriteDeadline
	}
}

// writeLoop is the writer. One write takes all that waits to be written.
func (conn *connection) writeLoop() {
	defer conn.netConn.Close() // ends the reader too
	var batch writeBatch
	for range conn.wakeWriter {
		conn.takeBatch(&batch)
		if err := conn.write(&batch); err != nil {
			conn.fail(fmt.Errorf("write: %w", err))
			return
		}
		if batch.isLast {
			conn.fail(nil)
			return
		}
		batch.releaseLargeBuffer()
	}
}

// takeBatch moves what waits to be written into a batch. On a closed connection that is
// cancellations alone.
func (conn *connection) takeBatch(batch *writeBatch) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	now := time.Now()
	batch.reset(now.Add(conn.upstream.transport.config.DialTimeout))
	batch.isLast = conn.closeErr != nil
	if !batch.isLast {
		conn.encodeQueueLocked(batch, now)
	}
	for _, id := range conn.cancellations {
		batch.buffer = msgrpc.AppendCancel(batch.buffer, id)
	}
	conn.cancellations = conn.cancellations[:0]
}

// encodeQueueLocked encodes the queued requests that may still go out, and ends the others.
func (conn *connection) encodeQueueLocked(batch *writeBatch, now time.Time) {
	for _, request := range conn.queue {
		if request.message != nil && !request.message.AllowSend(now) {
			conn.preventLocked(request)
			continue
		}
		batch.limitDeadline(request.message)
		request.state = requestWriting
		batch.buffer = request.appendTo(batch.buffer, now)
		batch.requests = append(batch.requests, request)
	}
	conn.queue = conn.queue[:0]
}

// preventLocked ends a request that AllowSend holds back.
func (conn *connection) preventLocked(request *pendingRequest) {
	delete(conn.waiting, request.id)
	request.reply <- reply{err: fmt.Errorf("%w: %w", errNotWritten, core.ErrNotSent)}
	conn.onAnsweredLocked()
}

// write writes a batch, which may be empty.
func (conn *connection) write(batch *writeBatch) error {
	if len(batch.buffer) == 0 {
		return nil
	}
	conn.netConn.SetWriteDeadline(batch.deadline)
	count, err := conn.netConn.Write(batch.buffer)
	conn.onWritten(batch.requests, count, err)
	return err
}

// onWritten records how much of a batch was written: an upstream starts a request when its last
// byte has come, so that one that was cut never ran.
func (conn *connection) onWritten(requests []*pendingRequest, count int, err error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	now := time.Now()
	end := 0
	for _, request := range requests {
		end += request.size
		if err != nil && end > count {
			request.state = requestQueued
			continue
		}
		request.state = requestWritten
		if request.message != nil {
			request.message.SendCompleted(now, request.timeout)
		}
	}
}
