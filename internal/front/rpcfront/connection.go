package rpcfront

import (
	"net"
	"sync"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/sockets"
)

// connState is the state of a client connection:
//
//	open --finishWhenIdle--> finishing --writer, once idle--> closed
//	open, finishing --closeIdle, end of the reader or of the writer--> closed
type connState int

const (
	connOpen      connState = iota
	connFinishing           // takes requests still, and is closed as soon as it is idle
	connClosed              // takes no more requests; the writer closes the socket
)

// clientConn is a client connection.
//
// Its reader (readLoop) takes requests and ends when the socket does, at a protocol error
// or once the writer has closed the socket. Its writer (writeLoop) writes responses and
// notifications, ends once the connection is closed or a write fails, and closes the
// socket. The handler's goroutine only queues responses.
type clientConn struct {
	front      *Front
	netConn    net.Conn
	wakeWriter chan struct{} // of capacity 1: there is something to write, or the connection is closed
	acceptedAt time.Time

	malformed int // messages; of the reader alone

	mu             sync.Mutex
	state          connState
	inFlight       map[uint32]*core.Request // not answered, by msgid
	responseQueue  []queuedResponse
	bufferedBytes  int       // of the bodies in responseQueue and in the writer's batch
	notifications  []byte    // encoded and complete, to be written
	idleSince      time.Time // when it last became idle
	hasRead        bool      // something was read
	messageStarted bool      // part of a message was read, and the message is not handled yet
}

func newClientConn(front *Front, netConn net.Conn) *clientConn {
	now := time.Now()
	return &clientConn{
		front:      front,
		netConn:    netConn,
		wakeWriter: make(chan struct{}, 1),
		acceptedAt: now,
		inFlight:   make(map[uint32]*core.Request),
		idleSince:  now,
	}
}

// signalWriter wakes the writer; it does not block.
func (conn *clientConn) signalWriter() {
	select {
	case conn.wakeWriter <- struct{}{}:
	default:
	}
}

// isIdleLocked reports whether no request is read or in flight and nothing waits to be
// written; conn.mu is held.
func (conn *clientConn) isIdleLocked() bool {
	nothingInFlight := len(conn.inFlight) == 0 && !conn.messageStarted
	nothingToWrite := len(conn.responseQueue) == 0 && len(conn.notifications) == 0
	return nothingInFlight && nothingToWrite
}

// idleTime returns since when the connection is idle; false where it is not.
func (conn *clientConn) idleTime() (since time.Time, idle bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.idleSince, conn.isIdleLocked()
}

// beginRequest puts a request in flight. It returns false where the connection was
// closed: the request must not be submitted, as the client sends it again.
func (conn *clientConn) beginRequest(id uint32, request *core.Request) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state == connClosed {
		return false
	}
	conn.inFlight[id] = request
	return true
}

// respond queues the handler's response to a request, unless that was cancelled or its
// connection closed meanwhile. It is called on the handler's goroutine and does not block.
func (conn *clientConn) respond(id uint32, request *core.Request, result core.Response) {
	conn.mu.Lock()
	if conn.inFlight[id] != request {
		conn.mu.Unlock()
		return
	}
	delete(conn.inFlight, id)
	conn.responseQueue = append(conn.responseQueue, queuedResponse{id: id, result: result})
	conn.bufferedBytes += len(result.Body)
	conn.mu.Unlock()
	conn.signalWriter()
}

// queueResponse queues a response that the handler has no part in.
func (conn *clientConn) queueResponse(response queuedResponse) {
	conn.mu.Lock()
	if conn.state != connClosed {
		conn.responseQueue = append(conn.responseQueue, response)
	}
	conn.mu.Unlock()
	conn.signalWriter()
}

func (conn *clientConn) queueFault(id uint32, fault *msgrpc.Fault) {
	conn.queueResponse(queuedResponse{id: id, fault: fault})
}

// isAbandoned reports whether the client of a request has disconnected or cancelled it.
// It may be called from any goroutine and does not block.
func (conn *clientConn) isAbandoned(id uint32, request *core.Request) bool {
	conn.mu.Lock()
	inFlight := conn.inFlight[id] == request
	conn.mu.Unlock()
	return !inFlight || sockets.PeerClosed(conn.netConn)
}
