package httpnode

import "time"

// removeLongestIdleLocked takes out the longest idle connection of all upstreams; nil where none
// is idle. pool.mu is held.
func (pool *connectionPool) removeLongestIdleLocked() *connection {
	var longestIdle *connection
	for upstream := range pool.withIdle {
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

// sweep closes the idle connections that are not usable any more.
func (pool *connectionPool) sweep(now time.Time) {
	for _, conn := range pool.removeUnusable(now) {
		pool.drop(conn)
	}
}

func (pool *connectionPool) removeUnusable(now time.Time) (unusable []*connection) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for upstream := range pool.withIdle {
		for i := len(upstream.idle) - 1; i >= 0; i-- {
			if !upstream.idle[i].isUsable(now, pool.idleTimeout) {
				unusable = append(unusable, pool.removeIdleLocked(upstream, i))
			}
		}
	}
	return unusable
}

// retire closes the idle connections to an upstream, and lets put close the others.
func (pool *connectionPool) retire(upstream *httpUpstream) {
	pool.mu.Lock()
	idle := upstream.idle
	upstream.idle = nil
	upstream.retired = true
	delete(pool.withIdle, upstream)
	pool.mu.Unlock()
	for _, conn := range idle {
		pool.drop(conn)
	}
}
