package httpnode

import (
	"context"
	"errors"

	"mothridge/internal/sockets"
)

// dial opens a connection. It blocks until the connection is open, dialTimeout has passed or ctx is
// done. dialTimeout includes the wait for a slot.
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
		if sockets.IsRefused(err) {
			upstream.reportProcessEnd()
		}
		return nil, err
	}
	pool.connectionsOpened.Add(1)
	return newConnection(upstream, netConn), nil
}

// acquireSlot takes a slot. If no slot is free, it closes the connection that has been idle longest
// and waits for a slot until ctx is done. Its error wraps sockets.ErrConnectionLimit.
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

// startWaiting registers a waiter and closes the connection that has been idle longest. While there
// are waiters, put frees slots instead of keeping connections. The waiter is registered and the idle
// connection is removed under one lock, because a concurrent put could add an idle connection in
// between.
func (pool *connectionPool) startWaiting() {
	pool.mu.Lock()
	pool.slotWaiters++
	conn := pool.removeLongestIdleLocked()
	pool.mu.Unlock()
	if conn != nil {
		pool.closeConnection(conn)
	}
}

// stopWaiting unregisters a waiter.
func (pool *connectionPool) stopWaiting() {
	pool.mu.Lock()
	pool.slotWaiters--
	pool.mu.Unlock()
}
