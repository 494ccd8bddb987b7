package httpfront

import (
	"fmt"
	"io"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// maxReadTime is the time from a request's first byte within which a client that stops in the middle
// of the request must get an error response or a close.
const maxReadTime = 3 * time.Second

// TestIncompleteRequestHasOneReadTimeout guards against a read timeout that restarts with each part:
// a request that stops in the middle must end its connection within maxReadTime of the request's
// first byte, however many parts were sent.
func TestIncompleteRequestHasOneReadTimeout(t *testing.T) {
	_, address := startFront(t, testConfig, &servingHandler{})
	conn, reader := dialKeptAlive(t, address)
	text := requestBytes(t, "half")
	startedAt := time.Now()
	conn.Write(text[:20])
	time.Sleep(1900 * time.Millisecond) // a slow client, not a wait for an event
	conn.Write(text[20 : len(text)-5])
	io.Copy(io.Discard, reader)
	if elapsed := time.Since(startedAt); elapsed > maxReadTime {
		t.Errorf("connection ended %v after the first byte, want at most %v", elapsed, maxReadTime)
	}
}

// A request must be answered if its first bytes arrive just before the connection's idle timeout and
// the remaining bytes arrive after it.
func TestIdleTimeoutDoesNotEndStartedRequest(t *testing.T) {
	for _, sentBytes := range []int{1, 2, 3, 30} {
		t.Run(fmt.Sprint(sentBytes, " bytes"), func(t *testing.T) {
			t.Parallel()
			_, address := startFront(t, testConfig, &servingHandler{})
			conn, reader := dialKeptAlive(t, address)
			text := requestBytes(t, "started")
			time.Sleep(idleTimeout - 100*time.Millisecond) // the client is idle
			conn.Write(text[:sentBytes])
			time.Sleep(400 * time.Millisecond)
			conn.Write(text[sentBytes:])
			expectServed(t, reader, false)
		})
	}
}

// A drain closes only connections between requests. If part of a request was received, the request
// must be answered, and its response must announce the close of the connection.
func TestDrainAnswersAStartedRequest(t *testing.T) {
	front, address := startFront(t, testConfig, &servingHandler{})
	conn, reader := dialKeptAlive(t, address)
	text := requestBytes(t, "started")
	conn.Write(text[:40])
	peertest.WaitUntil(t, "the first bytes of the request to be read", func() bool {
		front.listener.mu.Lock()
		defer front.listener.mu.Unlock()
		return len(front.listener.idle) == 1 && front.listener.idle[0].framing.Pending()
	})
	front.Drain()
	conn.Write(text[40:])
	expectServed(t, reader, true)
}
