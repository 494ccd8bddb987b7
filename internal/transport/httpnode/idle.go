package httpnode

import "time"

// removeLongestIdleLocked removes and returns the connection that has been idle longest, among the
// connections to all upstreams. It returns nil if no connection is idle. The caller holds pool.mu.
func (pool *connectionPool) removeLongestIdleLocked() *connection {
	var longestIdle *connection
	for upstream := range pool.upstreamsWithIdle {
		candidate := upstream.idle[0]
		if longestIdle == nil || candidate.idleSince.Before(longestIdle.idleSince) {
			longestIdle = candidate
		}
	}
	if longestIdle != nil {
		pool.removeIdleLocked(longestIdle.upstream, 0)
	}
	return longestIdle
}

// sweep closes the idle connections that can no longer be used.
func (pool *connectionPool) sweep(now time.Time) {
	for _, conn := range pool.removeUnusable(now) {
		pool.closeConnection(conn)
	}
}

// removeUnusable removes the idle connections that can no longer be used, and returns them.
func (pool *connectionPool) removeUnusable(now time.Time) (unusable []*connection) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for upstream := range pool.upstreamsWithIdle {
		for i := len(upstream.idle) - 1; i >= 0; i-- {
			if !upstream.idle[i].isUsable(now, pool.idleTimeout) {
				unusable = append(unusable, pool.removeIdleLocked(upstream, i))
			}
		}
	}
	return unusable
}

// retire closes the idle connections to an upstream. The connections in use are closed by put.
func (pool *connectionPool) retire(upstream *httpUpstream) {
	pool.mu.Lock()
	idle := upstream.idle
	upstream.idle = nil
	upstream.retired = true
	delete(pool.upstreamsWithIdle, upstream)
	pool.mu.Unlock()
	for _, conn := range idle {
		pool.closeConnection(conn)
	}
}
