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
	unusable, reset := pool.removeUnusable(now)
	for _, conn := range unusable {
		pool.closeConnection(conn)
	}
	for upstream := range reset {
		upstream.reportProcessEnd()
	}
}

// removeUnusable removes the idle connections that can no longer be used, and returns them. It also returns
// the upstreams that have reset an idle connection.
func (pool *connectionPool) removeUnusable(now time.Time) (unusable []*connection, reset map[*httpUpstream]bool) {
	reset = make(map[*httpUpstream]bool)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for upstream := range pool.upstreamsWithIdle {
		for i := len(upstream.idle) - 1; i >= 0; i-- {
			usable, wasReset := upstream.idle[i].checkIdle(now, pool.idleTimeout)
			if !usable {
				unusable = append(unusable, pool.removeIdleLocked(upstream, i))
			}
			if wasReset {
				reset[upstream] = true
			}
		}
	}
	return unusable, reset
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
