package httpfront

import (
	"fmt"
	"io"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// maxReadTime is how soon a client that stops in the middle of a request has to get its
// error or the end of its connection.
const maxReadTime = 3 * time.Second

// A request that stops half way ends its connection in one time from its first byte
// on, in however many parts it came.
func TestHalfARequestHasOneBudget(t *testing.T) {
	_, address := startFront(t, testConfig, &servingHandler{})
	conn, reader := dialKeptAlive(t, address)
	text := requestBytes(t, "half")
	startedAt := time.Now()
	conn.Write(text[:20])
	time.Sleep(1900 * time.Millisecond) // a slow client, not a wait for an event
	conn.Write(text[20 : len(text)-5])
	io.Copy(io.Discard, reader)
	if took := time.Since(startedAt); took > maxReadTime {
		t.Errorf("ended %v after its first byte, want %v at most", took, maxReadTime)
	}
}

// A request that has started when the idle time of its connection runs out is answered.
func TestIdleTimeoutSparesAStartedRequest(t *testing.T) {
	for _, first := range []int{1, 2, 3, 30} {
		t.Run(fmt.Sprint(first, " bytes"), func(t *testing.T) {
			t.Parallel()
			_, address := startFront(t, testConfig, &servingHandler{})
			conn, reader := dialKeptAlive(t, address)
			text := requestBytes(t, "started")
			time.Sleep(idleTimeout - 100*time.Millisecond) // the client is idle
			conn.Write(text[:first])
			time.Sleep(400 * time.Millisecond)
			conn.Write(text[first:])
			expectServed(t, reader, false)
		})
	}
}

// A drain closes connections between requests, and none on which one has started: that
// is answered, and the response announces the close.
func TestDrainAnswersAStartedRequest(t *testing.T) {
	front, address := startFront(t, testConfig, &servingHandler{})
	conn, reader := dialKeptAlive(t, address)
	text := requestBytes(t, "started")
	conn.Write(text[:40])
	peertest.Until(t, "its first bytes", func() bool {
		front.listener.mu.Lock()
		defer front.listener.mu.Unlock()
		return len(front.listener.idle) == 1 && front.listener.idle[0].framing.Pending()
	})
	front.Drain()
	conn.Write(text[40:])
	expectServed(t, reader, true)
}
