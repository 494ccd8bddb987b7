package httpnode

import (
	"context"
	"errors"

	"mothridge/internal/sockets"
)

// dial opens a connection within dialTimeout, the wait for a slot included. It blocks, until
// ctx is done at most.
func (pool *connectionPool) dial(ctx context.Context, upstream *httpUpstream) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, pool.dialTimeout)
	defer cancel()
	if err := pool.acquireSlot(ctx); err != nil {
		return nil, err
	}
	netConn, err := pool.dialer.DialContext(ctx, "tcp", upstream.address)
	if err != nil {
		<-pool.slots
		pool.dialFailures.Add(1)
		return nil, err
	}
	pool.dials.Add(1)
	return newConnection(upstream, netConn), nil
}

// acquireSlot takes a slot. Where none is free it closes the longest idle connection, or waits.
// Its error is a sockets.ErrConnectionLimit.
func (pool *connectionPool) acquireSlot(ctx context.Context) error {
	select {
	case pool.slots <- struct{}{}:
		return nil
	default:
	}
	pool.startWaiting()
	defer pool.stopWaiting()
	select {
	case pool.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Join(sockets.ErrConnectionLimit, ctx.Err())
	}
}

// startWaiting registers a waiter, for which put frees slots, and closes the longest idle
// connection: both in one moment, as put may add an idle one.
func (pool *connectionPool) startWaiting() {
	pool.mu.Lock()
	pool.slotWaiters++
	conn := pool.removeLongestIdleLocked()
	pool.mu.Unlock()
	if conn != nil {
		pool.drop(conn)
	}
}

func (pool *connectionPool) stopWaiting() {
	pool.mu.Lock()
	pool.slotWaiters--
	pool.mu.Unlock()
}
