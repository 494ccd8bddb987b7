package httpfront

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// dialWithOpenRequest opens a connection and sends a request, which the handler leaves unanswered
// until the test releases it.
func dialWithOpenRequest(t *testing.T, address string, handler *blockingHandler, id string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	peertest.Call{Class: "once", ID: id}.Request(t, "x").Write(conn)
	peertest.Await(t, "the request to be submitted", handler.submitted)
	return conn
}

// TestOneEvictionPerWaitingConnection guards against evicting too many connections: exactly one idle
// connection must be evicted for each waiting connection, even while the evicted connection is still
// lingering and counts as open.
func TestOneEvictionPerWaitingConnection(t *testing.T) {
	handler := newBlockingHandler()
	config := testConfig
	config.MaxConnections = 20
	front, address := startFront(t, config, handler)
	var idle []net.Conn
	for i := range 6 {
		conn := dialWithOpenRequest(t, address, handler, string(rune('a'+i)))
		handler.release <- struct{}{}
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			t.Fatal(err)
		}
		idle = append(idle, conn)
	}
	for i := range 14 {
		dialWithOpenRequest(t, address, handler, string(rune('g'+i)))
	}
	peertest.WaitUntil(t, "the first connection to be evicted", func() bool {
		front.listener.mu.Lock()
		defer front.listener.mu.Unlock()
		return len(front.listener.idle) == 5
	})
	handler.release <- struct{}{} // another connection becomes idle while the evicted one lingers
	closed := 0
	for _, conn := range idle {
		conn.SetReadDeadline(time.Now().Add(3 * evictionLingerTimeout))
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			closed++
		}
	}
	if closed != 1 {
		t.Errorf("got %d idle connections closed for one waiting connection, want 1", closed)
	}
	close(handler.release)
}
