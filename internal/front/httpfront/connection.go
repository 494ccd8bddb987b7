package httpfront

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/http1"
	"mothridge/internal/sockets"
)

// connState is the state of a client connection:
//
//	reading --beginRequest--> serving --endRequest--> reading
//	reading, serving --shutLocked--> closed
type connState int

const (
	connReading connState = iota // between requests, or a request is being read
	connServing                  // a request was given to the handler and is not answered
	connClosed                   // shut here; what is read from now on is dropped
)

// clientConn is a client connection, below net/http.
//
// Closing it between requests and beginning a request exclude each other. net/http
// calls a connection idle until it has read a request's header, and a client whose
// connection was closed meanwhile sends the request again: if the first one were
// served all the same, a request that is not idempotent could run twice.
type clientConn struct {
	*net.TCPConn
	framing  http1.Framing
	onClosed func(*clientConn) // called once, when the connection has been closed

	acceptedAt        time.Time
	earliestArrival   func(now time.Time) time.Time // see Config.EarliestArrival; may be nil
	lastReadAt        atomic.Int64                  // nanoseconds after acceptedAt; set where hasRead is
	hasRead           atomic.Bool                   // something was read
	peerClosed        atomic.Bool                   // the client has closed or reset it
	netHTTPActive     atomic.Bool                   // net/http has it in http.StateActive
	readAheadExceeded atomic.Bool                   // more than maxReadAheadBytes came during a request

	// Of the goroutine that reads.
	reader         *sockets.LockedReader
	requestStarted bool   // the last read brought the first byte of a request
	readAhead      []byte // came during a request and belongs to the next

	// Guarded by the listener's lock.
	evicted      bool      // being closed to make place for another
	trackedSince time.Time // when net/http reported its last change of state

	// mu makes reading bytes and recording them one step, and so looking whether a request
	// has started and closing the connection: what was read before a close is answered,
	// what comes after it is dropped. The listener's lock is taken before mu.
	mu    sync.Mutex
	state connState
	// requestStartedAt is when the first byte of the request that is being read came;
	// zero: none is being read.
	requestStartedAt time.Time
	closeReason      closeReason
}

type clientConnKey struct{}

// withClientConn attaches a connection to the context of its requests.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// clientConnOf returns the connection of a request.
func clientConnOf(httpRequest *http.Request) *clientConn {
	return httpRequest.Context().Value(clientConnKey{}).(*clientConn)
}

// beginRequest is called once a request has been read completely, before it is acted
// on; if it returns false the connection was closed and the request must not be served.
func (conn *clientConn) beginRequest() bool {
	conn.mu.Lock()
	open := conn.state == connReading
	if open {
		conn.state = connServing
	}
	conn.mu.Unlock()
	conn.finishReading()
	return open
}

// finishReading records that a request has been read completely: its time to be read
// no longer bounds the connection's reads.
func (conn *clientConn) finishReading() {
	conn.mu.Lock()
	conn.requestStartedAt = time.Time{}
	conn.mu.Unlock()
	_ = conn.SetReadDeadline(time.Time{})
}

// endRequest records that the connection is between requests again. Where bytes of the
// next one were read already, its time to be read starts now.
func (conn *clientConn) endRequest() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state == connServing {
		conn.state = connReading
	}
	if conn.requestStartedAt.IsZero() && conn.framing.Pending() {
		conn.requestStartedAt = time.Now()
	}
}

// isReading reports whether no request of the connection is being served and it is open.
func (conn *clientConn) isReading() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.state == connReading
}

// isClosed reports whether the connection has been closed here.
func (conn *clientConn) isClosed() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.state == connClosed
}
