// Package rpcnode is the upstream transport for MessagePack-RPC: it performs attempts and
// probes at upstreams, many at once on one connection.
//
// Other than with HTTP/1.1, an attempt that ends early cannot close its connection. It is
// abandoned: a cancellation goes to the upstream, and the id stays reserved until the response
// comes or the connection ends; the response is dropped. It counts as running at the
// upstream until then, or until the timeout that the upstream was given has passed and
// abandonedGrace more. Config bounds how many requests run so. See
// docs/protocol/msgpack-rpc.md.
//
// An upstream has one connection that takes requests at most, and others that are draining.
// Each connection has a reader and a writer: see connection.
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
	// DialTimeout bounds opening a connection, a write, and a probe from its start to its
	// response. There is no default.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is idle before upstreams close it; connections are
	// closed 2 s before that, or after half of it where that is later. There is no default.
	IdleTimeout time.Duration
	// MaxConnections bounds the connections that are open at once, to all upstreams. Beyond it
	// attempts that need a new one end as policy.NotSent. There is no default.
	MaxConnections int
	// MaxInFlight bounds the requests on a connection that are waited for or that were
	// abandoned and may still run. Beyond it further ones go to another connection. 0:
	// DefaultMaxInFlight.
	MaxInFlight int
	// MaxAbandoned bounds the requests on a connection that were abandoned and have no response,
	// however old they are. At the bound the connection drains. 0: DefaultMaxAbandoned.
	MaxAbandoned int
}

// The defaults of Config.
const (
	DefaultMaxInFlight  = 128
	DefaultMaxAbandoned = 1024
)

// Transport makes the upstreams that speak MessagePack-RPC. Its methods may be called from any
// goroutine and do not block.
//
// It starts a goroutine for each dial, and two for each connection, which end with it.
type Transport struct {
	config Config
	slots  chan struct{} // holds one element for each connection that is open or being opened

	// mu is taken after the lock of an upstream.
	mu        sync.Mutex
	connected map[*rpcUpstream]struct{} // the upstreams that have connections

	late, unknown, malformed, drainedUnanswered, dials atomic.Uint64
}

// New makes a Transport. Its Sweep must be called regularly.
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

// Upstream makes the upstream at an address, without I/O. Each call makes another one, with
// connections of its own.
func (transport *Transport) Upstream(address string) core.Upstream {
	return &rpcUpstream{transport: transport, address: address}
}

// Sweep closes the connections that have been idle for too long at now.
func (transport *Transport) Sweep(now time.Time) {
	idleTimeout := roundtrip.IdleTimeout(transport.config.IdleTimeout)
	for _, upstream := range transport.connectedUpstreams() {
		for _, conn := range upstream.connections() {
			conn.closeIfIdle(now, idleTimeout)
		}
	}
}

func (transport *Transport) connectedUpstreams() []*rpcUpstream {
	transport.mu.Lock()
	defer transport.mu.Unlock()
	upstreams := make([]*rpcUpstream, 0, len(transport.connected))
	for upstream := range transport.connected {
		upstreams = append(upstreams, upstream)
	}
	return upstreams
}

// connections returns a copy of the open connections.
func (upstream *rpcUpstream) connections() []*connection {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	return slices.Clone(upstream.conns)
}
