// Package httpnode is the upstream transport for HTTP/1.1: it performs attempts and probes at
// upstreams, on connections that it pools.
//
// A connection carries one request at a time. An attempt that is cancelled or times out closes
// its connection. See connectionPool for which connection is used.
package httpnode

import (
	"sync/atomic"
	"time"

	"mothridge/internal/core"
)

// The paths that probes request.
const (
	livenessPath   = "/health/live"
	loadReportPath = "/stats"
)

// Transport makes the upstreams that speak HTTP/1.1; they share its connections. Its methods may
// be called from any goroutine and do not block.
//
// It starts no goroutine: attempts and probes run on their callers'.
type Transport struct {
	pool            *connectionPool
	loadReportField string
	probePath       string

	delimitedByClose atomic.Uint64
}

// Config configures a Transport.
type Config struct {
	// DialTimeout bounds opening a connection, the wait for a place among MaxConnections
	// included, and a probe from its start to its response. There is no default.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is idle before upstreams close it; connections are
	// closed 2 s before that, or after half of it where that is later. There is no default.
	IdleTimeout time.Duration
	// MaxConnections bounds the connections that are open at once, to all upstreams. Beyond
	// it the longest idle one is closed, or attempts wait. There is no default.
	MaxConnections int
	// LoadReportField is the name in load reports of the number of requests in flight. Empty:
	// it is not read.
	LoadReportField string
	// ProbeLoadReports makes probes request load reports from /stats; otherwise they request
	// /health/live.
	ProbeLoadReports bool
}

// New makes a Transport. Its Sweep must be called regularly.
func New(config Config) *Transport {
	transport := &Transport{
		pool:            newConnectionPool(config.DialTimeout, config.IdleTimeout, config.MaxConnections),
		loadReportField: config.LoadReportField,
		probePath:       livenessPath,
	}
	if config.ProbeLoadReports {
		transport.probePath = loadReportPath
	}
	return transport
}

// Upstream makes the upstream at an address, without I/O. Each call makes another one, with
// connections of its own.
func (transport *Transport) Upstream(address string) core.Upstream {
	return &httpUpstream{transport: transport, address: address}
}

// Sweep closes the idle connections that cannot be used any more: those that have been idle for
// too long at now, that their upstream has closed or on which bytes came unrequested.
func (transport *Transport) Sweep(now time.Time) { transport.pool.sweep(now) }
