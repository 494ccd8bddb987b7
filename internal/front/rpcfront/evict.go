package rpcfront

import (
	"slices"
	"time"
)

// evictionInterval is the interval at which awaitCapacity looks for an idle connection while a new one
// waits. It polls because a connection does not signal that it has become idle.
const evictionInterval = 20 * time.Millisecond

// awaitCapacity blocks until one more connection may be open or the front end shuts down. It evicts the
// connection that has been idle for the longest time. If no connection is idle, it waits until one
// becomes idle or ends.
func (front *Front) awaitCapacity() {
	for {
		connEnded, full := front.evictIfFull()
		if !full {
			return
		}
		timer := time.NewTimer(evictionInterval)
		select {
		case <-connEnded:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// evictIfFull reports whether Config.MaxConnections connections are open. If so, it closes the
// connection that has been idle for the longest time, and returns a channel that is closed when a
// connection has ended.
func (front *Front) evictIfFull() (connEnded <-chan struct{}, full bool) {
	front.mu.Lock()
	if len(front.conns) < front.config.MaxConnections || front.closed {
		front.mu.Unlock()
		return nil, false
	}
	connEnded = front.connEnded
	idle := front.idleLocked(time.Now())
	front.mu.Unlock()
	for _, candidate := range idle {
		if candidate.conn.closeIdle() {
			break
		}
	}
	return connEnded, true
}

// idleConn is a connection that is idle since a time.
type idleConn struct {
	conn  *clientConn
	since time.Time
}

// idleLocked returns the idle connections, longest idle first. New connections whose first message may still be
// in transit are not among them. The caller holds front.mu.
func (front *Front) idleLocked(now time.Time) []idleConn {
	var idle []idleConn
	for conn := range front.conns {
		if since, isIdle := conn.idleTime(now); isIdle {
			idle = append(idle, idleConn{conn, since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	return idle
}
