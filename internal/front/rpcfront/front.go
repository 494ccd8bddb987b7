// Package rpcfront is the listener front end for MessagePack-RPC: it reads clients'
// requests, many at once on one connection, hands them to a core.Handler and writes the
// responses in the order in which they come.
//
// Each connection has a reader and a writer: see clientConn. docs/design/crossings.md
// lists the races that their lock excludes.
package rpcfront

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
	"mothridge/internal/sockets"
	"mothridge/policy"
)

// Handler takes requests: the core.Handler that is first in the chain.
type Handler interface {
	// Submit takes a request; its Respond is called once, possibly before Submit returns.
	Submit(*core.Request)
	// Abandon says that a request's client has disconnected or cancelled it.
	Abandon(*core.Request)
	// Ready reports whether requests can be served.
	Ready() bool
}

// Config configures a Front.
type Config struct {
	// Classes are the names of the request classes; a class's number is its index.
	Classes []string
	// Idempotency is that of each class, by number.
	Idempotency []policy.Idempotency
	// Tenants are the names of the tenants; a tenant's number is its index. Empty: there
	// is one, and requests need not name it.
	Tenants []string
	// MaxConnections bounds the client connections that are open at once. Beyond it the
	// longest idle one is closed, or new ones wait. There is no default.
	MaxConnections int
	// MaxRequestsInFlight bounds the requests of one connection that are not answered;
	// further ones are rejected. 0: DefaultMaxRequestsInFlight.
	MaxRequestsInFlight int
	// MaxBufferedResponseBytes bounds the bodies of responses that wait for one client to
	// read; beyond it the client's new requests are rejected. 0:
	// DefaultMaxBufferedResponseBytes.
	MaxBufferedResponseBytes int
	// EarliestArrival returns when bytes that were read just now may have come at the
	// earliest; nil: now. It must not block.
	EarliestArrival func(now time.Time) time.Time
	// ErrorsAsText writes errors as texts, for codecs that read no maps there.
	ErrorsAsText bool
}

// The defaults of Config.
const (
	DefaultMaxRequestsInFlight      = 64
	DefaultMaxBufferedResponseBytes = 1 << 20
)

// Front serves the clients of one listener.
//
// Serve accepts on its caller's goroutine and starts two more for each connection, which
// end with the connection. Shutdown waits for all of them, until its context is done.
type Front struct {
	handler  Handler
	config   Config
	rules    frontend.RequestRules
	listener *sockets.RetryingListener
	served   chan struct{} // closed when Serve has returned

	// mu is taken before the lock of a connection.
	mu        sync.Mutex
	conns     map[*clientConn]struct{}
	connEnded chan struct{} // closed, and replaced by a new one, when a connection ends
	draining  bool
	closed    bool

	connections, submitted, invalidRequests, limitExceeded, duplicateIDs, malformed, stalled atomic.Uint64
}

// New makes a Front on a listener, which it closes on Shutdown; Serve starts it.
func New(config Config, handler Handler, listener net.Listener) *Front {
	if config.MaxRequestsInFlight == 0 {
		config.MaxRequestsInFlight = DefaultMaxRequestsInFlight
	}
	if config.MaxBufferedResponseBytes == 0 {
		config.MaxBufferedResponseBytes = DefaultMaxBufferedResponseBytes
	}
	return &Front{
		handler:   handler,
		config:    config,
		rules:     frontend.NewRequestRules(config.Classes, config.Idempotency, config.Tenants),
		listener:  sockets.NewRetryingListener(listener),
		served:    make(chan struct{}),
		conns:     make(map[*clientConn]struct{}),
		connEnded: make(chan struct{}),
	}
}

// Serve blocks and serves until Shutdown, and returns nil then; it returns an error once
// the listener was closed otherwise. It may be called once.
func (front *Front) Serve() error {
	defer close(front.served)
	for {
		netConn, err := front.listener.Accept()
		if err != nil {
			if front.isClosed() {
				return nil
			}
			return err
		}
		front.connections.Add(1)
		front.awaitPlace() // after Accept: none is evicted for a connection that does not come
		front.start(newClientConn(front, netConn))
	}
}

// start registers a connection and starts its goroutines.
func (front *Front) start(conn *clientConn) {
	front.mu.Lock()
	front.conns[conn] = struct{}{}
	if front.draining {
		conn.notifyDrain()
	}
	front.mu.Unlock()
	go conn.writeLoop()
	go conn.readLoop()
}

// onConnClosed records that a connection has been closed.
func (front *Front) onConnClosed(conn *clientConn) {
	front.mu.Lock()
	defer front.mu.Unlock()
	delete(front.conns, conn)
	close(front.connEnded)
	front.connEnded = make(chan struct{})
}

func (front *Front) isDraining() bool {
	front.mu.Lock()
	defer front.mu.Unlock()
	return front.draining
}

func (front *Front) isClosed() bool {
	front.mu.Lock()
	defer front.mu.Unlock()
	return front.closed
}
