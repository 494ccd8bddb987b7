// Package httpfront is the listener front end for HTTP/1.1: it reads clients' requests,
// hands them to a core.Handler and writes the responses.
//
// net/http parses requests and writes responses; below it, clientConn follows the state
// of each connection and limitedListener bounds how many are open. See
// docs/design/crossings.md for the races that their locks exclude.
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
	// firstByteTimeout bounds the time from accepting a connection to its first byte.
	firstByteTimeout = 2 * time.Second
	// idleTimeout bounds the time between two requests of a connection. Clients count idle
	// connections against their own limits.
	idleTimeout = 2 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 16 << 10
)

// Config configures a Front. There are no defaults: all fields but Tenants and
// EarliestArrival are needed.
type Config struct {
	// Classes are the names of the request classes; a class's number is its index.
	Classes []string
	// Idempotency is that of each class, by number.
	Idempotency []policy.Idempotency
	// Tenants are the names of the tenants; a tenant's number is its index. Empty: there
	// is one, and requests need not name it.
	Tenants []string
	// MaxConnections bounds the client connections that are open at once. Beyond it a
	// connection is evicted, or new ones wait to be accepted.
	MaxConnections int
	// EarliestArrival returns when bytes that were read just now may have come at the
	// earliest; nil: now. It must not block.
	EarliestArrival func(now time.Time) time.Time
}

// Front serves the clients of one listener.
//
// net/http runs a goroutine for each connection and one more to watch for a client that
// disconnects during a request; both end with the connection. Closing a connection
// starts a goroutine that ends within LingerTimeout. Shutdown waits for all of them, until its
// context is done.
type Front struct {
	handler  core.Handler
	rules    frontend.RequestRules
	listener *limitedListener
	server   *http.Server

	submitted, invalidRequests, disconnects, closedUnanswered atomic.Uint64
}

// New makes a Front on a listener, which it closes on Shutdown; Serve starts it.
func New(config Config, handler core.Handler, listener net.Listener) *Front {
	front := &Front{
		handler:  handler,
		rules:    frontend.NewRequestRules(config.Classes, config.Idempotency, config.Tenants),
		listener: newLimitedListener(listener, config.MaxConnections, config.EarliestArrival),
	}
	// There is no ReadTimeout: it would also end the watch for clients that disconnect,
	// as if they had disconnected.
	front.server = &http.Server{
		Handler:           front,
		ConnState:         front.listener.onConnState,
		ConnContext:       withClientConn,
		ReadHeaderTimeout: firstByteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Every request has to reach the handler, which takes one head from
		// clientConn.framing for each.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	return front
}

// Serve blocks and serves until Shutdown or an error; after Shutdown the error is
// http.ErrServerClosed or net.ErrClosed.
func (front *Front) Serve() error { return front.server.Serve(front.listener) }

// Drain closes the idle connections, and from now on each response announces that its
// connection will be closed; new connections are still accepted. It does not block.
func (front *Front) Drain() { front.listener.drain() }

// Shutdown closes the listener and blocks until every connection has been closed, each
// once its requests are answered, or ctx is done. It does not use http.Server.Shutdown:
// from then on net/http drops each request that it has read, without a response.
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
