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

// severalPollIntervals is long enough for a front end that shuts down to check its open connections
// several times.
const severalPollIntervals = 10 * frontend.ShutdownPollInterval

// A request of which some bytes were received when the front end shuts down must be answered, on a new
// connection and on a kept-alive one.
func TestShutdownAnswersAStartedRequest(t *testing.T) {
	for name, sentBytes := range map[string]int{"one byte": 1, "half of the head": 40, "all but one byte": -1} {
		for kind, keptAlive := range map[string]bool{"new": false, "kept": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				front, address := startFront(t, testConfig, &servingHandler{})
				conn, reader := dial(t, address)
				if keptAlive {
					conn, reader = dialKeptAlive(t, address)
				}
				text := requestBytes(t, "started")
				split := (sentBytes + len(text)) % len(text)
				conn.Write(text[:split])
				peertest.WaitUntil(t, "the first bytes of the request to be read", front.hasPendingRequest)
				front.Drain()
				shutdown := make(chan error, 1)
				go func() { shutdown <- front.Shutdown(context.Background()) }()
				time.Sleep(severalPollIntervals) // a slow client
				conn.Write(text[split:])
				expectServed(t, reader, true)
				if err := peertest.Await(t, "Shutdown to return", shutdown); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// hasPendingRequest reports whether part of a request was received on any connection.
func (front *Front) hasPendingRequest() bool {
	front.listener.mu.Lock()
	defer front.listener.mu.Unlock()
	conns := slices.Concat(front.listener.active, front.listener.idle)
	return slices.ContainsFunc(conns, func(conn *clientConn) bool { return conn.framing.Pending() })
}

// TestShutdownAcceptsWaitingConnections guards against resetting connections that wait in the
// listener's backlog: closing a listener resets them. Connections wait when the connection limit is
// reached and every connection has a request in flight. Shutdown must accept them before it closes
// the listener, and answer their requests.
func TestShutdownAcceptsWaitingConnections(t *testing.T) {
	handler := newBlockingHandler()
	front, address := startFront(t, testConfig, handler)
	statuses := make(chan int, 10)
	for i := range testConfig.MaxConnections + 2 { // all are connected before the shutdown
		conn, reader := dial(t, address)
		peertest.Call{Class: "once", ID: string(rune('a' + i))}.Request(t, address).Write(conn)
		go func() {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Errorf("connection %d: got error %v, want a response", i, err)
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	for range testConfig.MaxConnections {
		peertest.Await(t, "a request to be submitted", handler.submitted)
	}
	front.Drain()
	shutdown := make(chan error, 1)
	go func() { shutdown <- front.Shutdown(t.Context()) }()
	peertest.WaitUntil(t, "the drain to start", front.listener.isDraining)
	close(handler.release)
	for range testConfig.MaxConnections + 2 {
		if got := peertest.Await(t, "a response", statuses); got != http.StatusOK {
			t.Errorf("got status %d, want 200", got)
		}
	}
	if err := peertest.Await(t, "Shutdown to return", shutdown); err != nil {
		t.Error(err)
	}
}
