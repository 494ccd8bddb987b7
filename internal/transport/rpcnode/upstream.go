package rpcnode

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// maxConnectionsPerUpstream bounds the connections to one upstream: one that takes requests,
// and those that wait for responses or are draining.
const maxConnectionsPerUpstream = 4

var (
	errRetired          = errors.New("the upstream was retired")
	errConnectionsInUse = errors.New("every connection to the upstream waits for responses")
)

// rpcUpstream is a process that speaks MessagePack-RPC.
type rpcUpstream struct {
	transport *Transport
	address   string

	// mu is taken before the lock of a connection and before that of the transport.
	mu      sync.Mutex
	conns   []*connection // open, or closed and not forgotten yet
	dialing *pendingDial  // nil: no connection is being opened
	retired bool          // no request is taken any more
}

// Retire implements core.Upstream: requests in flight end normally, and no more are
// taken.
func (upstream *rpcUpstream) Retire() {
	upstream.mu.Lock()
	upstream.retired = true
	conns := slices.Clone(upstream.conns)
	upstream.mu.Unlock()
	for _, conn := range conns {
		conn.drain()
	}
}

// connect returns the connection that takes requests, or opens one. It blocks until that is
// open, ctx is done or the dial has failed.
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

// findOrDial returns the connection that takes requests, else the dial to wait for.
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

// addLocked adds an open connection; upstream.mu is held.
func (upstream *rpcUpstream) addLocked(conn *connection) {
	upstream.conns = append(upstream.conns, conn)
	transport := upstream.transport
	transport.mu.Lock()
	defer transport.mu.Unlock()
	transport.connected[upstream] = struct{}{}
}

// forget removes a closed connection.
func (upstream *rpcUpstream) forget(conn *connection) {
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
