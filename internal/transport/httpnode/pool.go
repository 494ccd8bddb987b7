package httpnode

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/transport/roundtrip"
)

const (
	// reuseDelay is the minimum time between a response and the next request on its connection.
	// Surplus bytes that an upstream sends after a response arrive within this time, so that they
	// are not mistaken for the next response. Second responses were seen up to 5.1 ms late.
	reuseDelay = 10 * time.Millisecond
	// fastExchangeTime is the mean exchange time below which the pool opens another connection
	// instead of waiting for reuseDelay to pass: the wait would cost more than half an exchange.
	fastExchangeTime = 2 * reuseDelay
	// maxDelayedConnections is the maximum number of connections to an upstream that are in their
	// reuseDelay at the same time. It allows 6,400 requests a second without waiting.
	maxDelayedConnections = 64
)

// connectionPool keeps idle connections for reuse and limits the number of open connections. Its
// methods may be called from any goroutine.
//
// get takes a connection from the pool. The caller then either returns the connection with put or
// closes it with closeConnection.
type connectionPool struct {
	dialTimeout time.Duration
	dialer      net.Dialer
	idleTimeout time.Duration // a connection that has been idle for this long is not reused

	slots chan struct{} // contains one element for each connection that is open or being opened

	connectionsOpened, dialFailures atomic.Uint64

	mu                sync.Mutex
	upstreamsWithIdle map[*httpUpstream]bool // the upstreams that have idle connections
	slotWaiters       int                    // number of callers that wait in acquireSlot
}

// newConnectionPool returns a pool. upstreamIdleTimeout is the time after which upstreams close idle
// connections.
func newConnectionPool(dialTimeout, upstreamIdleTimeout time.Duration, maxConnections int) *connectionPool {
	return &connectionPool{
		dialTimeout:       dialTimeout,
		dialer:            net.Dialer{KeepAlive: -1},
		idleTimeout:       roundtrip.IdleTimeout(upstreamIdleTimeout),
		slots:             make(chan struct{}, maxConnections),
		upstreamsWithIdle: make(map[*httpUpstream]bool),
	}
}

// get returns a connection to an upstream: an idle connection if one is usable, else a new one. It
// blocks while a connection is being opened or is in its reuseDelay.
func (pool *connectionPool) get(ctx context.Context, upstream *httpUpstream) (*connection, error) {
	for {
		now := time.Now()
		conn := pool.takeIdle(upstream, now)
		if conn == nil {
			return pool.dial(ctx, upstream)
		}
		if delay := reuseDelay - now.Sub(conn.idleSince); delay > 0 {
			time.Sleep(delay)
			now = time.Now()
		}
		usable, reset := conn.checkIdle(now, pool.idleTimeout)
		if usable {
			conn.takenAt = now
			return conn, nil
		}
		pool.closeConnection(conn)
		if reset {
			upstream.reportProcessEnd()
		}
	}
}

// takeIdle removes and returns the idle connection to use next, or returns nil if the caller must
// open a new connection. Among the connections past their reuseDelay, takeIdle chooses the most
// recently used one, so that surplus connections reach their idle timeout. If all are in their
// reuseDelay, it chooses the one with the shortest remaining delay.
func (pool *connectionPool) takeIdle(upstream *httpUpstream, now time.Time) *connection {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if reusable := upstream.reusableLocked(now); reusable > 0 {
		return pool.removeIdleLocked(upstream, reusable-1)
	}
	if len(upstream.idle) == 0 || pool.prefersDialLocked(upstream) {
		return nil
	}
	return pool.removeIdleLocked(upstream, 0)
}

// reusableLocked returns the number of idle connections that are past their reuseDelay. These are
// the first elements of upstream.idle. The caller holds the lock of the pool.
func (upstream *httpUpstream) reusableLocked(now time.Time) int {
	reusable := len(upstream.idle)
	for reusable > 0 && now.Sub(upstream.idle[reusable-1].idleSince) < reuseDelay {
		reusable--
	}
	return reusable
}

// prefersDialLocked reports whether to open a new connection although the upstream has idle
// connections. All idle connections must be in their reuseDelay. The caller holds pool.mu.
func (pool *connectionPool) prefersDialLocked(upstream *httpUpstream) bool {
	isFast := upstream.meanExchangeTime > 0 && upstream.meanExchangeTime < fastExchangeTime
	hasSlot := len(pool.slots) < cap(pool.slots)
	return isFast && len(upstream.idle) < maxDelayedConnections && hasSlot
}

// removeIdleLocked removes and returns the idle connection at an index. The caller holds pool.mu.
func (pool *connectionPool) removeIdleLocked(upstream *httpUpstream, index int) *connection {
	conn := upstream.idle[index]
	upstream.idle = slices.Delete(upstream.idle, index, index+1)
	if len(upstream.idle) == 0 {
		delete(pool.upstreamsWithIdle, upstream)
	}
	return conn
}

// put returns a connection to the pool after its last response was read completely. It closes the
// connection if another caller waits for a slot or if the upstream was retired.
func (pool *connectionPool) put(conn *connection) {
	conn.idleSince = time.Now()
	conn.releaseLargeBuffer()
	upstream := conn.upstream
	pool.mu.Lock()
	if pool.slotWaiters > 0 || upstream.retired {
		pool.mu.Unlock()
		pool.closeConnection(conn)
		return
	}
	upstream.recordExchangeLocked(conn.idleSince.Sub(conn.takenAt))
	upstream.idle = append(upstream.idle, conn)
	pool.upstreamsWithIdle[upstream] = true
	pool.mu.Unlock()
}

// closeConnection closes a connection that is not idle and frees its slot.
func (pool *connectionPool) closeConnection(conn *connection) {
	conn.netConn.Close()
	<-pool.slots
}
