package peers

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Upstream is a node, that is, a stand-in for an upstream, whose script decides its responses. Upstream
// is safe for concurrent use.
//
// One goroutine accepts connections and starts a goroutine for each connection. With MessagePack-RPC,
// a connection also starts a goroutine for each request that gets no immediate response. Close ends
// all goroutines and waits for them.
type Upstream struct {
	Name      string  // in the ledger
	ledger    *Ledger // nil: nothing is recorded
	listener  net.Listener
	serveConn func(net.Conn)
	script    atomic.Pointer[Script]
	closing   chan struct{} // closed by Close

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup

	accepted, inFlight, cancels, served atomic.Int64
	ignoreCancels                       atomic.Bool
}

// StartUpstream starts an upstream on a free loopback port. If ledger is nil, nothing is recorded.
func StartUpstream(protocol Protocol, name string, ledger *Ledger, script Script) (*Upstream, error) {
	return StartUpstreamAt(loopbackAddr, protocol, name, ledger, script)
}

// StartUpstreamAt starts an upstream like StartUpstream, at an address.
func StartUpstreamAt(addr string, protocol Protocol, name string, ledger *Ledger, script Script) (*Upstream, error) {
	listener, err := listen(addr)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", name, err)
	}
	u := &Upstream{
		Name:     name,
		ledger:   ledger,
		listener: listener,
		closing:  make(chan struct{}),
		conns:    make(map[net.Conn]struct{}),
	}
	u.SetScript(script)
	u.serveConn = u.serveHTTP
	if protocol == RPC {
		u.serveConn = u.serveRPC
	}
	u.wg.Add(1)
	go u.accept()
	return u, nil
}

// SetScript sets the script for requests that arrive after the call.
func (u *Upstream) SetScript(script Script) { u.script.Store(&script) }

// IgnoreCancels sets whether a MessagePack-RPC upstream continues to process cancelled requests.
func (u *Upstream) IgnoreCancels(ignore bool) { u.ignoreCancels.Store(ignore) }

// Addr returns the address that the upstream listens on.
func (u *Upstream) Addr() string { return u.listener.Addr().String() }

// Accepted returns how many connections the upstream has accepted.
func (u *Upstream) Accepted() int64 { return u.accepted.Load() }

// InFlight returns how many requests have arrived and have no response yet.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// Cancels returns how many cancel notifications the upstream has received.
func (u *Upstream) Cancels() int64 { return u.cancels.Load() }

// Served returns how many requests the upstream has responded to with success.
func (u *Upstream) Served() int64 { return u.served.Load() }

// ResetConnections resets the open connections. The upstream continues to accept new connections.
func (u *Upstream) ResetConnections() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		resetOnClose(conn)
		conn.Close()
	}
}

// Close closes the listener and the connections, ends their requests and waits for all goroutines.
// Further calls return immediately.
func (u *Upstream) Close() {
	if u.beginClose() {
		u.wg.Wait()
	}
}

// beginClose closes the listener and the connections on its first call. It reports whether this
// call is the first one.
func (u *Upstream) beginClose() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return false
	}
	u.closed = true
	close(u.closing)
	u.listener.Close()
	for conn := range u.conns {
		conn.Close()
	}
	return true
}

// accept accepts connections until the listener is closed.
func (u *Upstream) accept() {
	defer u.wg.Done()
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.accepted.Add(1)
		if !u.addConn(conn) {
			conn.Close()
			return
		}
		go func() {
			defer u.wg.Done()
			u.serveConn(conn)
			conn.Close()
			u.removeConn(conn)
		}()
	}
}

// addConn adds a connection to conns and its goroutine to wg. It returns false if the upstream is
// closed.
func (u *Upstream) addConn(conn net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return false
	}
	u.conns[conn] = struct{}{}
	u.wg.Add(1)
	return true
}

func (u *Upstream) removeConn(conn net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, conn)
}

// decide records a request in the ledger, if there is one, and returns the script's response.
func (u *Upstream) decide(call Call) Response {
	if u.ledger != nil {
		call.Attempt = u.ledger.recordAttempt(u.Name, call.ID, time.Now())
	}
	response := (*u.script.Load())(call)
	if u.ledger != nil && response.Action != Reject {
		u.ledger.recordExecution(call)
	}
	if response.Body == nil {
		response.Body = []byte(call.ID)
	}
	return response
}

// sleep blocks for a delay, or until the upstream closes.
func (u *Upstream) sleep(delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-u.closing:
	}
}
