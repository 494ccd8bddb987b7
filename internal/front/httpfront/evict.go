package httpfront

import (
	"slices"
	"time"

	"mothridge/internal/front/frontend"
)

// evictUnfinishedAfter is how long a request may be read before its connection can be
// evicted.
const evictUnfinishedAfter = 200 * time.Millisecond

// evictionResult is what became of an attempt to evict a connection.
type evictionResult int

const (
	evicted        evictionResult = iota // it will be closed soon
	requestStarted                       // the connection got a request meanwhile: another has to be found
	candidateSoon                        // none now, but one may become silent or unfinished soon
	noCandidate                          // all have a request that is served
)

// reserve blocks until one more connection may be open, and counts it as open. It evicts
// one connection for each that waits.
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

// evictLocked starts to close one connection for a new one: the oldest that is silent or
// reads a request for too long, else the longest idle, whose client does not take an
// orderly close for a failure. Silent connections, and those with half a request, must
// not keep out clients that send requests.
func (listener *limitedListener) evictLocked(now time.Time) evictionResult {
	conn, soon := listener.takeUnfinishedLocked(now)
	if conn != nil {
		return listener.recordEvictionLocked(conn, conn.closeUnfinished())
	}
	if soon { // recently used ones are kept until it is clear
		return candidateSoon
	}
	if len(listener.idle) == 0 {
		return noCandidate
	}
	conn = listener.idle[0]
	listener.idle = slices.Delete(listener.idle, 0, 1)
	return listener.recordEvictionLocked(conn, conn.closeIdle(evictionLingerTimeout, closedIdle))
}

// takeUnfinishedLocked removes from the active connections the oldest that is silent or
// reads a request for too long. Where there is none, soon reports whether one may
// become so.
func (listener *limitedListener) takeUnfinishedLocked(now time.Time) (conn *clientConn, soon bool) {
	for i, conn := range listener.active {
		if !conn.isReading() {
			continue
		}
		if conn.isSilent(now) || now.Sub(conn.trackedSince) >= evictUnfinishedAfter {
			listener.active = slices.Delete(listener.active, i, i+1)
			return conn, false
		}
		soon = true
	}
	return nil, soon
}

func (listener *limitedListener) recordEvictionLocked(conn *clientConn, closing bool) evictionResult {
	if !closing {
		return requestStarted
	}
	conn.evicted = true
	listener.evicting++
	return evicted
}
