package httpfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mothridge/internal/front/frontend"
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
		conn.SetReadDeadline(time.Now().Add(3 * frontend.EvictionLingerTimeout))
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			closed++
		}
	}
	if closed != 1 {
		t.Errorf("got %d idle connections closed for one waiting connection, want 1", closed)
	}
	close(handler.release)
}

// Guards against a whole request that gets no answer because it waits for memory at the connection limit: its
// connection made way for a new one. It must be rejected, so that its client may retry.
func TestRequestThatWaitsForMemoryIsAnsweredAtTheLimit(t *testing.T) {
	const bodyBytes = 60 << 10
	config := testConfig
	config.MaxConnections = 2
	config.Memory = frontend.NewRequestMemory(56 << 10)
	handler := newBlockingHandler()
	_, address := startFront(t, config, handler)
	sized := fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	body := strings.Repeat("b", bodyBytes)
	first := sendText(t, address, requestText("first", sized, body))
	peertest.Await(t, "the first request", handler.submitted)
	waiting := sendText(t, address, requestText("waiting", sized, body))
	time.Sleep(50 * time.Millisecond) // the second request begins to wait for memory
	third := sendText(t, address, requestText("third", "Content-Length: 0\r\n", ""))
	expectStatus(t, "the request that waits for memory", waiting, http.StatusServiceUnavailable)
	peertest.Await(t, "the request of the new connection", handler.submitted)
	close(handler.release)
	expectServed(t, first, false)
	expectServed(t, third, false)
}
