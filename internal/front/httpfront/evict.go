package httpfront

import (
	"slices"
	"time"

	"mothridge/internal/front/frontend"
)

// evictionResult is the result of an attempt to evict a connection.
type evictionResult int

const (
	evicted        evictionResult = iota // the connection is being closed
	requestStarted                       // a request has started on the connection; another connection must be chosen
	candidateSoon                        // no connection can be evicted now, but the time of a client may soon be over
	noCandidate                          // every connection has a request that is being served
)

// reserve blocks until fewer than maxConnections are open, then counts one more as open. It evicts
// one connection for each connection that waits.
func (listener *limitedListener) reserve() {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if listener.open >= listener.maxConnections {
		fullAt := time.Now()
		defer func() { listener.admission.RecordFull(time.Since(fullAt)) }()
	}
	for listener.open >= listener.maxConnections {
		if listener.open-listener.evicting >= listener.maxConnections {
			switch listener.evictLocked(time.Now()) {
			case requestStarted:
				continue
			case candidateSoon:
				retry := time.AfterFunc(frontend.EvictionRetryInterval, listener.changed.Signal)
				defer retry.Stop()
			case evicted, noCandidate:
			}
		}
		listener.changed.Wait()
	}
	listener.open++
}

// evictLocked starts to close one connection, so that a new one can be accepted. It chooses the oldest
// connection whose client has sent nothing, or a part of a request, for too long, because such clients must
// not block those that send requests. If there is none and there cannot soon be one, evictLocked chooses the
// connection that has been idle for the longest time: the client of an idle connection does not treat an orderly
// close as a failure.
func (listener *limitedListener) evictLocked(now time.Time) evictionResult {
	reading := listener.readingLocked()
	if listener.closeUnfinishedLocked(reading, now) {
		return evicted
	}
	// Idle connections, which were used recently, are kept until it is decided whether these clients take too long.
	mayStall := func(conn *clientConn) bool { return conn.mayStall(now, conn.stateChangedAt) }
	if slices.ContainsFunc(reading, mayStall) {
		return candidateSoon
	}
	if len(listener.idle) > 0 {
		return listener.closeIdleLocked(now)
	}
	if len(reading) > 0 {
		return candidateSoon
	}
	return noCandidate
}

// readingLocked returns the active connections on which no request is being served, oldest first.
func (listener *limitedListener) readingLocked() (reading []*clientConn) {
	for _, conn := range listener.active {
		if conn.isReading() {
			reading = append(reading, conn)
		}
	}
	return reading
}

// closeUnfinishedLocked closes the first of the connections whose client has had its time to send a request, and
// reports whether it closed one. Requests that have waited for memory for some time are rejected, because they keep
// new ones from being read that need none.
func (listener *limitedListener) closeUnfinishedLocked(reading []*clientConn, now time.Time) bool {
	for _, conn := range reading {
		if conn.closeUnfinished(now, conn.stateChangedAt) {
			listener.active = slices.DeleteFunc(listener.active, func(c *clientConn) bool { return c == conn })
			listener.recordEvictionLocked(conn)
			return true
		}
		if now.Sub(conn.stateChangedAt) >= frontend.StalledGrace {
			conn.memory.EndWait()
		}
	}
	return false
}

// closeIdleLocked closes the connection that has been idle for the longest time, unless its next request has begun.
func (listener *limitedListener) closeIdleLocked(now time.Time) evictionResult {
	conn := listener.idle[0]
	listener.idle = slices.Delete(listener.idle, 0, 1)
	if !conn.closeIdle(frontend.EvictionLingerTimeout, closedIdle) {
		listener.active = append(listener.active, conn) // net/http does not know of its next request yet
		conn.stateChangedAt = now
		return requestStarted
	}
	listener.recordEvictionLocked(conn)
	return evicted
}

func (listener *limitedListener) recordEvictionLocked(conn *clientConn) {
	conn.evicted = true
	listener.evicting++
}
