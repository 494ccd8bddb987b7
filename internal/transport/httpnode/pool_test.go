package httpnode

import (
	"net"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
	"mothridge/internal/sockets"
)

// Of the connections past their reuseDelay the most recently used goes first, and the others age.
func TestPoolReusesTheMostRecentConnection(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
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
			t.Errorf("got %p, want %p", got, want)
		}
	}
	// The last is in its reuseDelay: a slow upstream's is waited for, a fast one gets another.
	upstream.meanExchangeTime = fastExchangeTime
	if got := pool.takeIdle(upstream, now); got != all[2] {
		t.Errorf("of a slow upstream got %p, want the delayed one, %p", got, all[2])
	}
	pool.put(all[2])
	upstream.meanExchangeTime = fastExchangeTime - 1
	if got := pool.takeIdle(upstream, all[2].idleSince); got != nil {
		t.Errorf("of a fast upstream got %p, want another connection", got)
	}
	if count := len(pool.slots); count != 3 {
		t.Errorf("%d connections, want 3", count)
	}
}

// What is opened because others are in their reuseDelay is bounded, by upstream and by slots.
func TestPoolBoundsDelayedConnections(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	for _, maxConnections := range []int{maxDelayedConnections + 10, 8} {
		pool := newTestPool(maxConnections)
		upstream := newTestUpstream(pool, server.Addr)
		now := time.Now()
		for range maxDelayedConnections + 5 { // as if each were put back at once
			conn := pool.takeIdle(upstream, now)
			if conn == nil {
				conn = &connection{netConn: &net.TCPConn{}, upstream: upstream, takenAt: now}
				pool.slots <- struct{}{}
			}
			pool.put(conn)
			conn.idleSince, upstream.meanExchangeTime = now, 1
		}
		if want := min(maxConnections, maxDelayedConnections); len(upstream.idle) != want {
			t.Errorf("%d delayed connections of %d, want %d", len(upstream.idle), maxConnections, want)
		}
	}
}

func TestPoolDropsWhatTheUpstreamClosed(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	pool := newTestPool(4)
	upstream := newTestUpstream(pool, server.Addr)
	conn := getConnection(t, upstream)
	serverConn := peertest.Await(t, "the connection", server.Accepted)
	if !sockets.IsIdle(conn.netConn) {
		t.Error("an open idle connection is taken for a closed one")
	}
	pool.put(conn)
	serverConn.Close()
	if _, err := conn.reader.Peek(1); err == nil { // returns once the close has arrived
		t.Fatal("the upstream did not close")
	}
	conn.idleSince = time.Now().Add(-reuseDelay)
	if got, _ := pool.get(t.Context(), upstream); got == conn {
		t.Error("a closed connection was given out")
	}
	if count := len(pool.slots); count != 1 {
		t.Errorf("%d slots taken, want 1", count)
	}
}

func TestPoolClosesBeforeTheUpstreamDoes(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	pool := newConnectionPool(time.Second, 10*time.Second, 4)
	conn := getConnection(t, newTestUpstream(pool, server.Addr))
	pool.put(conn)
	pool.sweep(conn.idleSince.Add(pool.idleTimeout - time.Millisecond))
	if len(pool.slots) != 1 {
		t.Error("closed too early")
	}
	if pool.idleTimeout >= 10*time.Second {
		t.Errorf("idle connections are kept for %v", pool.idleTimeout)
	}
	pool.sweep(conn.idleSince.Add(pool.idleTimeout))
	peertest.Await(t, "the connection's end", server.Closed)
	if len(pool.slots) != 0 {
		t.Error("the slot was not given back")
	}
}

// At the bound an idle connection is closed for a new one, to whatever upstream that goes.
func TestPoolBoundsConnections(t *testing.T) {
	serverA := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	serverB := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	pool := newTestPool(2)
	upstreamA, upstreamB := newTestUpstream(pool, serverA.Addr), newTestUpstream(pool, serverB.Addr)
	first, second := getConnection(t, upstreamA), getConnection(t, upstreamA)
	pool.put(first)
	if _, err := pool.get(t.Context(), upstreamB); err != nil {
		t.Fatalf("no idle connection was closed: %v", err)
	}
	peertest.Await(t, "the idle connection's end", serverA.Closed)
	waiter := make(chan error, 1)
	go func() {
		_, err := pool.get(t.Context(), upstreamB)
		waiter <- err
	}()
	peertest.Await(t, "the second connection", serverA.Accepted) // both were accepted by now
	pool.put(second)                                             // drops it if the waiter waits already
	if err := peertest.Await(t, "a connection", waiter); err != nil {
		t.Errorf("a waiting caller got %v", err)
	}
	if count := len(pool.slots); count != 2 {
		t.Errorf("%d connections, want 2", count)
	}
}

// The address of a retired upstream may become another process's while an attempt at the old
// one is in flight: its connection is not the new one's.
func TestConnectionsBelongToTheirUpstream(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	pool := newTestPool(4)
	retired := newTestUpstream(pool, server.Addr)
	idle, inUse := getConnection(t, retired), getConnection(t, retired)
	pool.put(idle)
	retired.Retire()
	peertest.Await(t, "the idle connection's end", server.Closed)
	fresh := getConnection(t, newTestUpstream(pool, server.Addr))
	if fresh == idle || fresh == inUse {
		t.Error("the new upstream got the old one's connection")
	}
	pool.put(inUse)
	peertest.Await(t, "the end of the one in use", server.Closed)
	if len(pool.slots) != 1 || len(pool.withIdle) != 0 {
		t.Errorf("%d slots are taken and %d upstreams have idle connections, want 1 and none",
			len(pool.slots), len(pool.withIdle))
	}
}
