// Package rpcnode is the upstream transport for MessagePack-RPC: it sends attempts and probes to
// upstreams, with many requests in flight on one connection.
//
// Unlike with HTTP/1.1, an attempt that ends early cannot close its connection, because other requests
// share it. The request is abandoned: a cancellation is sent to the upstream, and the request's id stays
// reserved until its response is received or the connection is closed. The response is dropped. An
// abandoned request counts as running at the upstream until then, but no longer than abandonedGrace
// after the timeout that was sent to the upstream. Config limits the number of such requests. See
// docs/protocol/msgpack-rpc.md.
//
// An upstream has at most one connection that accepts requests. Its other connections are draining or
// have reached their capacity. Each connection has a reader and a writer goroutine: see connection.
package rpcnode

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/transport/roundtrip"
)

// Config configures a Transport.
type Config struct {
	// DialTimeout is the maximum time for opening a connection, for a write, and for a probe from
	// its start to its response. There is no default.
	DialTimeout time.Duration
	// IdleTimeout is the idle time after which upstreams close a connection. The Transport closes
	// its connections 2 s earlier, or after half of IdleTimeout if that is later. There is no
	// default.
	IdleTimeout time.Duration
	// MaxConnections is the maximum number of connections that are open at the same time, to all
	// upstreams together. At the maximum, attempts that need a new connection end as
	// policy.NotSent. There is no default.
	MaxConnections int
	// MaxInFlight is the maximum number of requests on a connection that wait for a response or
	// that were abandoned and may still run. At the maximum, further requests use another
	// connection. 0 means DefaultMaxInFlight.
	MaxInFlight int
	// MaxAbandoned is the maximum number of abandoned requests without a response on a connection,
	// regardless of their age. At the maximum, the connection is drained. 0 means
	// DefaultMaxAbandoned.
	MaxAbandoned int
}

// Default values of Config.
const (
	DefaultMaxInFlight  = 128
	DefaultMaxAbandoned = 1024
)

// Transport creates the upstreams that use MessagePack-RPC. Its methods may be called from any goroutine
// and do not block.
//
// A Transport starts one goroutine for each dial and two for each connection. They end with the dial or
// the connection.
type Transport struct {
	config Config
	slots  chan struct{} // contains one element for each connection that is open or being opened

	// Lock order: mu is locked after the lock of an upstream.
	mu        sync.Mutex
	connected map[*rpcUpstream]struct{} // upstreams that have connections

	late, unknown, malformed, drainedUnanswered, dialAttempts atomic.Uint64
}

// New returns a Transport. The caller must call Sweep about once a second.
func New(config Config) *Transport {
	if config.MaxInFlight == 0 {
		config.MaxInFlight = DefaultMaxInFlight
	}
	if config.MaxAbandoned == 0 {
		config.MaxAbandoned = DefaultMaxAbandoned
	}
	return &Transport{
		config:    config,
		slots:     make(chan struct{}, config.MaxConnections),
		connected: make(map[*rpcUpstream]struct{}),
	}
}

// Upstream returns a new upstream for an address, without I/O. Upstreams never share connections, even
// if they have the same address.
func (transport *Transport) Upstream(address string) core.Upstream {
	return &rpcUpstream{transport: transport, address: address, reportProcessEnd: func() {}}
}

// Sweep closes the connections that have been idle for too long at the time now.
func (transport *Transport) Sweep(now time.Time) {
	idleTimeout := roundtrip.IdleTimeout(transport.config.IdleTimeout)
	for _, upstream := range transport.connectedUpstreams() {
		for _, conn := range upstream.connections() {
			conn.closeIfIdle(now, idleTimeout)
		}
	}
}

// connectedUpstreams returns the upstreams that have connections.
func (transport *Transport) connectedUpstreams() []*rpcUpstream {
	transport.mu.Lock()
	defer transport.mu.Unlock()
	upstreams := make([]*rpcUpstream, 0, len(transport.connected))
	for upstream := range transport.connected {
		upstreams = append(upstreams, upstream)
	}
	return upstreams
}

// connections returns a copy of the list of the upstream's connections.
func (upstream *rpcUpstream) connections() []*connection {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return slices.Clone(upstream.conns)
}
