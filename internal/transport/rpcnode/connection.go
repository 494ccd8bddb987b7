package rpcnode

import (
	"net"
	"sync"
	"time"

	"mothridge/internal/core"
)

// connection is a connection to an upstream. It is open at first:
//
//	open --drainLocked--> draining --onAnsweredLocked, none waited for--> closed
//	open, draining --closeIfIdle, fail--> closed
//
// Its reader (readLoop) handles messages and ends when the socket does; then it removes the
// connection. Its writer (writeLoop) writes requests and cancellations, ends once the connection
// is closed or a write fails, and closes the socket, which ends the reader. Attempts queue their
// requests and wait for the replies on their own goroutines.
type connection struct {
	upstream   *rpcUpstream
	netConn    net.Conn
	wakeWriter chan struct{} // of capacity 1: there is something to write, or the connection is closed

	mu            sync.Mutex
	nextID        uint32
	waiting       map[uint32]*pendingRequest // requests that are waited for, by id
	abandoned     map[uint32]time.Time       // ids without a response, and until when each may run
	queue         []*pendingRequest          // to be written, in this order
	cancellations []uint32                   // ids to be cancelled, to be written
	lastReadAt    time.Time                  // when the last response came
	idleSince     time.Time                  // when waiting was last found empty
	draining      bool                       // takes no request, and is closed when none is waited for
	closeErr      error                      // why it was closed; nil: it is not
}

func newConnection(upstream *rpcUpstream, netConn net.Conn) *connection {
	now := time.Now()
	return &connection{
		upstream:   upstream,
		netConn:    netConn,
		wakeWriter: make(chan struct{}, 1),
		waiting:    make(map[uint32]*pendingRequest),
		abandoned:  make(map[uint32]time.Time),
		lastReadAt: now,
		idleSince:  now,
	}
}

// signalWriter wakes the writer; it does not block.
func (conn *connection) signalWriter() {
	select {
	case conn.wakeWriter <- struct{}{}:
	default:
	}
}

// checkCapacity reports whether the connection takes a request. It drains one on which
// too many requests were abandoned.
func (conn *connection) checkCapacity(now time.Time) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.checkCapacityLocked(now)
}

func (conn *connection) checkCapacityLocked(now time.Time) bool {
	if conn.closeErr != nil || conn.draining {
		return false
	}
	if len(conn.waiting) >= conn.upstream.transport.config.MaxInFlight {
		return false
	}
	if conn.hasTooManyAbandonedLocked(now) {
		conn.drainLocked()
		conn.onAnsweredLocked() // no other event would close it where none is waited for
		return false
	}
	return true
}

func (conn *connection) hasTooManyAbandonedLocked(now time.Time) bool {
	config := &conn.upstream.transport.config
	if len(conn.abandoned) >= config.MaxAbandoned {
		return true
	}
	return len(conn.abandoned) > 0 && len(conn.waiting)+conn.runningAbandonedLocked(now) >= config.MaxInFlight
}

// runningAbandonedLocked counts the abandoned requests that the upstream may still work on.
func (conn *connection) runningAbandonedLocked(now time.Time) int {
	running := 0
	for _, until := range conn.abandoned {
		if now.Before(until) {
			running++
		}
	}
	return running
}

// enqueue queues a request; it returns nil where the connection takes none any more. A nil message
// is a probe's.
func (conn *connection) enqueue(message *core.Message, encode encodeFunc, deadline time.Time) *pendingRequest {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.checkCapacityLocked(time.Now()) {
		return nil
	}
	request := &pendingRequest{
		id:       conn.newIDLocked(),
		message:  message,
		encode:   encode,
		deadline: deadline,
		queuedAt: time.Now(),
		reply:    make(chan reply, 1),
	}
	conn.waiting[request.id] = request
	conn.queue = append(conn.queue, request)
	conn.signalWriter()
	return request
}

// newIDLocked returns an id for which no response can come. Ids are used in order, and come
// again after 2^32 requests except for those in use.
func (conn *connection) newIDLocked() uint32 {
	for {
		id := conn.nextID
		conn.nextID++
		_, isAbandoned := conn.abandoned[id]
		if conn.waiting[id] == nil && !isAbandoned {
			return id
		}
	}
}
