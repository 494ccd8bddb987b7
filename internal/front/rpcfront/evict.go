package rpcfront

import "time"

// evictionInterval is how often an idle connection is sought while a new one waits: that one
// becomes idle is not signalled.
const evictionInterval = 20 * time.Millisecond

// awaitPlace blocks until one more connection may be open, or the front end shuts down. It
// evicts the longest idle connection; where none is idle it waits for one to end.
func (front *Front) awaitPlace() {
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

// evictIfFull closes the longest idle connection where as many as may be are open, and
// returns what is closed when one of them has ended.
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

// longestIdleLocked returns the longest idle connection; nil where none is idle. front.mu
// is held.
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
