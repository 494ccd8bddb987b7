package rpcnode

import (
	"fmt"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
)

// maxKeptBufferBytes is the largest buffer that a writer keeps between two writes.
const maxKeptBufferBytes = 32 << 10

// writeBatch contains the requests and cancellations that the writer sends with one write.
type writeBatch struct {
	requests []*pendingRequest
	buffer   []byte    // the encoded requests, followed by cancellations
	deadline time.Time // deadline of the write
	isLast   bool      // the connection is closed after this batch
}

// reset empties the batch and keeps its memory for reuse.
func (batch *writeBatch) reset(deadline time.Time) {
	batch.requests = batch.requests[:0]
	batch.buffer = batch.buffer[:0]
	batch.deadline = deadline
}

// releaseLargeBuffer frees the buffer if it is larger than maxKeptBufferBytes.
func (batch *writeBatch) releaseLargeBuffer() {
	if cap(batch.buffer) > maxKeptBufferBytes {
		batch.buffer = nil
	}
}

// limitDeadline limits the deadline of the write to the message's WriteDeadline, if that is set. For a
// probe, message is nil.
func (batch *writeBatch) limitDeadline(message *core.Message) {
	if message == nil || message.WriteDeadline.IsZero() {
		return
	}
	if message.WriteDeadline.Before(batch.deadline) {
		batch.deadline = message.WriteDeadline
	}
}

// writeLoop is the writer goroutine. Each write sends everything that is queued.
func (conn *connection) writeLoop() {
	defer conn.netConn.Close() // also ends the reader
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

// takeBatch moves all queued requests and cancellations into a batch. On a closed connection, it moves
// cancellations only.
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

// encodeQueueLocked encodes the queued requests that may still be sent, and ends the others.
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

// preventLocked ends a request that core.Message.AllowSend has forbidden.
func (conn *connection) preventLocked(request *pendingRequest) {
	delete(conn.waiting, request.id)
	request.completion <- completion{err: fmt.Errorf("%w: %w", errNotWritten, core.ErrNotSent)}
	conn.checkIdleLocked()
}

// write writes a batch. The batch may be empty.
func (conn *connection) write(batch *writeBatch) error {
	if len(batch.buffer) == 0 {
		return nil
	}
	conn.netConn.SetWriteDeadline(batch.deadline)
	count, err := conn.netConn.Write(batch.buffer)
	conn.onWritten(batch.requests, count, err)
	return err
}

// onWritten records which requests of a batch were completely written, where count is the number of bytes
// written. An upstream starts a request only after it has received the last byte, so that a partly
// written request never ran.
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
