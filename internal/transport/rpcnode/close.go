package rpcnode

import (
	"errors"
	"fmt"
	"time"
)

var (
	errDrained = errors.New("the connection was drained")
	errIdle    = errors.New("the connection was idle")
)

// drain makes the connection take no more requests; it is closed when none is waited for.
func (conn *connection) drain() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.drainLocked()
	conn.onAnsweredLocked()
}

// drainLocked is drain without the close: the caller calls onAnsweredLocked then.
func (conn *connection) drainLocked() {
	if conn.draining {
		return
	}
	conn.draining = true
	if len(conn.abandoned) > 0 {
		conn.upstream.transport.drainedUnanswered.Add(1)
	}
}

// onAnsweredLocked closes a draining connection once no request is waited for. The writer
// writes the queued cancellations before, as far as the socket takes them.
func (conn *connection) onAnsweredLocked() {
	if len(conn.waiting) > 0 {
		return
	}
	conn.idleSince = time.Now()
	if conn.draining {
		conn.closeLocked(errDrained)
	}
}

// closeLocked closes the connection, unless it is closed: the writer closes the socket.
func (conn *connection) closeLocked(err error) {
	if conn.closeErr == nil {
		conn.closeErr = err
		conn.signalWriter()
	}
}

// closeIfIdle closes the connection if it has been idle for idleTimeout. Abandoned requests
// count only while they may run.
func (conn *connection) closeIfIdle(now time.Time, idleTimeout time.Duration) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	isIdle := len(conn.waiting) == 0 && conn.runningAbandonedLocked(now) == 0
	if isIdle && now.Sub(conn.idleSince) >= idleTimeout {
		conn.closeLocked(errIdle)
	}
}

// fail closes the connection and its socket, and ends the requests that are waited for: those
// not written to their end never ran, the others may have. A nil error is for a connection
// that is closed already.
func (conn *connection) fail(err error) {
	conn.mu.Lock()
	if conn.closeErr == nil {
		conn.closeErr = err
	}
	err = conn.closeErr
	for id, request := range conn.waiting {
		delete(conn.waiting, id)
		if request.state == requestQueued {
			request.reply <- reply{err: fmt.Errorf("%w: %w", errNotWritten, err)}
		} else {
			request.reply <- reply{err: err}
		}
	}
	conn.queue = nil
	conn.cancellations = nil
	conn.mu.Unlock()
	conn.signalWriter()
	conn.netConn.Close()
}
