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

// startWithFewSockets runs a sidecar with as few descriptors as it accepts and
// returns the bound on its client connections too.
func startWithFewSockets(t *testing.T) (address string, maxConnections int) {
	t.Helper()
	upstream := newServingUpstream(t, "ok")
	config := testConfig(t, testOptions{sockets: minSockets}, noDiscovery, upEndpoint("s-1", upstream.Addr))
	address, _, _ = startSidecar(t, config)
	maxConnections, _ = config.Limits.connections()
	return address, maxConnections
}

// Idle connections make way at the bound, and a waiting client is served in the end.
func TestClientConnectionsAreBounded(t *testing.T) {
	address, maxConnections := startWithFewSockets(t)
	var clients []*rawClient
	for i := range 3 * minSockets / 2 {
		client := dial(t, address)
		client.sendRequest(fmt.Sprint(i))
		response, err := http.ReadResponse(client.reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("connection %d: %v, error %v", i, response, err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != "ok" {
			t.Fatalf("connection %d: body %q, error %v", i, body, err)
		}
		clients = append(clients, client)
	}
	// The last ones were accepted only after as many older ones had been closed.
	open := 0
	for _, client := range clients {
		if sockets.IsIdle(client.TCPConn) {
			open++
		}
	}
	if open > maxConnections {
		t.Errorf("%d connections are open, at most %d may be", open, maxConnections)
	}
}

// A response is due soon after a client connects, and one that sends nothing more
// must not hold a connection for longer.
func TestUnfinishedRequestsEndSoon(t *testing.T) {
	upstream := newServingUpstream(t, "ok")
	address, _, _ := startWithUpstream(t, upstream)
	texts := map[string]string{
		"nothing":           "",
		"half a header":     postHeader("a"),
		"half a body":       postHeader("b") + "Content-Length: 10\r\n\r\nhalf",
		"a body to come":    postHeader("c") + "Content-Length: 100000\r\n\r\n",
		"a rejected body":   unknownClassHeader("d") + "Content-Length: 10\r\n\r\nhalf",
		"a chunk to come":   postHeader("e") + chunked + "5\r\n",
		"an endless header": "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 32<<10),
	}
	type end struct {
		name string
		took time.Duration
	}
	ends := make(chan end, len(texts))
	for name, text := range texts {
		client := dial(t, address)
		start := time.Now()
		go func() {
			io.WriteString(client, text)
			io.Copy(io.Discard, client)
			ends <- end{name, time.Since(start)}
		}()
	}
	for range texts {
		if got := peertest.Await(t, "an end", ends); got.took > 3*time.Second {
			t.Errorf("%s: ended after %v, want 3 s at the most", got.name, got.took)
		}
	}
	if len(upstream.Requests) > 0 {
		t.Errorf("%d requests were forwarded", len(upstream.Requests))
	}
}

// Connections with nothing, or half a request, give way to clients with requests,
// before those that are kept.
func TestConnectionsWithoutRequestGiveWay(t *testing.T) {
	for name, text := range map[string]string{
		"silent":        "",
		"half a header": postHeader("half"),
		"half a body":   postHeader("half") + "Content-Length: 10\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) { testConnectionsGiveWay(t, text) })
	}
}

func testConnectionsGiveWay(t *testing.T, unfinished string) {
	address, _ := startWithFewSockets(t)
	kept := dial(t, address)
	requestOnKept := func(id string) {
		t.Helper()
		io.WriteString(kept, postHeader(id)+noBody)
		kept.expectServed("on the kept connection")
	}
	requestOnKept("first")
	for range 2 * minSockets { // far above the bound
		io.WriteString(dial(t, address), unfinished)
	}
	start := time.Now()
	if got := (peertest.Call{Class: "once", ID: "fresh"}).Do(t, address); got.Status != http.StatusOK {
		t.Errorf("on a new connection: %+v", got)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("a new connection was served after %v: it waited for unfinished ones to time out", took)
	}
	requestOnKept("again")
}

// Clients with one request that stay hold connections that count as theirs: unless
// some are closed, long before the sidecar's own bound, they can open no more.
func TestIdleConnectionsAreFew(t *testing.T) {
	address, maxConnections := startWithFewSockets(t)
	start := time.Now()
	var clients []*rawClient
	for i := range maxConnections*3/10 + 1 {
		client := dial(t, address)
		io.WriteString(client, postHeader(fmt.Sprint(i))+noBody)
		client.expectServed(fmt.Sprint("connection ", i))
		if i == 0 {
			// The listener takes a connection for idle some time after its client has the response:
			// without a pause the next one may be idle first.
			time.Sleep(200 * time.Millisecond)
		}
		clients = append(clients, client)
	}
	if _, err := clients[0].reader.Peek(1); err != io.EOF || time.Since(start) > 3*time.Second/2 {
		t.Errorf("the longest idle one: %v after %v, want it closed well before it was idle too long", err, time.Since(start))
	}
	for i, client := range clients[1:] {
		client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := client.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("connection %d: %v, want it open", i+1, err)
		}
	}
}
