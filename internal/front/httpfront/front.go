// Package httpfront is the listener front end for HTTP/1.1: it reads clients' requests, submits
// them to a core.Handler and writes the responses.
//
// net/http parses requests and writes responses. It uses this package's limitedListener, which
// limits the number of open connections, and clientConn, which tracks the state of a connection.
// See docs/design/crossings.md for the races that their locks exclude.
package httpfront

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
	"mothridge/policy"
)

const (
	// firstByteTimeout is the maximum time from accepting a connection to its first byte.
	firstByteTimeout = 2 * time.Second
	// idleTimeout is the maximum time between two requests on a connection. It is short because
	// clients count idle connections against their own connection limits.
	idleTimeout = 2 * time.Second
	// maxHeaderBytes is the maximum size of a request's head.
	maxHeaderBytes = 16 << 10
)

// Config configures a Front. There are no defaults: all fields except Tenants, EarliestArrival, Memory and
// Pacer must be set.
type Config struct {
	// Classes are the names of the request classes. core.Request.Class is an index into Classes.
	Classes []string
	// Idempotency is the idempotency of each class, in the order of Classes.
	Idempotency []policy.Idempotency
	// Tenants are the names of the tenants. core.Request.Tenant is an index into Tenants. If Tenants
	// is empty, there is one tenant and requests need not name it.
	Tenants []string
	// MaxConnections is the maximum number of open client connections. When it is reached, a
	// connection is evicted for a new one, or new connections wait to be accepted.
	MaxConnections int
	// EarliestArrival returns the earliest time at which bytes that were read at now may have
	// arrived. If it is nil, bytes count as having arrived when they are read. It must not block.
	EarliestArrival func(now time.Time) time.Time
	// Memory bounds the memory of the requests together with those of other front ends; nil means no bound.
	Memory *frontend.RequestMemory
	// Pacer makes clients that send at full speed wait; nil means that nobody waits.
	Pacer *frontend.Pacer
}

// Front serves the clients of one listener.
//
// For each connection, net/http runs one goroutine and, during a request, a second one that detects
// when the client disconnects. Both end with the connection. Closing a connection starts a goroutine
// that ends within frontend.LingerTimeout. Shutdown waits for all these goroutines until its context
// is done.
type Front struct {
	handler  core.Handler
	rules    frontend.RequestRules
	listener *limitedListener
	server   *http.Server

	submitted, invalidRequests, disconnects, closedUnanswered atomic.Uint64
	lateResponses                                             *frontend.LateResponses
}

// New returns a Front for a listener. Serve starts the Front, and Shutdown closes the listener.
func New(config Config, handler core.Handler, listener net.Listener) *Front {
	front := &Front{
		handler:  handler,
		rules:    frontend.NewRequestRules(config.Classes, config.Idempotency, config.Tenants),
		listener: newLimitedListener(listener, &config),

		lateResponses: frontend.NewLateResponses(),
	}
	// ReadTimeout is not set: when it expires during a request, net/http's read that detects a
	// disconnect fails, and net/http treats the client as disconnected.
	front.server = &http.Server{
		Handler:           front,
		ConnState:         front.listener.onConnState,
		ConnContext:       withClientConn,
		ReadHeaderTimeout: firstByteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Every request must reach Front.ServeHTTP, which takes one head from
		// clientConn.framing for each request.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	return front
}

// Serve serves clients and blocks until Shutdown is called or an error occurs. After Shutdown, the
// error is http.ErrServerClosed or net.ErrClosed.
func (front *Front) Serve() error { return front.server.Serve(front.listener) }

// Drain closes the idle connections. From now on, each response announces that its connection will
// be closed. New connections are still accepted. Drain does not block.
func (front *Front) Drain() { front.listener.drain() }

// Shutdown closes the listener and blocks until every connection has been closed or ctx is done. Each
// connection is closed after its requests have their responses. Shutdown does not use http.Server.Shutdown,
// because net/http then drops requests that it has already read, without a response.
func (front *Front) Shutdown(ctx context.Context) error {
	front.listener.DrainBacklog(ctx)
	listenerErr := front.listener.Close()
	front.listener.awaitClosed(ctx)
	err := errors.Join(listenerErr, front.server.Close())
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}
