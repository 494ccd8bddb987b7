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

// dialHeld opens a connection with a request that the handler holds.
func dialHeld(t *testing.T, address string, handler *holdingHandler, id string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	peertest.Call{Class: "once", ID: id}.Request(t, "x").Write(conn)
	peertest.Await(t, "the request", handler.submitted)
	return conn
}

// One connection is evicted for each that waits, also while it is still read on from.
func TestOneIsEvictedForEachThatWaits(t *testing.T) {
	handler := newHoldingHandler()
	config := testConfig
	config.MaxConnections = 20
	front, address := startFront(t, config, handler)
	var idle []net.Conn
	for i := range 6 {
		conn := dialHeld(t, address, handler, string(rune('a'+i)))
		handler.release <- struct{}{}
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			t.Fatal(err)
		}
		idle = append(idle, conn)
	}
	for i := range 14 {
		dialHeld(t, address, handler, string(rune('g'+i)))
	}
	peertest.Until(t, "the first eviction", func() bool {
		front.listener.mu.Lock()
		defer front.listener.mu.Unlock()
		return len(front.listener.idle) == 5
	})
	handler.release <- struct{}{} // one more becomes idle meanwhile
	closed := 0
	for _, conn := range idle {
		conn.SetReadDeadline(time.Now().Add(3 * evictionLingerTimeout))
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			closed++
		}
	}
	if closed != 1 {
		t.Errorf("%d idle connections were closed for one that waits", closed)
	}
	close(handler.release)
}
