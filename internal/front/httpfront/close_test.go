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

// serveOnConnection serves a request as if it had been read from conn, and reports whether the
// request was aborted without a response.
func serveOnConnection(t *testing.T, front *Front, conn *clientConn) (aborted bool) {
	defer func() { aborted = recover() == http.ErrAbortHandler }()
	request := peertest.Call{Class: "once"}.Request(t, "127.0.0.1:1")
	front.ServeHTTP(httptest.NewRecorder(), request.WithContext(withClientConn(t.Context(), conn)))
	return false
}

// newConnWithoutSocket returns a client connection that has no socket.
func newConnWithoutSocket() *clientConn {
	return newClientConn(&net.TCPConn{}, func(*clientConn) {})
}

// TestRequestOnAConnectionClosedAsIdleIsNotServed guards against serving a request twice. net/http
// counts a connection as idle until it has read the header of the next request. If the connection is
// closed as idle at that moment, the request must not be served, because the client sends it again on
// another connection.
func TestRequestOnAConnectionClosedAsIdleIsNotServed(t *testing.T) {
	handler := &servingHandler{}
	front := New(testConfig, handler, peertest.Listen(t))
	closed, open := newConnWithoutSocket(), newConnWithoutSocket()
	closed.closeIdle(frontend.LingerTimeout, closedIdle)
	if !serveOnConnection(t, front, closed) || handler.submitted > 0 {
		t.Error("request on a connection closed as idle: got served, want aborted")
	}
	if serveOnConnection(t, front, open) || handler.submitted != 1 {
		t.Error("request on an open connection: got not served, want served")
	}
	open.closeIdle(frontend.LingerTimeout, closedIdle)
	if open.state != connServing {
		t.Error("the connection was closed while a request was being served")
	}
}

// Bytes that arrive after a connection was closed must not reach net/http, so that no request in
// them can be served. A read that was waiting when the connection was closed must fail.
func TestNothingIsReadAfterConnectionClose(t *testing.T) {
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
	conn := newClientConn(netConn.(*net.TCPConn), func(*clientConn) { close(closed) })
	readResult := make(chan error, 1)
	go func() { // this read waits for the next request while the connection is closed
		n, err := conn.Read(make([]byte, 4<<10))
		if n > 0 {
			t.Errorf("read after the close: got %d bytes, want 0", n)
		}
		readResult <- err
	}()
	conn.closeIdle(frontend.LingerTimeout, closedIdle)
	go func() { // simulates net/http, which sets its own read deadlines meanwhile
		for t.Context().Err() == nil {
			conn.SetReadDeadline(time.Now().Add(time.Hour))
			time.Sleep(time.Millisecond)
		}
	}()
	peertest.Call{Class: "once"}.Request(t, "x").Write(peer)
	if err := peertest.Await(t, "the read to return", readResult); err == nil {
		t.Error("read after the close: got no error, want an error")
	}
	select {
	case <-closed:
	case <-time.After(8 * frontend.LingerTimeout):
		t.Fatal("the connection was not closed within 8 times LingerTimeout")
	}
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("second read after the close: got %d bytes, error %v; want 0 bytes and an error", n, err)
	}
}
