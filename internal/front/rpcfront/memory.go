package rpcfront

import (
	"errors"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
)

// errOutOfMemory reports that there is no memory for a message that is being read.
var errOutOfMemory = errors.New("no memory for the message: too many large requests at once")

// messageBufferFactor is the memory of a message that is being read for each of its bytes: the buffer that grows, and the
// one that it replaces.
const messageBufferFactor = 2

// chargeMessage charges the memory of further bytes of a message. It blocks for at most frontend.MemoryWaitTimeout, but not
// beyond the read timeout of the message, and returns false if there is no memory.
func (conn *clientConn) chargeMessage(count int) bool {
	now := time.Now()
	if conn.chargedMessageBytes == 0 {
		conn.messageStartedAt = now
	}
	timeout := min(frontend.MemoryWaitTimeout, conn.messageStartedAt.Add(frontend.RequestReadTimeout).Sub(now))
	bytes := int64(count) * messageBufferFactor
	if !conn.memory.Add(bytes, timeout) {
		return false
	}
	conn.chargedMessageBytes += bytes
	return true
}

// endMessage takes back the charge of a message that was handled. remaining is the number of bytes that were read after
// it; they stay charged.
func (conn *clientConn) endMessage(remaining int) {
	bytes := max(0, conn.chargedMessageBytes-int64(remaining)*messageBufferFactor)
	conn.memory.Remove(bytes)
	conn.chargedMessageBytes -= bytes
	conn.messageStartedAt = time.Now()
}

// memoryOf returns the memory that a request holds until its response, in bytes.
func memoryOf(request *core.Request) int64 {
	total := len(request.Body) + len(request.Target)
	for name, values := range request.Fields {
		total += len(name) + frontend.FieldOverheadBytes
		for _, value := range values {
			total += len(value)
		}
	}
	return int64(total)
}
