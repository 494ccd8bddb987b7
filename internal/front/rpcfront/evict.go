package rpcfront

import (
	"maps"
	"slices"
	"time"

	"mothridge/internal/front/frontend"
)

// awaitCapacity blocks until one more connection may be open or the front end shuts down. It evicts one connection,
// and waits until one has ended. It polls because a connection does not signal that it may be evicted.
func (front *Front) awaitCapacity() {
	var fullAt time.Time
	for {
		connEnded, full := front.evictIfFull()
		if !full {
			if !fullAt.IsZero() {
				front.admission.RecordFull(time.Since(fullAt))
			}
			return
		}
		if fullAt.IsZero() {
			fullAt = time.Now()
		}
		timer := time.NewTimer(frontend.EvictionRetryInterval)
		select {
		case <-connEnded:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// evictIfFull reports whether Config.MaxConnections connections are open. If so, it evicts a connection, unless one
// is being closed already, and returns a channel that is closed when a connection has ended.
func (front *Front) evictIfFull() (connEnded <-chan struct{}, full bool) {
	front.mu.Lock()
	if len(front.conns) < front.config.MaxConnections || front.closed {
		front.mu.Unlock()
		return nil, false
	}
	connEnded = front.connEnded
	conns := slices.Collect(maps.Keys(front.conns))
	front.mu.Unlock()
	evict(conns, time.Now())
	return connEnded, true
}

// evict closes one of the connections, unless one is being closed already. It chooses a connection whose client has
// sent nothing, or a part of a message, for too long, because such clients must not block those that send
// requests. If there is none and there cannot soon be one, it chooses the connection that has been idle for the longest
// time: the client of an idle connection does not treat its close as a failure.
func evict(conns []*clientConn, now time.Time) {
	if slices.ContainsFunc(conns, (*clientConn).isClosing) {
		return
	}
	if slices.ContainsFunc(conns, func(conn *clientConn) bool { return conn.closeUnfinished(now) }) {
		return
	}
	if slices.ContainsFunc(conns, (*clientConn).isUnfinished) { // may soon be overdue
		return
	}
	for _, candidate := range longestIdleFirst(conns, now) {
		if candidate.conn.closeIdle() {
			return
		}
	}
}

// idleConn is a connection that is idle since a time.
type idleConn struct {
	conn  *clientConn
	since time.Time
}

// longestIdleFirst returns the idle connections. New connections whose first message may still be in transit
// are not among them.
func longestIdleFirst(conns []*clientConn, now time.Time) []idleConn {
	var idle []idleConn
	for _, conn := range conns {
		if since, isIdle := conn.idleTime(now); isIdle {
			idle = append(idle, idleConn{conn, since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	return idle
}
