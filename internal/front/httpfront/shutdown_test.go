package httpfront

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/peers/peertest"
)

// shutdownLookTime is several times the interval at which a front end that shuts down looks at
// what is open.
const shutdownLookTime = 10 * frontend.ShutdownPollInterval

// A request that is on its way when the front end shuts down is answered, on a kept-alive
// connection as on a new one, however much of it had come.
func TestShutdownAnswersAStartedRequest(t *testing.T) {
	for name, first := range map[string]int{"a byte of it": 1, "half of its head": 40, "all but a byte": -1} {
		for kind, keptAlive := range map[string]bool{"new": false, "kept": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				front, address := startFront(t, testConfig, &servingHandler{})
				conn, reader := dial(t, address)
				if keptAlive {
					conn, reader = dialKeptAlive(t, address)
				}
				text := requestBytes(t, "started")
				split := (first + len(text)) % len(text)
				conn.Write(text[:split])
				peertest.Until(t, "its first bytes", front.hasPendingRequest)
				front.Drain()
				shutdown := make(chan error, 1)
				go func() { shutdown <- front.Shutdown(context.Background()) }()
				time.Sleep(shutdownLookTime) // a slow client
				conn.Write(text[split:])
				expectServed(t, reader, true)
				if err := peertest.Await(t, "the end", shutdown); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// hasPendingRequest reports whether bytes have come of a request that is not complete.
func (front *Front) hasPendingRequest() bool {
	front.listener.mu.Lock()
	defer front.listener.mu.Unlock()
	conns := slices.Concat(front.listener.active, front.listener.idle)
	return slices.ContainsFunc(conns, func(conn *clientConn) bool { return conn.framing.Pending() })
}

// Closing a listener resets what waits there. At the bound, with a request open
// on every connection, something may: it is answered before the end.
func TestWaitingConnectionsAreAcceptedBeforeTheEnd(t *testing.T) {
	handler := newHoldingHandler()
	front, address := startFront(t, testConfig, handler)
	statuses := make(chan int, 10)
	for i := range testConfig.MaxConnections + 2 { // all are connected before the shutdown
		conn, reader := dial(t, address)
		peertest.Call{Class: "once", ID: string(rune('a' + i))}.Request(t, address).Write(conn)
		go func() {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Errorf("connection %d: %v", i, err)
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	for range testConfig.MaxConnections {
		peertest.Await(t, "a busy connection", handler.submitted)
	}
	front.Drain()
	shutdown := make(chan error, 1)
	go func() { shutdown <- front.Shutdown(t.Context()) }()
	peertest.Until(t, "the drain", front.listener.isDraining)
	close(handler.release)
	for range testConfig.MaxConnections + 2 {
		if got := peertest.Await(t, "a response", statuses); got != http.StatusOK {
			t.Errorf("got %d", got)
		}
	}
	if err := peertest.Await(t, "the end", shutdown); err != nil {
		t.Error(err)
	}
}
