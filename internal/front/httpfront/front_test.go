package httpfront

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// serving is a core that serves all it takes with one body.
type serving struct {
	taken int
	body  []byte
}

func (k *serving) Submit(r *core.Request) {
	k.taken++
	r.Respond(core.Response{Result: core.Served, Body: k.body})
}

func (k *serving) Abandon(*core.Request) {}

func (k *serving) HasRequest(string) bool { return false }

func (k *serving) Ready() bool { return true }

var testConfig = Config{
	Classes: []string{"read", "keyed", "once"}, Idempotency: []policy.Idempotency{policy.Idempotent, policy.IdempotentByKey, policy.NotIdempotent},
	Tenants: []string{"acme"}, MaxConnections: 4,
}

// net/http counts a connection as idle until it has read a request's header. A
// connection closed as idle in that moment must not have its request taken: the
// client sends it once more.
func TestRequestOnAConnectionClosedAsIdleIsLeftAlone(t *testing.T) {
	k := &serving{}
	s := New(testConfig, k, peertest.Listen(t))
	serve := func(c *clientConn) (aborted bool) {
		defer func() { aborted = recover() == http.ErrAbortHandler }()
		req := peertest.Call{Class: "once"}.Request(t, "127.0.0.1:1")
		s.ServeHTTP(httptest.NewRecorder(), req.WithContext(withConn(t.Context(), c)))
		return false
	}
	closed, open := &clientConn{TCPConn: &net.TCPConn{}, closed: func(*clientConn) {}}, &clientConn{TCPConn: &net.TCPConn{}, closed: func(*clientConn) {}}
	closed.closeIdle(endIn, closedIdle)
	if !serve(closed) || k.taken > 0 {
		t.Error("a request of a connection that was closed as idle was taken")
	}
	if serve(open) || k.taken != 1 {
		t.Error("a request of an open connection was not taken")
	}
	open.closeIdle(endIn, closedIdle)
	if open.state != connBusy {
		t.Error("a connection was closed under a request that had been taken")
	}
}

// A client that takes no more of its answer than fits into buffers must not hold it for ever.
func TestAnswerIsNotHeldForAClientThatDoesNotRead(t *testing.T) {
	ln, served := peertest.Listen(t), make(chan struct{})
	s := New(testConfig, &serving{body: make([]byte, 1<<20)}, ln)
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		hr.Context().Value(connKey{}).(*clientConn).SetWriteBuffer(4 << 10)
		s.ServeHTTP(w, hr)
		close(served)
	})
	go s.Serve()
	defer s.server.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	peertest.Call{Class: "once", Timeout: "0.5"}.Request(t, "x").Write(c)
	peertest.Await(t, "the end of the answer", served)
}

// holding is a core that answers what it takes once it is let go.
type holding struct {
	serving
	taken chan string
	pass  chan struct{}
}

func (k *holding) Submit(r *core.Request) {
	k.taken <- r.ID
	go func() {
		<-k.pass
		r.Respond(core.Response{Result: core.Served})
	}()
}

// Closing a listener resets what waits there. At the bound, with a request open
// on every connection, something may: it is answered before the end.
func TestWaitingConnectionsAreAcceptedBeforeTheEnd(t *testing.T) {
	ln, k := peertest.Listen(t), &holding{taken: make(chan string, 10), pass: make(chan struct{})}
	s := New(testConfig, k, ln)
	go s.Serve()
	results := make(chan int, 10)
	for i := range testConfig.MaxConnections + 2 { // all are connected before the end begins
		c, in := openConn(t, ln.Addr().String())
		peertest.Call{Class: "once", ID: string(rune('a' + i))}.Request(t, ln.Addr().String()).Write(c)
		go func() {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Errorf("connection %d: %v", i, err)
				results <- 0
				return
			}
			results <- resp.StatusCode
		}()
	}
	for range testConfig.MaxConnections {
		peertest.Await(t, "a busy connection", k.taken)
	}
	s.Drain()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	peertest.Until(t, "the drain", s.listener.isDraining)
	close(k.pass)
	for range testConfig.MaxConnections + 2 {
		if got := peertest.Await(t, "an answer", results); got != http.StatusOK {
			t.Errorf("got %d", got)
		}
	}
	if err := peertest.Await(t, "the end", ended); err != nil {
		t.Error(err)
	}
}

// Nothing that comes once a connection has been shut reaches net/http, and so nothing
// of it can be taken.
func TestNothingIsReadAfterTheShutdown(t *testing.T) {
	ln := peertest.Listen(t)
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	c := &clientConn{TCPConn: nc.(*net.TCPConn), accepted: time.Now(), closed: func(*clientConn) { close(ended) }}
	read := make(chan error, 1)
	go func() { // it waits for the next request as the connection is shut
		n, err := c.Read(make([]byte, 4<<10))
		if n > 0 {
			t.Errorf("read %d bytes", n)
		}
		read <- err
	}()
	c.closeIdle(endIn, closedIdle)
	go func() { // net/http sets deadlines of its own meanwhile
		for t.Context().Err() == nil {
			c.SetReadDeadline(time.Now().Add(time.Hour))
			time.Sleep(time.Millisecond)
		}
	}()
	peertest.Call{Class: "once"}.Request(t, "x").Write(peer)
	if err := peertest.Await(t, "the end of the read", read); err == nil {
		t.Error("a read after the shutdown brought no error")
	}
	select {
	case <-ended:
	case <-time.After(8 * endIn):
		t.Fatal("it was read on from for longer than its bound")
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("a further one: %d bytes, error %v", n, err)
	}
}

// One connection makes way for each that waits, also while it is still read on from.
func TestOneMakesWayForEach(t *testing.T) {
	ln, k := peertest.Listen(t), &holding{taken: make(chan string, 100), pass: make(chan struct{})}
	config := testConfig
	config.MaxConnections = 20
	s := New(config, k, ln)
	go s.Serve()
	t.Cleanup(func() { s.server.Close() })
	dial := func(id string) net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		peertest.Call{Class: "once", ID: id}.Request(t, "x").Write(c)
		peertest.Await(t, "the request", k.taken)
		return c
	}
	var idle []net.Conn
	for i := range 6 {
		c := dial(string(rune('a' + i)))
		k.pass <- struct{}{}
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
		idle = append(idle, c)
	}
	for i := range 14 {
		dial(string(rune('g' + i)))
	}
	peertest.Until(t, "the first to make way", func() bool {
		s.listener.mu.Lock()
		defer s.listener.mu.Unlock()
		return len(s.listener.idle) == 5
	})
	k.pass <- struct{}{} // one more becomes idle meanwhile
	closed := 0
	for _, c := range idle {
		c.SetReadDeadline(time.Now().Add(3 * pressedIn))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			closed++
		}
	}
	if closed != 1 {
		t.Errorf("%d idle connections were closed for one that waits", closed)
	}
	close(k.pass)
}
