package rpcfront

import "time"

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
	longestIdle := front.longestIdleLocked()
	front.mu.Unlock()
	if longestIdle != nil {
		longestIdle.closeIdle()
	}
	return connEnded, true
}

// longestIdleLocked returns the connection that has been idle for the longest time, or nil if no
// connection is idle. The caller holds front.mu.
func (front *Front) longestIdleLocked() *clientConn {
	var longestIdle *clientConn
	var earliest time.Time
	for conn := range front.conns {
		since, idle := conn.idleTime()
		if idle && (longestIdle == nil || since.Before(earliest)) {
			longestIdle, earliest = conn, since
		}
	}
	return longestIdle
}
