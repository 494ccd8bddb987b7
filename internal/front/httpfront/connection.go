package httpfront

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/http1"
	"mothridge/internal/sockets"
)

// connState is the state of a client connection:
//
//	reading --beginRequest--> serving --endRequest--> reading
//	reading, serving --closeLocked--> closed
type connState int

const (
	connReading connState = iota // between requests, or a request is being read
	connServing                  // the handler has a request and has not responded yet
	connClosed                   // closed by this process; bytes read from now on are dropped
)

// clientConn is the client connection that net/http reads from and writes to.
//
// Closing the connection between requests and beginning a request exclude each other. net/http
// considers a connection idle until it has read the header of the next request. If the connection
// is closed before that, the client sends the request again. If the first copy were served
// nevertheless, a request that is not idempotent could run twice.
type clientConn struct {
	*net.TCPConn
	framing     http1.Framing
	onClosed    func(*clientConn) // called once, after the connection was closed
	memory      *frontend.MemoryAccount
	outOfMemory *atomic.Uint64 // counts the listener's requests without memory

	acceptedAt      time.Time
	earliestArrival func(now time.Time) time.Time // see Config.EarliestArrival; may be nil
	lastReadAt      atomic.Int64                  // nanoseconds after acceptedAt; valid if hasRead is set
	hasRead         atomic.Bool                   // at least one byte was read
	peerClosed      atomic.Bool                   // the client has closed or reset the connection
	netHTTPActive   atomic.Bool                   // net/http reports the connection as http.StateActive
	interrupted     atomic.Bool                   // net/http has interrupted a read by a deadline in the past

	reader *sockets.LockedReader // reads while it holds mu; only the goroutine that reads calls Read

	// flow is what the client sends. It is not used concurrently: net/http reads for the client's close only while the handler runs.
	flow frontend.ConnectionFlow

	// Used only by the goroutine that reads.
	requestStarted        bool   // the last read received the first byte of a request
	readAhead             []byte // received during a request; part of the next request
	chargedHeadBytes      int64  // charged to memory for the head of the current request
	chargedBodyBytes      int64  // charged to memory for the body of the current request
	chargedReadAheadBytes int64  // charged to memory for readAhead

	// Guarded by the listener's lock (limitedListener.mu).
	evicted        bool      // being closed because the connection limit is reached
	stateChangedAt time.Time // when net/http reported the last change of the connection's state
	socketClosed   bool      // onClosed was called
	netHTTPEnded   bool      // net/http has reported http.StateClosed

	// mu makes reading bytes and recording them atomic. It also makes checking whether a
	// request has started and closing the connection atomic. A request whose bytes were read
	// before a close therefore gets its response, and bytes that arrive after the close are dropped.
	// Lock order: the listener's lock before mu.
	mu    sync.Mutex
	state connState
	// requestStartedAt is when the first byte of the current request was received; zero if no
	// request is being read.
	requestStartedAt time.Time
	lastByteAt       time.Time // when bytes were last read
	writeClosedAt    time.Time // when the last response was written, after which no further request is served; zero if it was not
	lingerSkipped    bool      // see skipLinger
	responding       bool      // the response to the current request is being written
	discarding       bool      // bytes behind the current request are dropped; its response is the last one
	closeReason      closeReason
}

// newClientConn returns an open connection without a bound on the memory of its requests.
func newClientConn(tcpConn *net.TCPConn, onClosed func(*clientConn)) *clientConn {
	conn := &clientConn{TCPConn: tcpConn, acceptedAt: time.Now(), onClosed: onClosed}
	conn.reader = sockets.NewLockedReader(tcpConn, &conn.mu, conn.onRead)
	return conn
}

type clientConnKey struct{}

// withClientConn returns a context for the connection's requests, from which clientConnOf gets the
// connection.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// clientConnOf returns the connection on which a request was received.
func clientConnOf(httpRequest *http.Request) *clientConn {
	return httpRequest.Context().Value(clientConnKey{}).(*clientConn)
}

// beginRequest records that a request was read completely and is about to be served. If
// beginRequest returns false, the connection was closed and the request must not be served.
func (conn *clientConn) beginRequest() bool {
	conn.mu.Lock()
	open := conn.state == connReading
	if open {
		conn.state = connServing
		conn.responding = false
	}
	conn.mu.Unlock()
	conn.finishReading()
	return open
}

// beginResponse records that the response to the current request is about to be written, and reports whether it
// must be the last one on the connection.
func (conn *clientConn) beginResponse() (isLast bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.responding = true
	return conn.discarding
}

// beginDiscarding records that bytes behind the current request are dropped from now on. It returns false if the
// response is already being written, which then does not announce the close of the connection.
func (conn *clientConn) beginDiscarding() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.discarding = conn.discarding || !conn.responding
	return conn.discarding
}

// finishReading records that a request was read completely, and removes the request's read
// timeout from the connection.
func (conn *clientConn) finishReading() {
	conn.mu.Lock()
	conn.requestStartedAt = time.Time{}
	conn.mu.Unlock()
	_ = conn.SetReadDeadline(time.Time{})
}

// endRequest records that the connection is between requests again. If bytes of the next request
// were already read, the read timeout of that request starts now.
func (conn *clientConn) endRequest() {
	conn.endMemory()
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state == connServing {
		conn.state = connReading
	}
	if conn.requestStartedAt.IsZero() && conn.framing.Pending() {
		conn.requestStartedAt = time.Now()
	}
}

// CloseWrite closes the write side after the last response. net/http calls it before it waits for the client to
// close the connection.
func (conn *clientConn) CloseWrite() error {
	conn.mu.Lock()
	conn.writeClosedAt = time.Now() // the connection may now be evicted, which reserve finds out within EvictionRetryInterval
	conn.mu.Unlock()
	return conn.TCPConn.CloseWrite()
}

// isReading reports whether the connection is open and none of its requests is being served.
func (conn *clientConn) isReading() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.state == connReading
}

// mayStall reports whether the connection is open, no request is being served, and only the client can make progress,
// or it is not known yet who can. since is when the client could begin to send.
func (conn *clientConn) mayStall(now, since time.Time) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	isNew := now.Sub(since) < frontend.EvictionRetryInterval // its bytes may not have been read
	return conn.state == connReading && conn.writeClosedAt.IsZero() && (isNew || conn.reader.AwaitsPeerLocked())
}

// isClosed reports whether this process has closed the connection.
func (conn *clientConn) isClosed() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.state == connClosed
}
