package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// When a client disconnects, its attempt in flight must be cancelled and no further attempt may start, because an
// upstream would work for nobody. The request may have run. So that it does not run twice, its id is in use for some
// time unless it is idempotent.
func TestClientDisconnectEndsItsAttempt(t *testing.T) {
	for _, test := range []struct {
		class      string
		wantStatus int // of a second request with the id
		wantSent   int // attempts of the second request
	}{
		{"read", http.StatusServiceUnavailable, 1}, // timed out; a retry is harmless
		{"keyed", http.StatusConflict, 0},
		{"once", http.StatusConflict, 0},
	} {
		t.Run(test.class, func(t *testing.T) {
			upstream := peertest.NewUpstream(t, peertest.RespondWith(""))
			address, _, _ := startWithUpstream(t, upstream)
			client := dial(t, address)
			call := peertest.Call{Class: test.class, ID: "again", Timeout: "0.6"}
			call.Request(t, address).Write(client)
			peertest.Await(t, "the attempt", upstream.Requests)
			client.Close()
			peertest.Await(t, "the close of the attempt's connection", upstream.Closed)
			again := call.Do(t, address)
			if again.Status != test.wantStatus || len(upstream.Requests) != test.wantSent {
				t.Errorf("second request with the id: got %+v and %d attempts, want status %d and %d attempts",
					again, len(upstream.Requests), test.wantStatus, test.wantSent)
			}
		})
	}
}

// A client may disconnect before an attempt for its request starts. No attempt may then start,
// whatever else the client has written on the connection. See docs/design/crossings.md.
func TestClientDisconnectsBeforeAnAttempt(t *testing.T) {
	for name, afterRequest := range map[string]string{
		"after its request":             "",
		"after half of another request": "POST /api HTTP/1.1\r\nHo",
		"after sixty other requests":    strings.Repeat(postHeader("more")+noBody, 60),
		"after 95 kB":                   strings.Repeat("x", 95<<10), // more than is read ahead of the next request
		"after 1 MB of other requests":  strings.Repeat(postHeader("more")+noBody, 1<<20/len(postHeader("more")+noBody)),
	} {
		t.Run("queued, "+name, func(t *testing.T) { testQueuedClientDisconnects(t, afterRequest) })
	}
	t.Run("between two attempts", testClientDisconnectsBetweenAttempts)
}

func testQueuedClientDisconnects(t *testing.T, afterRequest string) {
	upstream := newGatedUpstream(t)
	address, _, _ := startSidecar(t, singleSlotConfig(t, upEndpoint("s-1", upstream.Addr)))
	first, disconnecting := dial(t, address), dial(t, address)
	first.sendRequest("first")
	peertest.Await(t, "the first request", upstream.Requests)
	disconnecting.sendRequest("leaves")
	io.WriteString(disconnecting, afterRequest)
	peertest.Await(t, "the second request to be queued", requestAccepted(t, address, "leaves"))
	disconnecting.Close()
	time.Sleep(schedulingMargin)
	close(upstream.responses)
	first.readResponse()
	first.sendRequest("marker") // gets the slot after all queued requests
	for {
		received := peertest.Await(t, "the marker request", upstream.Requests)
		id := received.Header.Get("Request-Id")
		if id == "marker" {
			break
		}
		t.Errorf("got request %q forwarded after its client disconnected", id)
	}
}

func testClientDisconnectsBetweenAttempts(t *testing.T) {
	upstreams := []*gatedUpstream{newGatedUpstream(t), newGatedUpstream(t)}
	received := func() int { return len(upstreams[0].Requests) + len(upstreams[1].Requests) }
	address, _, _ := startSidecar(t, testConfig(t, testOptions{}, noDiscovery,
		upEndpoint("s-1", upstreams[0].Addr), upEndpoint("s-2", upstreams[1].Addr)))
	disconnecting := dial(t, address)
	disconnecting.sendRequest("leaves")
	peertest.WaitUntil(t, "the first attempt", func() bool { return received() > 0 })
	io.WriteString(disconnecting, postHeader("more")+noBody)
	disconnecting.Close()
	time.Sleep(schedulingMargin)
	for _, upstream := range upstreams {
		upstream.responses <- rejectedNotStarted
		close(upstream.responses)
	}
	for i := range 4 { // each endpoint gets one, after any request that was still queued
		dial(t, address).sendRequest(fmt.Sprint(i))
	}
	peertest.WaitUntil(t, "the other requests", func() bool { return received() >= 5 })
	attempts := 0
	for _, upstream := range upstreams {
		for len(upstream.Requests) > 0 {
			if id := (<-upstream.Requests).Header.Get("Request-Id"); id == "leaves" || id == "more" {
				attempts++
			}
		}
	}
	if attempts != 1 {
		t.Errorf("got %d attempts for a client that disconnected during the first, want 1", attempts)
	}
}
