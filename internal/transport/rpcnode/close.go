package rpcnode

import (
	"errors"
	"fmt"
	"io"
	"time"

	"mothridge/internal/sockets"
)

var (
	errDrained = errors.New("connection closed after draining")
	errIdle    = errors.New("connection closed after idle timeout")
)

// drain makes the connection accept no more requests. The connection is closed as soon as no request
// waits for a response.
func (conn *connection) drain() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.drainLocked()
	conn.checkIdleLocked()
}

// drainLocked marks the connection as draining. The caller must call checkIdleLocked afterwards.
func (conn *connection) drainLocked() {
	if conn.draining {
		return
	}
	conn.draining = true
	if len(conn.abandoned) > 0 {
		conn.upstream.transport.drainedUnanswered.Add(1)
	}
}

// checkIdleLocked records the time if no request waits for a response, and then closes the connection
// if it is draining. Before the socket is closed, the writer writes the queued cancellations, as far as
// the socket accepts them.
func (conn *connection) checkIdleLocked() {
	if len(conn.waiting) > 0 {
		return
	}
	conn.idleSince = time.Now()
	if conn.draining {
		conn.closeLocked(errDrained)
	}
}

// closeLocked marks the connection as closed with err, unless it is closed already. The writer then
// closes the socket.
func (conn *connection) closeLocked(err error) {
	if conn.closeErr == nil {
		conn.closeErr = err
		conn.signalWriter()
	}
}

// closeIfIdle closes the connection if it has been idle for idleTimeout. A connection with abandoned
// requests is idle only when none of them can still run at the upstream.
func (conn *connection) closeIfIdle(now time.Time, idleTimeout time.Duration) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	isIdle := len(conn.waiting) == 0 && conn.runningAbandonedLocked(now) == 0
	if isIdle && now.Sub(conn.idleSince) >= idleTimeout {
		conn.closeLocked(errIdle)
	}
}

// fail closes the connection and its socket, and ends all requests that wait for a response. Requests
// that were not completely written never ran; the others may have run. err may be nil if the connection
// is closed already.
func (conn *connection) fail(err error) {
	if conn.showsProcessEnd(err) {
		conn.upstream.reportProcessEnd()
	}
	conn.mu.Lock()
	if conn.closeErr == nil {
		conn.closeErr = err
	}
	err = conn.closeErr
	for id, request := range conn.waiting {
		delete(conn.waiting, id)
		if request.state == requestQueued {
			request.completion <- completion{err: fmt.Errorf("%w: %w", errNotWritten, err)}
		} else {
			request.completion <- completion{err: err}
		}
	}
	conn.queue = nil
	conn.cancellations = nil
	conn.mu.Unlock()
	conn.signalWriter()
	conn.netConn.Close()
}

// showsProcessEnd reports whether the error that has ended reading or writing is a sign that the upstream's process has ended: it reset
// the connection, or closed it instead of answering a probe, and had got no attempt that waits for its response. Under an attempt
// neither is a sign, because answers get lost so as well.
func (conn *connection) showsProcessEnd(err error) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	attempts, probes := conn.countWrittenLocked()
	if conn.closeErr != nil || attempts > 0 {
		return false
	}
	return sockets.IsReset(err) || probes > 0 && errors.Is(err, io.EOF)
}

// countWrittenLocked returns how many of the attempts and probes that wait for a response were written. The caller holds conn.mu.
func (conn *connection) countWrittenLocked() (attempts, probes int) {
	for _, request := range conn.waiting {
		switch {
		case request.state == requestQueued:
		case request.message != nil:
			attempts++
		default:
			probes++
		}
	}
	return attempts, probes
}
