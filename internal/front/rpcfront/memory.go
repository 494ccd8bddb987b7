package rpcfront

import (
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
)

// bufferWaitTimeout is the longest time for which a message waits for each growth of its buffer. With the four growths up to
// the largest message, a message still ends within 3 s of its first byte.
const bufferWaitTimeout = 100 * time.Millisecond

// chargeBuffer charges the memory of the buffer of the messages that are being read, when its size changes: the buffer, and the
// one of half the size that it replaces. It blocks for at most bufferWaitTimeout and returns false if there is no memory.
func (conn *clientConn) chargeBuffer(size int) bool {
	change := int64(size+size/2) - conn.chargedBufferBytes
	if change < 0 {
		conn.memory.Remove(-change)
	} else if !conn.memory.Add(change, bufferWaitTimeout) {
		return false
	}
	conn.chargedBufferBytes += change
	return true
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
