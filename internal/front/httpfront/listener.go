package httpfront

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/sockets"
)

// maxIdleTenths is how many tenths of the connections may be idle. Clients count idle
// connections against their own limits too, and could soon open no more.
const maxIdleTenths = 3

// limitedListener bounds the open client connections and follows their states. At the
// bound it evicts one for each that waits: see evict.go. Where none can be evicted it
// leaves new ones waiting to be accepted.
type limitedListener struct {
	*sockets.RetryingListener
	maxConnections  int
	earliestArrival func(now time.Time) time.Time // see Config.EarliestArrival
	accepted        atomic.Uint64
	closes          [closeReasonCount]atomic.Uint64

	mu       sync.Mutex
	changed  *sync.Cond    // a connection was closed or became idle
	open     int           // accepted or reserved, and not closed yet
	evicting int           // of those, how many are being closed to make place
	active   []*clientConn // new, or a request is read or served; the oldest first
	idle     []*clientConn // between requests; the longest idle first
	draining bool
}

func newLimitedListener(
	listener net.Listener, maxConnections int, earliestArrival func(now time.Time) time.Time,
) *limitedListener {
	limited := &limitedListener{
		RetryingListener: sockets.NewRetryingListener(listener),
		maxConnections:   maxConnections,
		earliestArrival:  earliestArrival,
	}
	limited.changed = sync.NewCond(&limited.mu)
	return limited
}

// Accept blocks until fewer than maxConnections are open and one more has come; it fails
// only once the listener has been closed.
func (listener *limitedListener) Accept() (net.Conn, error) {
	listener.reserve()
	for {
		conn, err := listener.RetryingListener.Accept()
		if err != nil {
			listener.release()
			return nil, err
		}
		if tcpConn, ok := conn.(*net.TCPConn); ok {
			listener.accepted.Add(1)
			return listener.newClientConn(tcpConn), nil
		}
		slog.Error("a connection that is not TCP was closed", "kind", fmt.Sprintf("%T", conn))
		conn.Close()
	}
}

func (listener *limitedListener) newClientConn(tcpConn *net.TCPConn) *clientConn {
	return &clientConn{
		TCPConn:         tcpConn,
		acceptedAt:      time.Now(),
		onClosed:        listener.onClosed,
		earliestArrival: listener.earliestArrival,
	}
}

// release gives back a reservation that no connection came of.
func (listener *limitedListener) release() {
	listener.mu.Lock()
	listener.open--
	listener.mu.Unlock()
	listener.changed.Signal()
}

// onClosed records that a connection has been closed.
func (listener *limitedListener) onClosed(conn *clientConn) {
	listener.mu.Lock()
	listener.open--
	if conn.evicted {
		listener.evicting--
	}
	listener.mu.Unlock()
	listener.closes[conn.closeReason].Add(1)
	listener.changed.Signal()
}

// onConnState follows the states of the connections; net/http calls it, on the
// connection's goroutine.
func (listener *limitedListener) onConnState(netConn net.Conn, state http.ConnState) {
	conn := netConn.(*clientConn)
	listener.mu.Lock()
	listener.untrackLocked(conn)
	conn.trackedSince = time.Now()
	conn.netHTTPActive.Store(state == http.StateActive)
	switch state {
	case http.StateNew, http.StateActive:
		listener.active = append(listener.active, conn)
	case http.StateIdle:
		listener.onIdleLocked(conn)
	case http.StateHijacked, http.StateClosed: // no longer tracked
	}
	listener.mu.Unlock()
	if state == http.StateIdle {
		listener.changed.Signal() // it may be evicted now
	}
}

func (listener *limitedListener) untrackLocked(conn *clientConn) {
	for _, list := range []*[]*clientConn{&listener.active, &listener.idle} {
		if i := slices.Index(*list, conn); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
		}
	}
}

// onIdleLocked tracks a connection that became idle. In a drain it closes it; beyond the
// bound on idle connections it closes the longest idle.
func (listener *limitedListener) onIdleLocked(conn *clientConn) {
	conn.endRequest()
	listener.idle = append(listener.idle, conn)
	switch {
	case listener.draining:
		conn.closeIdle(frontend.LingerTimeout, closedDrain)
	case len(listener.idle) > listener.maxConnections*maxIdleTenths/10:
		listener.closeLongestIdleLocked()
	}
}

// closeLongestIdleLocked closes the longest idle connection on which no request has started.
func (listener *limitedListener) closeLongestIdleLocked() {
	for i, conn := range listener.idle {
		if conn.closeIdle(frontend.LingerTimeout, closedIdle) {
			listener.idle = slices.Delete(listener.idle, i, i+1)
			return
		}
	}
}
