// Package rpcfront is the listener front end for MessagePack-RPC: it reads clients' requests, of which
// one connection can have many in flight, submits them to a Handler, and writes the responses in the
// order in which the handler completes them.
//
// Each connection has a reader and a writer goroutine; see clientConn. docs/design/crossings.md lists
// the races that their lock excludes.
package rpcfront

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
	"mothridge/internal/sockets"
	"mothridge/policy"
)

// Handler handles requests. It is implemented by the first core.Handler in the chain.
type Handler interface {
	// Submit starts the handling of a request. Request.Respond is called once, possibly before
	// Submit returns.
	Submit(*core.Request)
	// Abandon reports that the client has disconnected or has cancelled the request.
	Abandon(*core.Request)
	// Ready reports whether an endpoint list is known.
	Ready() bool
}

// Config configures a Front.
type Config struct {
	// Classes are the names of the request classes. core.Request.Class is an index into Classes.
	Classes []string
	// Idempotency is the idempotency of each class, in the order of Classes.
	Idempotency []policy.Idempotency
	// Tenants are the names of the tenants. core.Request.Tenant is an index into Tenants. If Tenants
	// is empty, there is one tenant and requests need not name it.
	Tenants []string
	// MaxConnections is the maximum number of open client connections. When it is reached, the
	// connection that has been idle for the longest time is closed for a new one, or new
	// connections wait. There is no default.
	MaxConnections int
	// MaxRequestsInFlight is the maximum number of requests in flight on one connection; further
	// requests are rejected. 0 means DefaultMaxRequestsInFlight.
	MaxRequestsInFlight int
	// MaxBufferedResponseBytes is the maximum total size of the response bodies that wait for one
	// client to read them. Above it, new requests of the client are rejected. 0 means
	// DefaultMaxBufferedResponseBytes.
	MaxBufferedResponseBytes int
	// EarliestArrival returns the earliest time at which bytes that were read at now may have
	// arrived. If it is nil, bytes count as having arrived when they are read. It must not block.
	EarliestArrival func(now time.Time) time.Time
	// Memory bounds the memory of the requests together with those of other front ends; nil means no bound.
	Memory *frontend.RequestMemory
	// Pacer makes clients that send at full speed wait; nil means that nobody waits.
	Pacer *frontend.Pacer
	// ErrorsAsText encodes errors as strings instead of maps, for clients whose codec cannot
	// decode a map as an error.
	ErrorsAsText bool
}

// Defaults of the Config fields.
const (
	DefaultMaxRequestsInFlight      = 64
	DefaultMaxBufferedResponseBytes = 1 << 20
)

// Front serves the clients of one listener.
//
// Serve accepts connections on the goroutine of its caller and starts two goroutines for each
// connection, which end with the connection. Shutdown waits for all these goroutines until its context
// is done.
type Front struct {
	handler    Handler
	config     Config
	rules      frontend.RequestRules
	listener   *sockets.RetryingListener
	serveEnded chan struct{} // closed when Serve has returned

	admission *frontend.Admission // used only by Serve

	// Lock order: mu before the mu of a connection.
	mu        sync.Mutex
	conns     map[*clientConn]struct{}
	connEnded chan struct{} // closed, and replaced by a new one, when a connection ends
	draining  bool
	closed    bool

	connections, abandoned, submitted, invalidRequests, limitExceeded, outOfMemory, duplicateIDs, malformed, stalled atomic.Uint64
	closesByReason                                                                                                   [closeReasonCount]atomic.Uint64
	lateResponses                                                                                                    *frontend.LateResponses
}

// New returns a Front for a listener. Serve starts the Front, and Shutdown closes the listener.
func New(config Config, handler Handler, listener net.Listener) *Front {
	if config.MaxRequestsInFlight == 0 {
		config.MaxRequestsInFlight = DefaultMaxRequestsInFlight
	}
	if config.MaxBufferedResponseBytes == 0 {
		config.MaxBufferedResponseBytes = DefaultMaxBufferedResponseBytes
	}
	retrying := sockets.NewRetryingListener(listener)
	return &Front{
		handler:    handler,
		config:     config,
		rules:      frontend.NewRequestRules(config.Classes, config.Idempotency, config.Tenants),
		listener:   retrying,
		admission:  frontend.NewAdmission(config.Pacer, retrying, config.MaxConnections),
		serveEnded: make(chan struct{}),

		lateResponses: frontend.NewLateResponses(),

		conns:     make(map[*clientConn]struct{}),
		connEnded: make(chan struct{}),
	}
}

// Serve serves clients and blocks until the listener is closed. It returns nil after Shutdown, and an
// error if the listener was closed in another way. It must be called at most once.
func (front *Front) Serve() error {
	defer close(front.serveEnded)
	for {
		netConn, err := front.listener.Accept()
		if err != nil {
			if front.isClosed() {
				return nil
			}
			return err
		}
		if !front.admission.Admit(netConn) {
			front.abandoned.Add(1)
			continue
		}
		front.connections.Add(1)
		front.awaitCapacity() // after Accept, so that a connection is only evicted for one that has arrived
		front.startConnection(newClientConn(front, netConn))
	}
}

// startConnection registers a connection and starts its two goroutines.
func (front *Front) startConnection(conn *clientConn) {
	front.mu.Lock()
	front.conns[conn] = struct{}{}
	if front.draining {
		conn.notifyDrain()
	}
	front.mu.Unlock()
	go conn.writeLoop()
	go conn.readLoop()
}

// onConnEnded records that the socket of a connection has been closed and that its reader has ended. Until then its
// goroutines and requests hold memory.
func (front *Front) onConnEnded(conn *clientConn) {
	front.mu.Lock()
	defer front.mu.Unlock()
	delete(front.conns, conn)
	front.closesByReason[conn.closeReason].Add(1)
	slog.Debug("connection closed", "client", conn.netConn.RemoteAddr(), "reason", conn.closeReason)
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
