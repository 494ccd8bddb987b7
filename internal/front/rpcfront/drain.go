package rpcfront

import (
	"context"
	"errors"
	"net"
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/msgrpc"
)

// Drain notifies every client, and those that still connect, to send nothing new. It does
// not block.
func (front *Front) Drain() {
	front.mu.Lock()
	defer front.mu.Unlock()
	front.draining = true
	for conn := range front.conns {
		conn.notifyDrain()
	}
}

// notifyDrain notifies the client to send nothing new.
func (conn *clientConn) notifyDrain() {
	conn.mu.Lock()
	conn.notifications = msgrpc.AppendDrain(conn.notifications)
	conn.mu.Unlock()
	conn.signalWriter()
}

// Shutdown closes the listener and blocks until every connection has been closed, each
// once all its requests are answered; where ctx is done before, it closes those that are
// left. What crosses the drain is served: connections that wait to be accepted are
// accepted, and a message that has started is read on.
func (front *Front) Shutdown(ctx context.Context) error {
	front.listener.DrainBacklog(ctx)
	err := front.closeListener()
	select {
	case <-front.served: // no further connection is started
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
		case <-ticker.C: // a new connection may count as silent now
		case <-ctx.Done():
			front.closeSockets()
			return
		}
	}
}

// finishWhenIdle lets every connection be closed as soon as it is idle. It returns how many
// are open, and what is closed when one of them has ended.
func (front *Front) finishWhenIdle() (connEnded <-chan struct{}, open int) {
	front.mu.Lock()
	defer front.mu.Unlock()
	for conn := range front.conns {
		conn.finishWhenIdle(time.Now())
	}
	return front.connEnded, len(front.conns)
}

// finishWhenIdle lets the connection be closed as soon as it is idle, but for a new one
// whose first message may be on its way.
func (conn *clientConn) finishWhenIdle(now time.Time) {
	conn.mu.Lock()
	hadTime := conn.hasRead || now.Sub(conn.acceptedAt) >= frontend.FirstByteGrace
	if conn.state == connOpen && hadTime {
		conn.state = connFinishing
	}
	conn.mu.Unlock()
	conn.signalWriter()
}

func (front *Front) closeSockets() {
	front.mu.Lock()
	defer front.mu.Unlock()
	for conn := range front.conns {
		conn.netConn.Close()
	}
}
