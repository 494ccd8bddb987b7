package httpnode

import (
	"net"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
	"mothridge/internal/sockets"
)

// Among the connections past their reuseDelay, the pool reuses the most recently used one first, so
// that the others reach their idle timeout.
func TestPoolReusesTheMostRecentConnection(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200("")))
	pool := newTestPool(4)
	upstream := newTestUpstream(pool, server.Addr)
	var all []*connection
	for range 3 {
		all = append(all, getConnection(t, upstream))
	}
	now := time.Now()
	for i, idleTime := range []time.Duration{5 * reuseDelay, 3 * reuseDelay, reuseDelay / 2} {
		pool.put(all[i])
		all[i].idleSince = now.Add(-idleTime)
	}
	for _, want := range []*connection{all[1], all[0]} {
		if got := pool.takeIdle(upstream, now); got != want {
			t.Errorf("got connection %p, want %p", got, want)
		}
	}
	// The remaining connection is in its reuseDelay: for a slow upstream the pool reuses it, for a
	// fast one the caller must open another connection.
	upstream.meanExchangeTime = fastExchangeTime
	if got := pool.takeIdle(upstream, now); got != all[2] {
		t.Errorf("slow upstream: got connection %p, want the delayed connection %p", got, all[2])
	}
	pool.put(all[2])
	upstream.meanExchangeTime = fastExchangeTime - 1
	if got := pool.takeIdle(upstream, all[2].idleSince); got != nil {
		t.Errorf("fast upstream: got connection %p, want nil so that another one is opened", got)
	}
	if count := len(pool.slots); count != 3 {
		t.Errorf("got %d connections, want 3", count)
	}
}

// The number of connections that are opened because others are in their reuseDelay is limited both
// for each upstream and by the slots of the pool.
func TestPoolBoundsDelayedConnections(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200("")))
	for _, maxConnections := range []int{maxDelayedConnections + 10, 8} {
		pool := newTestPool(maxConnections)
		upstream := newTestUpstream(pool, server.Addr)
		now := time.Now()
		for range maxDelayedConnections + 5 { // each connection is returned to the pool immediately
			conn := pool.takeIdle(upstream, now)
			if conn == nil {
				conn = &connection{netConn: &net.TCPConn{}, upstream: upstream, takenAt: now}
				pool.slots <- struct{}{}
			}
			pool.put(conn)
			conn.idleSince, upstream.meanExchangeTime = now, 1
		}
		if want := min(maxConnections, maxDelayedConnections); len(upstream.idle) != want {
			t.Errorf("got %d delayed connections (maximum %d connections), want %d",
				len(upstream.idle), maxConnections, want)
		}
	}
}

// A connection that the upstream has closed while it was idle must not be reused.
func TestPoolDropsConnectionsClosedByTheUpstream(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200("")))
	pool := newTestPool(4)
	upstream := newTestUpstream(pool, server.Addr)
	conn := getConnection(t, upstream)
	serverConn := peertest.Await(t, "the connection", server.Accepted)
	if !sockets.IsIdle(conn.netConn) {
		t.Error("IsIdle returned false for an open idle connection, want true")
	}
	pool.put(conn)
	serverConn.Close()
	if _, err := conn.reader.Peek(1); err == nil { // blocks until the close has arrived
		t.Fatal("reading succeeded, want an error after the upstream closed the connection")
	}
	conn.idleSince = time.Now().Add(-reuseDelay)
	if got, _ := pool.get(t.Context(), upstream); got == conn {
		t.Error("got a closed connection, want a new one")
	}
	if count := len(pool.slots); count != 1 {
		t.Errorf("got %d slots in use, want 1", count)
	}
}

// An upstream that refuses a connection or resets an idle one has ended, before discovery says so. The next process
// at its address may be that of another endpoint. An orderly close is no sign: upstreams close idle connections.
func TestSignsThatTheProcessHasEnded(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(server net.Conn)
		use  func(*testing.T, *httpUpstream)
		want bool
	}{
		{"reset, found by the next request", resetConnection, func(t *testing.T, upstream *httpUpstream) {
			upstream.transport.pool.closeConnection(getConnection(t, upstream))
		}, true},
		{"reset, found by the sweep", resetConnection, func(_ *testing.T, upstream *httpUpstream) {
			upstream.transport.Sweep(time.Now())
		}, true},
		{"closed", func(server net.Conn) { server.Close() }, func(t *testing.T, upstream *httpUpstream) {
			upstream.transport.pool.closeConnection(getConnection(t, upstream))
		}, false},
		{"refused", func(net.Conn) {}, func(t *testing.T, upstream *httpUpstream) {
			upstream.address = "127.0.0.1:1" // no process listens on this port
			upstream.transport.Sweep(time.Now().Add(time.Hour))
			if _, err := upstream.transport.pool.get(t.Context(), upstream); err == nil {
				t.Error("got a connection, want an error")
			}
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server := peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200("")))
			upstream := newTestUpstream(newTestPool(4), server.Addr)
			reported := false
			upstream.OnProcessEnd(func() { reported = true })
			conn := getConnection(t, upstream)
			upstream.transport.pool.put(conn)
			conn.idleSince = time.Now().Add(-reuseDelay)
			tt.end(peertest.Await(t, "the connection", server.Accepted))
			time.Sleep(50 * time.Millisecond) // the end of the connection arrives
			tt.use(t, upstream)
			if reported != tt.want {
				t.Errorf("got process end reported %v, want %v", reported, tt.want)
			}
		})
	}
}

// resetConnection closes a connection with a reset.
func resetConnection(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// The pool closes an idle connection at its own idle timeout, before the upstream closes it.
func TestPoolClosesIdleConnectionsBeforeTheUpstreamDoes(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200("")))
	pool := newConnectionPool(time.Second, 10*time.Second, 4)
	conn := getConnection(t, newTestUpstream(pool, server.Addr))
	pool.put(conn)
	pool.sweep(conn.idleSince.Add(pool.idleTimeout - time.Millisecond))
	if len(pool.slots) != 1 {
		t.Error("idle connection was closed before the idle timeout")
	}
	if pool.idleTimeout >= 10*time.Second {
		t.Errorf("got idle timeout %v, want less than the 10 s of the upstream", pool.idleTimeout)
	}
	pool.sweep(conn.idleSince.Add(pool.idleTimeout))
	peertest.Await(t, "the connection to close", server.Closed)
	if len(pool.slots) != 0 {
		t.Error("the slot of the closed connection was not freed")
	}
}

// At the maximum number of connections, the pool closes an idle connection to open a new one, even
// if the two connect to different upstreams. Without an idle connection, the caller waits for a slot.
func TestPoolBoundsConnections(t *testing.T) {
	serverA := peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200("")))
	serverB := peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200("")))
	pool := newTestPool(2)
	upstreamA, upstreamB := newTestUpstream(pool, serverA.Addr), newTestUpstream(pool, serverB.Addr)
	first, second := getConnection(t, upstreamA), getConnection(t, upstreamA)
	pool.put(first)
	if _, err := pool.get(t.Context(), upstreamB); err != nil {
		t.Fatalf("got error %v, want an idle connection closed to free its slot", err)
	}
	peertest.Await(t, "the idle connection to close", serverA.Closed)
	waiter := make(chan error, 1)
	go func() {
		_, err := pool.get(t.Context(), upstreamB)
		waiter <- err
	}()
	peertest.Await(t, "the second connection", serverA.Accepted) // the first one was accepted earlier
	pool.put(second)                                             // closes the connection if the waiter already waits
	if err := peertest.Await(t, "a connection", waiter); err != nil {
		t.Errorf("waiting caller: got error %v, want a connection", err)
	}
	if count := len(pool.slots); count != 2 {
		t.Errorf("got %d connections, want 2", count)
	}
}

// Another process may take over the address of a retired upstream while an attempt to the old
// process is still in flight. The connection of that attempt must not be reused for the new process.
func TestConnectionsBelongToTheirUpstream(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200("")))
	pool := newTestPool(4)
	retired := newTestUpstream(pool, server.Addr)
	idle, inUse := getConnection(t, retired), getConnection(t, retired)
	pool.put(idle)
	retired.Retire()
	peertest.Await(t, "the idle connection to close", server.Closed)
	fresh := getConnection(t, newTestUpstream(pool, server.Addr))
	if fresh == idle || fresh == inUse {
		t.Error("the new upstream got a connection of the retired upstream, want a new connection")
	}
	pool.put(inUse)
	peertest.Await(t, "the connection in use to close", server.Closed)
	if len(pool.slots) != 1 || len(pool.upstreamsWithIdle) != 0 {
		t.Errorf("got %d slots in use and %d upstreams with idle connections, want 1 and 0",
			len(pool.slots), len(pool.upstreamsWithIdle))
	}
}
