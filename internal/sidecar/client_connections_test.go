package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
	"mothridge/internal/sockets"
)

// startWithFewSockets runs a sidecar with minSockets, the smallest accepted limit. It returns the
// sidecar's address and its maximum number of client connections.
func startWithFewSockets(t *testing.T) (address string, maxConnections int) {
	t.Helper()
	upstream := newServingUpstream(t, "ok")
	config := testConfig(t, testOptions{sockets: minSockets}, noDiscovery, upEndpoint("s-1", upstream.Addr))
	address, _, _ = startSidecar(t, config)
	maxConnections, _ = config.Limits.connections()
	return address, maxConnections
}

// At the maximum number of client connections, idle connections must be closed so that new clients
// are accepted and served.
func TestClientConnectionsAreLimited(t *testing.T) {
	address, maxConnections := startWithFewSockets(t)
	var clients []*rawClient
	for i := range 3 * minSockets / 2 {
		client := dial(t, address)
		client.sendRequest(fmt.Sprint(i))
		response, err := http.ReadResponse(client.reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("connection %d: got %v, error %v, want 200", i, response, err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != "ok" {
			t.Fatalf("connection %d: got body %q, error %v, want ok", i, body, err)
		}
		clients = append(clients, client)
	}
	// The last clients were accepted only after the same number of older connections had been closed.
	open := 0
	for _, client := range clients {
		if sockets.IsIdle(client.TCPConn) {
			open++
		}
	}
	if open > maxConnections {
		t.Errorf("got %d open connections, want at most %d", open, maxConnections)
	}
}

// A client that connects and does not finish its request must not occupy a connection: the sidecar
// must close the connection within 3 s.
func TestUnfinishedRequestIsClosedSoon(t *testing.T) {
	upstream := newServingUpstream(t, "ok")
	address, _, _ := startWithUpstream(t, upstream)
	texts := map[string]string{
		"nothing":                             "",
		"half a header":                       postHeader("a"),
		"half a body":                         postHeader("b") + "Content-Length: 10\r\n\r\nhalf",
		"body not sent":                       postHeader("c") + "Content-Length: 100000\r\n\r\n",
		"half the body of a rejected request": unknownClassHeader("d") + "Content-Length: 10\r\n\r\nhalf",
		"chunk not sent":                      postHeader("e") + chunked + "5\r\n",
		"an endless header":                   "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 32<<10),
	}
	type closeEvent struct {
		name string
		took time.Duration
	}
	closes := make(chan closeEvent, len(texts))
	for name, text := range texts {
		client := dial(t, address)
		start := time.Now()
		go func() {
			io.WriteString(client, text)
			io.Copy(io.Discard, client)
			closes <- closeEvent{name, time.Since(start)}
		}()
	}
	for range texts {
		if got := peertest.Await(t, "the close of a connection", closes); got.took > 3*time.Second {
			t.Errorf("%s: got closed after %v, want at most 3 s", got.name, got.took)
		}
	}
	if len(upstream.Requests) > 0 {
		t.Errorf("got %d forwarded requests, want none", len(upstream.Requests))
	}
}

// At the maximum number of client connections, connections without a complete request must be closed
// in favour of clients with requests, and before kept-alive connections that served a request.
// Otherwise clients that send nothing, or half a request, could keep others out.
func TestIncompleteRequestsAreClosedFirst(t *testing.T) {
	for name, text := range map[string]string{
		"silent":        "",
		"half a header": postHeader("half"),
		"half a body":   postHeader("half") + "Content-Length: 10\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) { testIncompleteRequestsAreClosedFirst(t, text) })
	}
}

func testIncompleteRequestsAreClosedFirst(t *testing.T, unfinished string) {
	address, _ := startWithFewSockets(t)
	kept := dial(t, address)
	requestOnKept := func(id string) {
		t.Helper()
		io.WriteString(kept, postHeader(id)+noBody)
		kept.expectServed("request on the kept-alive connection")
	}
	requestOnKept("first")
	for range 2 * minSockets { // far above the maximum
		io.WriteString(dial(t, address), unfinished)
	}
	start := time.Now()
	if got := (peertest.Call{Class: "once", ID: "fresh"}).Do(t, address); got.Status != http.StatusOK {
		t.Errorf("request on a new connection: got %+v, want 200", got)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("new connection: got served after %v, want at most 2 s, before unfinished requests time out", took)
	}
	requestOnKept("again")
}

// Clients that stay connected after one request use up their own limit of connections. The sidecar
// must close the longest idle connections early, far below its own maximum, or these clients could
// not open new ones.
func TestLongestIdleConnectionIsClosedEarly(t *testing.T) {
	address, maxConnections := startWithFewSockets(t)
	start := time.Now()
	var clients []*rawClient
	for i := range maxConnections*3/10 + 1 {
		client := dial(t, address)
		io.WriteString(client, postHeader(fmt.Sprint(i))+noBody)
		client.expectServed(fmt.Sprint("connection ", i))
		if i == 0 {
			// The listener marks a connection as idle some time after its client has received the
			// response. Without a pause the next connection might be marked first.
			time.Sleep(200 * time.Millisecond)
		}
		clients = append(clients, client)
	}
	if _, err := clients[0].reader.Peek(1); err != io.EOF || time.Since(start) > 3*time.Second/2 {
		t.Errorf("longest idle connection: got error %v after %v, want EOF within 1.5 s", err, time.Since(start))
	}
	for i, client := range clients[1:] {
		client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := client.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("connection %d: got error %v, want an open connection", i+1, err)
		}
	}
}
