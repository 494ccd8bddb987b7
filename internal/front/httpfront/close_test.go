package httpfront

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/peers/peertest"
)

// serveOn serves a request as one of a connection and reports whether it was aborted.
func serveOn(t *testing.T, front *Front, conn *clientConn) (aborted bool) {
	defer func() { aborted = recover() == http.ErrAbortHandler }()
	request := peertest.Call{Class: "once"}.Request(t, "127.0.0.1:1")
	front.ServeHTTP(httptest.NewRecorder(), request.WithContext(withClientConn(t.Context(), conn)))
	return false
}

// newUnconnected returns a connection without a socket.
func newUnconnected() *clientConn {
	return &clientConn{TCPConn: &net.TCPConn{}, onClosed: func(*clientConn) {}}
}

// net/http counts a connection as idle until it has read a request's header. A
// connection closed as idle in that moment must not have its request served: the
// client sends it again.
func TestRequestOnAConnectionClosedAsIdleIsNotServed(t *testing.T) {
	handler := &servingHandler{}
	front := New(testConfig, handler, peertest.Listen(t))
	closed, open := newUnconnected(), newUnconnected()
	closed.closeIdle(frontend.LingerTimeout, closedIdle)
	if !serveOn(t, front, closed) || handler.submitted > 0 {
		t.Error("a request of a connection that was closed as idle was served")
	}
	if serveOn(t, front, open) || handler.submitted != 1 {
		t.Error("a request of an open connection was not served")
	}
	open.closeIdle(frontend.LingerTimeout, closedIdle)
	if open.state != connServing {
		t.Error("a connection was closed during a request")
	}
}

// Nothing that comes once a connection has been shut reaches net/http, and so nothing
// of it can be served.
func TestNothingIsReadAfterTheShutdown(t *testing.T) {
	listener := peertest.Listen(t)
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	netConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	conn := &clientConn{
		TCPConn:    netConn.(*net.TCPConn),
		acceptedAt: time.Now(),
		onClosed:   func(*clientConn) { close(closed) },
	}
	readResult := make(chan error, 1)
	go func() { // it waits for the next request as the connection is shut
		n, err := conn.Read(make([]byte, 4<<10))
		if n > 0 {
			t.Errorf("read %d bytes", n)
		}
		readResult <- err
	}()
	conn.closeIdle(frontend.LingerTimeout, closedIdle)
	go func() { // net/http sets deadlines of its own meanwhile
		for t.Context().Err() == nil {
			conn.SetReadDeadline(time.Now().Add(time.Hour))
			time.Sleep(time.Millisecond)
		}
	}()
	peertest.Call{Class: "once"}.Request(t, "x").Write(peer)
	if err := peertest.Await(t, "the end of the read", readResult); err == nil {
		t.Error("a read after the shutdown returned no error")
	}
	select {
	case <-closed:
	case <-time.After(8 * frontend.LingerTimeout):
		t.Fatal("it was read on from for longer than its bound")
	}
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("a further read: %d bytes, error %v", n, err)
	}
}
