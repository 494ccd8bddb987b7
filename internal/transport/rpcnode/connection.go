package rpcnode

import (
	"net"
	"sync"
	"time"

	"mothridge/internal/core"
)

// connection is a connection to an upstream. Its initial state is open:
//
//	open --drainLocked--> draining --checkIdleLocked, no request waits--> closed
//	open, draining --closeIfIdle, fail--> closed
//
// Its reader goroutine (readLoop) handles received messages until the socket is closed, and then
// removes the connection from the upstream. Its writer goroutine (writeLoop) writes requests and
// cancellations. The writer ends when the connection is closed or a write fails, and closes the socket,
// which ends the reader. Attempts queue their requests and wait for the completion on their own
// goroutines.
type connection struct {
	upstream   *rpcUpstream
	netConn    net.Conn
	wakeWriter chan struct{} // capacity 1; signals data to write or the close of the connection

	mu            sync.Mutex
	nextID        uint32
	waiting       map[uint32]*pendingRequest // requests that wait for a response, by id
	abandoned     map[uint32]time.Time       // ids of abandoned requests without a response; until when each may run
	queue         []*pendingRequest          // requests to write, in this order
	cancellations []uint32                   // ids of cancellations to write
	lastReadAt    time.Time                  // when the last response was received
	idleSince     time.Time                  // when waiting was last found to be empty
	draining      bool                       // accepts no request, and is closed when no request waits
	closeErr      error                      // why the connection was closed; nil if it is open
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

// signalWriter wakes the writer. It does not block.
func (conn *connection) signalWriter() {
	select {
	case conn.wakeWriter <- struct{}{}:
	default:
	}
}

// checkCapacity reports whether the connection accepts another request. It starts to drain a
// connection with too many abandoned requests.
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
		conn.checkIdleLocked() // if no request waits, no later event would close the connection
		return false
	}
	return true
}

// hasTooManyAbandonedLocked reports whether the number of abandoned requests has reached MaxAbandoned, or
// whether abandoned requests that may still run and waiting requests together have reached MaxInFlight.
func (conn *connection) hasTooManyAbandonedLocked(now time.Time) bool {
	config := &conn.upstream.transport.config
	if len(conn.abandoned) >= config.MaxAbandoned {
		return true
	}
	return len(conn.abandoned) > 0 && len(conn.waiting)+conn.runningAbandonedLocked(now) >= config.MaxInFlight
}

// runningAbandonedLocked returns the number of abandoned requests that may still run at the upstream.
func (conn *connection) runningAbandonedLocked(now time.Time) int {
	running := 0
	for _, until := range conn.abandoned {
		if now.Before(until) {
			running++
		}
	}
	return running
}

// enqueue queues a request and returns it, or returns nil if the connection accepts no more requests.
// For a probe, message is nil.
func (conn *connection) enqueue(message *core.Message, encode encodeFunc, deadline time.Time) *pendingRequest {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.checkCapacityLocked(time.Now()) {
		return nil
	}
	request := &pendingRequest{
		id:         conn.newIDLocked(),
		message:    message,
		encode:     encode,
		deadline:   deadline,
		queuedAt:   time.Now(),
		completion: make(chan completion, 1),
	}
	conn.waiting[request.id] = request
	conn.queue = append(conn.queue, request)
	conn.signalWriter()
	return request
}

// newIDLocked returns an id that is not in use, so that no response to an earlier request can have this
// id. Ids are assigned in ascending order. They wrap around after 2^32 requests and skip the ids in use.
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
