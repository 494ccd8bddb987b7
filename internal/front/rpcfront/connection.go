package rpcfront

import (
	"net"
	"sync"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
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
	connFinishing           // still accepts requests; is closed as soon as it is idle
	connClosed              // accepts no more requests; the writer closes the socket
)

// clientConn is a client connection. It has a reader goroutine and a writer goroutine.
//
// The reader (readLoop) reads and submits requests. It ends when the client closes the connection,
// after a protocol error, or after the writer has closed the socket. The writer (writeLoop) writes
// responses and notifications. It ends when the connection is closed or a write fails, and closes the
// socket. The handler's goroutine only queues responses.
type clientConn struct {
	front      *Front
	netConn    net.Conn
	wakeWriter chan struct{} // capacity 1; signals that there is output to write or that the connection is closed
	acceptedAt time.Time

	memory *frontend.MemoryAccount
	reader *sockets.LockedReader // reads while it holds mu; only the reader goroutine calls Read

	readerEnded chan struct{} // closed when the reader has ended

	// Used only by the reader.
	malformed          int   // number of messages that could not be handled
	chargedBufferBytes int64 // charged to memory for the buffer of the messages that are being read
	flow               frontend.ConnectionFlow
	arrivedAt          time.Time // earliest time at which the bytes that were read last can have arrived

	mu             sync.Mutex
	state          connState
	inFlight       map[uint32]openRequest // requests without a response, by msgid
	responseQueue  []queuedResponse
	bufferedBytes  int       // total size of the bodies in responseQueue and in the writer's batch
	notifications  []byte    // complete encoded notifications that wait to be written
	idleSince      time.Time // when the connection last became idle
	hasRead        bool      // at least one byte was read
	messageStarted bool      // at least part of a message was read that is not handled yet
	// messageStartedAt is when the client could begin to send the message that is being read, or the next one.
	messageStartedAt time.Time
	lastReadAt       time.Time     // when bytes were last read
	closeReason      closeReason   // valid once the connection is closed
	lingerTimeout    time.Duration // for which the closed socket is read on
}

// openRequest is a request without a response.
type openRequest struct {
	*core.Request
	chargedBytes int64 // charged to the connection's memory
}

func newClientConn(front *Front, netConn net.Conn) *clientConn {
	now := time.Now()
	conn := &clientConn{
		front:            front,
		netConn:          netConn,
		wakeWriter:       make(chan struct{}, 1),
		acceptedAt:       now,
		memory:           front.config.Memory.NewAccount(),
		inFlight:         make(map[uint32]openRequest),
		idleSince:        now,
		messageStartedAt: now,
		lingerTimeout:    frontend.LingerTimeout,
		readerEnded:      make(chan struct{}),
		flow:             front.config.Pacer.NewConnectionFlow(netConn.RemoteAddr()),
	}
	conn.reader = sockets.NewLockedReader(netConn, &conn.mu, conn.onRead)
	return conn
}

// signalWriter wakes the writer. It does not block.
func (conn *clientConn) signalWriter() {
	select {
	case conn.wakeWriter <- struct{}{}:
	default:
	}
}

// isIdleLocked reports whether no message is being read, no request is in flight, and no response or
// notification waits to be written. The caller holds conn.mu.
func (conn *clientConn) isIdleLocked() bool { return !conn.messageStarted && conn.owesNothingLocked() }

// owesNothingLocked reports whether no request is in flight, and no response or notification waits to be written.
// The caller holds conn.mu.
func (conn *clientConn) owesNothingLocked() bool {
	nothingToWrite := len(conn.responseQueue) == 0 && len(conn.notifications) == 0
	return len(conn.inFlight) == 0 && nothingToWrite
}

// idleTime returns the time since which the connection has been idle; idle is false if it is not idle, or if it
// is new and the client has not had the time to send its first message.
func (conn *clientConn) idleTime(now time.Time) (since time.Time, idle bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.idleSince, conn.isIdleLocked() && conn.graceElapsedLocked(now)
}

// graceElapsedLocked reports whether the client has sent something, or had the time for it. The caller holds
// conn.mu.
func (conn *clientConn) graceElapsedLocked(now time.Time) bool {
	return conn.hasRead || now.Sub(conn.acceptedAt) >= frontend.FirstByteGrace
}

// beginRequest records a request as in flight. It returns false if the connection was closed. The
// request must then not be submitted, because the client sends it again.
func (conn *clientConn) beginRequest(id uint32, request openRequest) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state == connClosed {
		return false
	}
	conn.inFlight[id] = request
	return true
}

// respond queues the handler's response to a request, unless the request was cancelled or the
// connection was closed meanwhile. It is called on the handler's goroutine and does not block.
func (conn *clientConn) respond(id uint32, request *core.Request, result core.Response) {
	conn.mu.Lock()
	open := conn.inFlight[id]
	if open.Request != request {
		conn.mu.Unlock()
		return
	}
	delete(conn.inFlight, id)
	conn.memory.Remove(open.chargedBytes)
	conn.responseQueue = append(conn.responseQueue, queuedResponse{id: id, result: result, requestID: request.ID, deadline: request.Deadline})
	conn.bufferedBytes += len(result.Body)
	conn.mu.Unlock()
	conn.signalWriter()
}

// queueResponse queues a response that does not come from the handler.
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

// isAbandoned reports whether the client of a request has disconnected or cancelled the request.
// It may be called from any goroutine and does not block.
func (conn *clientConn) isAbandoned(id uint32, request *core.Request) bool {
	conn.mu.Lock()
	inFlight := conn.inFlight[id].Request == request
	conn.mu.Unlock()
	return !inFlight || sockets.PeerClosed(conn.netConn)
}
