package rpcnode

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// maxConnectionsPerUpstream is the maximum number of connections to one upstream: at most one connection
// that accepts requests, and connections that are draining or have reached their capacity.
const maxConnectionsPerUpstream = 4

var (
	errRetired          = errors.New("upstream was retired")
	errConnectionsInUse = errors.New("all connections to the upstream are at capacity or draining")
)

// rpcUpstream is an upstream process that uses MessagePack-RPC.
type rpcUpstream struct {
	transport *Transport
	address   string

	reportProcessEnd func() // see core.ProcessEndDetector; set once, before the first exchange

	// Lock order: mu is locked before the lock of a connection and before the lock of the transport.
	mu      sync.Mutex
	conns   []*connection // open connections, and closed ones that are not removed yet
	dialing *pendingDial  // nil if no connection is being opened
	retired bool          // no more requests are accepted
}

// Retire implements core.Upstream: requests in flight end normally, and no more requests are accepted.
func (upstream *rpcUpstream) Retire() {
	upstream.mu.Lock()
	upstream.retired = true
	conns := slices.Clone(upstream.conns)
	upstream.mu.Unlock()
	for _, conn := range conns {
		conn.drain()
	}
}

// OnProcessEnd implements core.ProcessEndDetector.
func (upstream *rpcUpstream) OnProcessEnd(report func()) { upstream.reportProcessEnd = report }

// connect returns the connection that accepts requests, or opens a new one. It blocks until a connection
// is open, ctx is done or the dial has failed.
func (upstream *rpcUpstream) connect(ctx context.Context) (*connection, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		conn, dial, err := upstream.findOrDial()
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-dial.done:
			if dial.err != nil {
				return nil, dial.err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// findOrDial returns the connection that accepts requests. If there is none, it returns the dial to wait
// for, and starts that dial if necessary.
func (upstream *rpcUpstream) findOrDial() (*connection, *pendingDial, error) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	if upstream.retired {
		return nil, nil, errRetired
	}
	for _, conn := range upstream.conns {
		if conn.checkCapacity(time.Now()) {
			return conn, nil, nil
		}
	}
	if upstream.dialing == nil {
		if len(upstream.conns) >= maxConnectionsPerUpstream {
			return nil, nil, errConnectionsInUse
		}
		upstream.dialing = &pendingDial{done: make(chan struct{})}
		go upstream.dial(upstream.dialing)
	}
	return nil, upstream.dialing, nil
}

// addLocked adds an open connection. The caller holds upstream.mu.
func (upstream *rpcUpstream) addLocked(conn *connection) {
	upstream.conns = append(upstream.conns, conn)
	transport := upstream.transport
	transport.mu.Lock()
	defer transport.mu.Unlock()
	transport.connected[upstream] = struct{}{}
}

// removeConnection removes a closed connection from the upstream.
func (upstream *rpcUpstream) removeConnection(conn *connection) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	if i := slices.Index(upstream.conns, conn); i >= 0 {
		upstream.conns = slices.Delete(upstream.conns, i, i+1)
	}
	if len(upstream.conns) == 0 {
		transport := upstream.transport
		transport.mu.Lock()
		delete(transport.connected, upstream)
		transport.mu.Unlock()
	}
}
