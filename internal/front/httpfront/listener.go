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

// maxIdleTenths is how many tenths of maxConnections may be idle. Clients count idle connections
// against their own limits too, and with many idle connections they could not open new ones.
const maxIdleTenths = 3

// limitedListener limits the number of open client connections and tracks their states. At the limit
// it evicts one connection for each connection that waits; see evict.go. If no connection can be
// evicted, new connections wait to be accepted.
type limitedListener struct {
	*sockets.RetryingListener
	maxConnections  int
	earliestArrival func(now time.Time) time.Time // see Config.EarliestArrival
	memory          *frontend.RequestMemory       // see Config.Memory
	pacer           *frontend.Pacer               // see Config.Pacer
	admission       *frontend.Admission           // used only by Accept
	outOfMemory     atomic.Uint64                 // requests that were rejected because memory was exhausted
	accepted        atomic.Uint64
	abandoned       atomic.Uint64 // connections whose client had left before they were accepted
	closesByReason  [closeReasonCount]atomic.Uint64

	mu       sync.Mutex
	changed  *sync.Cond    // signalled when a connection was closed or became idle
	open     int           // number of connections accepted or reserved and not closed yet
	evicting int           // number of open connections that are being closed because the limit is reached
	active   []*clientConn // new, or a request is being read or served; oldest first
	idle     []*clientConn // between requests; longest idle first
	draining bool
}

func newLimitedListener(listener net.Listener, config *Config) *limitedListener {
	limited := &limitedListener{
		RetryingListener: sockets.NewRetryingListener(listener),
		maxConnections:   config.MaxConnections,
		earliestArrival:  config.EarliestArrival,
		memory:           config.Memory,
		pacer:            config.Pacer,
	}
	limited.admission = frontend.NewAdmission(config.Pacer, limited.RetryingListener, config.MaxConnections)
	limited.changed = sync.NewCond(&limited.mu)
	return limited
}

// Accept blocks until fewer than maxConnections are open and a new connection has arrived. It fails
// only after the listener was closed.
func (listener *limitedListener) Accept() (net.Conn, error) {
	listener.reserve()
	for {
		conn, err := listener.RetryingListener.Accept()
		if err != nil {
			listener.release()
			return nil, err
		}
		tcpConn, ok := conn.(*net.TCPConn)
		switch {
		case !ok:
			slog.Error("closed a connection that is not TCP", "kind", fmt.Sprintf("%T", conn))
			conn.Close()
		case listener.admission.Admit(conn):
			listener.accepted.Add(1)
			return listener.newClientConn(tcpConn), nil
		default:
			listener.abandoned.Add(1)
		}
	}
}

func (listener *limitedListener) newClientConn(tcpConn *net.TCPConn) *clientConn {
	conn := newClientConn(tcpConn, listener.onClosed)
	conn.earliestArrival = listener.earliestArrival
	conn.memory = listener.memory.NewAccount()
	conn.flow = listener.pacer.NewConnectionFlow(tcpConn.RemoteAddr())
	conn.outOfMemory = &listener.outOfMemory
	return conn
}

// release returns a reservation for which no connection was accepted.
func (listener *limitedListener) release() {
	listener.mu.Lock()
	listener.open--
	listener.mu.Unlock()
	listener.changed.Signal()
}

// onClosed records that the socket of a connection has been closed.
func (listener *limitedListener) onClosed(conn *clientConn) {
	listener.closesByReason[conn.closeReason].Add(1)
	slog.Debug("connection closed", "client", conn.RemoteAddr(), "reason", conn.closeReason)
	listener.mu.Lock()
	conn.socketClosed = true
	listener.removeIfEndedLocked(conn)
	listener.mu.Unlock()
	listener.changed.Signal()
}

// removeIfEndedLocked no longer counts a connection as open if its socket is closed and net/http has ended with it. Until
// then its goroutine and its request hold memory.
func (listener *limitedListener) removeIfEndedLocked(conn *clientConn) {
	if !conn.socketClosed || !conn.netHTTPEnded {
		return
	}
	listener.open--
	if conn.evicted {
		listener.evicting--
	}
}

// onConnState tracks the states of the connections. net/http calls it on the goroutine of the
// connection.
func (listener *limitedListener) onConnState(netConn net.Conn, state http.ConnState) {
	conn := netConn.(*clientConn)
	listener.mu.Lock()
	listener.untrackLocked(conn)
	conn.stateChangedAt = time.Now()
	conn.netHTTPActive.Store(state == http.StateActive)
	switch state {
	case http.StateNew, http.StateActive:
		listener.active = append(listener.active, conn)
	case http.StateIdle:
		listener.onIdleLocked(conn)
	case http.StateHijacked, http.StateClosed: // no longer tracked
		conn.netHTTPEnded = true
		listener.removeIfEndedLocked(conn)
	}
	listener.mu.Unlock()
	if state == http.StateIdle || state == http.StateClosed {
		listener.changed.Signal() // this connection may now be evicted, or has ended
	}
	if state == http.StateIdle {
		conn.flow.AwaitMessage(0)
	}
}

func (listener *limitedListener) untrackLocked(conn *clientConn) {
	for _, list := range []*[]*clientConn{&listener.active, &listener.idle} {
		if i := slices.Index(*list, conn); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
		}
	}
}

// onIdleLocked records that a connection became idle. During a drain it closes that connection. If
// too many connections are idle, it closes the one that has been idle for the longest time.
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

// closeLongestIdleLocked closes, of the idle connections on which no request has started, the one
// that has been idle for the longest time.
func (listener *limitedListener) closeLongestIdleLocked() {
	for i, conn := range listener.idle {
		if conn.closeIdle(frontend.LingerTimeout, closedIdle) {
			listener.idle = slices.Delete(listener.idle, i, i+1)
			return
		}
	}
}
