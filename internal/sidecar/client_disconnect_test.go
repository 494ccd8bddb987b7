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

func TestClientDisconnectEndsItsAttempt(t *testing.T) {
	upstream := peertest.NewUpstream(t, peertest.Always(""))
	address, _, _ := startWithUpstream(t, upstream)
	client := dial(t, address)
	peertest.Call{Class: "once", Body: "{}"}.Request(t, address).Write(client)
	peertest.Await(t, "the attempt", upstream.Requests)
	client.Close()
	peertest.Await(t, "the end of the attempt's connection", upstream.Closed)
	// Its id is free again, and no further attempt of it is made.
	again := peertest.Call{Class: "once", Timeout: "0.6"}.Do(t, address)
	if again.Status != http.StatusGatewayTimeout || len(upstream.Requests) != 1 {
		t.Errorf("got %+v and %d more attempts, want 504 and one", again, len(upstream.Requests))
	}
}

// Nothing is forwarded for a client that has disconnected, whatever else it had
// written on its connection. See docs/design/crossings.md.
func TestClientDisconnectsBeforeAnAttempt(t *testing.T) {
	for name, more := range map[string]string{
		"after its request":     "",
		"after half of another": "POST /api HTTP/1.1\r\nHo",
		"after sixty others":    strings.Repeat(postHeader("more")+noBody, 60),
	} {
		t.Run("queued, "+name, func(t *testing.T) { testQueuedClientDisconnects(t, more) })
	}
	t.Run("between two attempts", testClientDisconnectsBetweenAttempts)
}

func testQueuedClientDisconnects(t *testing.T, more string) {
	upstream := newGatedUpstream(t)
	address, _, _ := startSidecar(t, singleSlotConfig(t, upEndpoint("s-1", upstream.Addr)))
	first, leaves := dial(t, address), dial(t, address)
	first.sendRequest("first")
	peertest.Await(t, "the first", upstream.Requests)
	leaves.sendRequest("leaves")
	io.WriteString(leaves, more)
	peertest.Await(t, "both held", requestHeld(t, address, "leaves"))
	leaves.Close()
	time.Sleep(schedulingMargin)
	close(upstream.responses)
	first.readResponse()
	first.sendRequest("marker") // gets the slot after all that were queued
	for {
		received := peertest.Await(t, "the marker", upstream.Requests)
		id := received.Header.Get("Request-Id")
		if id == "marker" {
			break
		}
		t.Errorf("%q was forwarded, whose client has disconnected", id)
	}
}

func testClientDisconnectsBetweenAttempts(t *testing.T) {
	upstreams := []*gatedUpstream{newGatedUpstream(t), newGatedUpstream(t)}
	received := func() int { return len(upstreams[0].Requests) + len(upstreams[1].Requests) }
	address, _, _ := startSidecar(t, testConfig(t, testOptions{}, noDiscovery,
		upEndpoint("s-1", upstreams[0].Addr), upEndpoint("s-2", upstreams[1].Addr)))
	leaves := dial(t, address)
	leaves.sendRequest("leaves")
	peertest.Until(t, "an attempt", func() bool { return received() > 0 })
	io.WriteString(leaves, postHeader("more")+noBody)
	leaves.Close()
	time.Sleep(schedulingMargin)
	for _, upstream := range upstreams {
		upstream.responses <- rejectedNotStarted
		close(upstream.responses)
	}
	for i := range 4 { // each endpoint gets one, after whatever else there was to forward
		dial(t, address).sendRequest(fmt.Sprint(i))
	}
	peertest.Until(t, "the others", func() bool { return received() >= 5 })
	attempts := 0
	for _, upstream := range upstreams {
		for len(upstream.Requests) > 0 {
			if id := (<-upstream.Requests).Header.Get("Request-Id"); id == "leaves" || id == "more" {
				attempts++
			}
		}
	}
	if attempts != 1 {
		t.Errorf("%d attempts for a client that disconnected during the first", attempts)
	}
}
