package httpfront

import (
	"slices"
	"time"

	"mothridge/internal/front/frontend"
)

// evictUnfinishedAfter is how long a client may take to send a request before its connection may be evicted.
const evictUnfinishedAfter = 200 * time.Millisecond

// evictionResult is the result of an attempt to evict a connection.
type evictionResult int

const (
	evicted        evictionResult = iota // the connection is being closed
	requestStarted                       // a request has started on the connection; another connection must be chosen
	candidateSoon                        // no connection can be evicted now, but one may soon count as silent or unfinished
	noCandidate                          // every connection has a request that is being served
)

// reserve blocks until fewer than maxConnections are open, then counts one more as open. It evicts
// one connection for each connection that waits.
func (listener *limitedListener) reserve() {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	for listener.open >= listener.maxConnections {
		if listener.open-listener.evicting >= listener.maxConnections {
			switch listener.evictLocked(time.Now()) {
			case requestStarted:
				continue
			case candidateSoon:
				retry := time.AfterFunc(frontend.FirstByteGrace, listener.changed.Signal)
				defer retry.Stop()
			case evicted, noCandidate:
			}
		}
		listener.changed.Wait()
	}
	listener.open++
}

// evictLocked starts to close one connection, so that a new one can be accepted. It chooses the oldest
// connection that is silent or has been reading a request for too long, because connections that
// send nothing or only part of a request must not block clients that send requests. If there is no
// such connection, evictLocked chooses the connection that has been idle for the longest time: the
// client of an idle connection does not treat an orderly close as a failure.
func (listener *limitedListener) evictLocked(now time.Time) evictionResult {
	closing, retrySoon := listener.closeUnfinishedLocked(now)
	if closing {
		return evicted
	}
	if retrySoon { // idle connections, which were used recently, are kept until this is decided
		return candidateSoon
	}
	if len(listener.idle) == 0 {
		return noCandidate
	}
	conn := listener.idle[0]
	listener.idle = slices.Delete(listener.idle, 0, 1)
	return listener.recordEvictionLocked(conn, conn.closeIdle(evictionLingerTimeout, closedIdle))
}

// closeUnfinishedLocked closes the oldest active connection whose client has sent nothing, or has not sent the rest of
// its request, for too long. If there is none, retrySoon reports whether there may soon be one.
func (listener *limitedListener) closeUnfinishedLocked(now time.Time) (closing, retrySoon bool) {
	for i, conn := range listener.active {
		if !conn.isReading() {
			continue
		}
		retrySoon = true
		overdue := now.Sub(conn.stateChangedAt) >= evictUnfinishedAfter
		if (overdue || conn.isSilent(now)) && conn.closeUnfinished() {
			listener.active = slices.Delete(listener.active, i, i+1)
			listener.recordEvictionLocked(conn, true)
			return true, false
		}
		if overdue && conn.memory.EndWait() { // the request is rejected now, and its connection closed
			return false, true
		}
	}
	return false, retrySoon
}

func (listener *limitedListener) recordEvictionLocked(conn *clientConn, closing bool) evictionResult {
	if !closing {
		return requestStarted
	}
	conn.evicted = true
	listener.evicting++
	return evicted
}
