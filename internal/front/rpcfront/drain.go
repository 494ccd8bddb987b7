package rpcfront

import (
	"context"
	"errors"
	"net"
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/msgrpc"
	"mothridge/internal/sockets"
)

// Drain notifies every client to send no new requests, including clients that connect later. It does
// not block.
func (front *Front) Drain() {
	front.mu.Lock()
	defer front.mu.Unlock()
	front.draining = true
	for conn := range front.conns {
		conn.notifyDrain()
	}
}

// notifyDrain notifies the client to send no new requests.
func (conn *clientConn) notifyDrain() {
	conn.mu.Lock()
	conn.notifications = msgrpc.AppendDrain(conn.notifications)
	conn.mu.Unlock()
	conn.signalWriter()
}

// Shutdown closes the listener and blocks until every connection has been closed. Each connection is
// closed after all its requests have their responses. When ctx is done, Shutdown closes the remaining
// connections at once. Requests that clients sent before they learned of the drain are served:
// connections that wait in the backlog are accepted, and a partly received message is read completely.
func (front *Front) Shutdown(ctx context.Context) error {
	front.listener.DrainBacklog(ctx)
	err := front.closeListener()
	select {
	case <-front.serveEnded: // no further connection will be started
	case <-ctx.Done():
	}
	front.finishConnections(ctx)
	return err
}

func (front *Front) closeListener() error {
	front.mu.Lock()
	front.closed = true
	front.mu.Unlock()
	err := front.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// finishConnections blocks until every connection has been closed.
func (front *Front) finishConnections(ctx context.Context) {
	ticker := time.NewTicker(frontend.ShutdownPollInterval)
	defer ticker.Stop()
	for {
		connEnded, open := front.finishWhenIdle()
		if open == 0 {
			return
		}
		select {
		case <-connEnded:
		case <-ticker.C: // a new connection may count as silent by now
		case <-ctx.Done():
			front.closeSockets()
			return
		}
	}
}

// finishWhenIdle marks every connection to be closed as soon as it is idle. It returns the number of
// open connections, and a channel that is closed when a connection has ended.
func (front *Front) finishWhenIdle() (connEnded <-chan struct{}, open int) {
	front.mu.Lock()
	defer front.mu.Unlock()
	for conn := range front.conns {
		conn.finishWhenIdle(time.Now())
	}
	return front.connEnded, len(front.conns)
}

// finishWhenIdle marks the connection to be closed as soon as it is idle. It does nothing to a new
// connection whose first message may still be in transit.
func (conn *clientConn) finishWhenIdle(now time.Time) {
	conn.mu.Lock()
	if conn.state == connOpen && conn.graceElapsedLocked(now) {
		conn.state = connFinishing
	}
	conn.mu.Unlock()
	conn.signalWriter()
}

// finishLocked closes an idle connection that finishes, unless something that the client has sent is unread: the reader signals the
// writer once that is handled. The caller holds conn.mu.
func (conn *clientConn) finishLocked() {
	if conn.state == connFinishing && sockets.Inspect(conn.netConn) != sockets.Readable {
		conn.recordCloseReasonLocked(closedDrain)
		conn.state = connClosed
	}
}

func (front *Front) closeSockets() {
	front.mu.Lock()
	defer front.mu.Unlock()
	for conn := range front.conns {
		conn.recordCloseReason(closedInTransit)
		conn.netConn.Close()
	}
}
