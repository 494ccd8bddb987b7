// Package httpnode is the upstream transport for HTTP/1.1: it sends attempts and probes to upstreams
// on pooled connections.
//
// A connection carries one request at a time. An attempt that is cancelled or times out closes its
// connection. connectionPool describes how the connection for an attempt is chosen.
package httpnode

import (
	"sync/atomic"
	"time"

	"mothridge/internal/core"
)

// The request paths of probes.
const (
	livenessPath   = "/health/live"
	loadReportPath = "/stats"
)

// Transport creates the upstreams that use HTTP/1.1. All of them share the connection pool of the
// Transport. Its methods may be called from any goroutine and do not block.
//
// A Transport starts no goroutines: attempts and probes run on the goroutines of their callers.
type Transport struct {
	pool            *connectionPool
	loadReportField string
	probePath       string

	delimitedByClose atomic.Uint64
}

// Config configures a Transport.
type Config struct {
	// DialTimeout is the maximum time for opening a connection, including the wait for a free
	// slot among MaxConnections, and the maximum time of a probe from its start to its response.
	// There is no default.
	DialTimeout time.Duration
	// IdleTimeout is the idle time after which upstreams close a connection. The Transport closes
	// its connections 2 s earlier, or after half of IdleTimeout if that is later. There is no
	// default.
	IdleTimeout time.Duration
	// MaxConnections is the maximum number of connections that are open at the same time, to all
	// upstreams together. At the maximum, an attempt that needs a new connection closes the one
	// that has been idle longest, or waits. There is no default.
	MaxConnections int
	// LoadReportField is the name of the field in load reports that contains the number of
	// requests in flight. If it is empty, that number is not read.
	LoadReportField string
	// ProbeLoadReports makes probes request load reports from /stats. Otherwise probes request
	// /health/live.
	ProbeLoadReports bool
}

// New returns a Transport. The caller must call Sweep about once a second.
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

// Upstream returns a new upstream for an address, without I/O. Upstreams never share connections, even
// if they have the same address.
func (transport *Transport) Upstream(address string) core.Upstream {
	return &httpUpstream{transport: transport, address: address, reportProcessEnd: func() {}}
}

// Sweep closes the idle connections that can no longer be used: connections that have been idle for
// too long at the time now, that the upstream has closed or that have received unexpected bytes.
func (transport *Transport) Sweep(now time.Time) { transport.pool.sweep(now) }
