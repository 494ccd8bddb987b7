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
	// reuseDelay is the least time between a response and the next request on its connection:
	// bytes that follow a response and belong to no request show by then, and are not taken
	// for the next response. Second responses were seen up to 5.1 ms late.
	reuseDelay = 10 * time.Millisecond
	// fastExchangeTime is the mean exchange time below which another connection is opened
	// rather than waiting out reuseDelay: waiting would cost more than half an exchange.
	fastExchangeTime = 2 * reuseDelay
	// maxDelayedConnections bounds the connections to an upstream that are in their
	// reuseDelay at once. It allows 6,400 requests a second without waiting.
	maxDelayedConnections = 64
)

// connectionPool keeps idle connections for further requests, and bounds how many connections
// are open. Its methods may be called from any goroutine.
//
// A connection is taken from the pool with get, and goes back with put or is closed with drop.
type connectionPool struct {
	dialTimeout time.Duration
	dialer      net.Dialer
	idleTimeout time.Duration // an idle connection is not used for longer than this

	slots chan struct{} // holds one element for each connection that is open or being opened

	dials, dialFailures atomic.Uint64

	mu          sync.Mutex
	withIdle    map[*httpUpstream]bool // the upstreams that have idle connections
	slotWaiters int                    // callers of acquireSlot that wait
}

// newConnectionPool makes a pool; upstreamIdleTimeout is after how long upstreams close idle
// connections.
func newConnectionPool(dialTimeout, upstreamIdleTimeout time.Duration, maxConnections int) *connectionPool {
	return &connectionPool{
		dialTimeout: dialTimeout,
		dialer:      net.Dialer{KeepAlive: -1},
		idleTimeout: roundtrip.IdleTimeout(upstreamIdleTimeout),
		slots:       make(chan struct{}, maxConnections),
		withIdle:    make(map[*httpUpstream]bool),
	}
}

// get returns a connection to an upstream: an idle one, or else a new one. It blocks while a
// connection is opened or is in its reuseDelay.
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
		if conn.isUsable(now, pool.idleTimeout) {
			conn.takenAt = now
			return conn, nil
		}
		pool.drop(conn)
	}
}

// takeIdle takes the idle connection that is to be used next, or returns nil where a new one is
// to be opened. Of those past their reuseDelay it takes the most recently used, so that surplus
// connections reach their idle timeout; else the one with the shortest delay left.
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

// reusableLocked returns how many of the idle connections are past their reuseDelay; they are
// the first ones. The lock of the pool is held.
func (upstream *httpUpstream) reusableLocked(now time.Time) int {
	reusable := len(upstream.idle)
	for reusable > 0 && now.Sub(upstream.idle[reusable-1].idleSince) < reuseDelay {
		reusable--
	}
	return reusable
}

// prefersDialLocked reports whether a new connection is to be opened although the upstream has
// idle ones, which are all in their reuseDelay. pool.mu is held.
func (pool *connectionPool) prefersDialLocked(upstream *httpUpstream) bool {
	isFast := upstream.meanExchangeTime > 0 && upstream.meanExchangeTime < fastExchangeTime
	hasSlot := len(pool.slots) < cap(pool.slots)
	return isFast && len(upstream.idle) < maxDelayedConnections && hasSlot
}

// removeIdleLocked takes an idle connection out; pool.mu is held.
func (pool *connectionPool) removeIdleLocked(upstream *httpUpstream, index int) *connection {
	conn := upstream.idle[index]
	upstream.idle = slices.Delete(upstream.idle, index, index+1)
	if len(upstream.idle) == 0 {
		delete(pool.withIdle, upstream)
	}
	return conn
}

// put takes back a connection whose last response was read to its end. It closes the connection
// where its slot is waited for or its upstream was retired.
func (pool *connectionPool) put(conn *connection) {
	conn.idleSince = time.Now()
	conn.releaseLargeBuffer()
	upstream := conn.upstream
	pool.mu.Lock()
	if pool.slotWaiters > 0 || upstream.retired {
		pool.mu.Unlock()
		pool.drop(conn)
		return
	}
	upstream.recordExchangeLocked(conn.idleSince.Sub(conn.takenAt))
	upstream.idle = append(upstream.idle, conn)
	pool.withIdle[upstream] = true
	pool.mu.Unlock()
}

// drop closes a connection that is not idle and frees its slot.
func (pool *connectionPool) drop(conn *connection) {
	conn.netConn.Close()
	<-pool.slots
}
