package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"mothridge/internal/http1"
	"mothridge/internal/peers/peertest"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	upstream := newServingUpstream(t, "ok")
	address, _, _ := startWithUpstream(t, upstream)
	body := strings.Repeat("h", http1.MaxRequestBodyBytes)
	got := peertest.Call{Class: "keyed", Body: body, Timeout: "3.25", Header: http.Header{
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Trace": {"a", "b"},
	}}.Do(t, address)
	if got.Status != http.StatusOK || got.Body != "ok" {
		t.Fatalf("got %+v", got)
	}
	received := peertest.Await(t, "the request", upstream.Requests)
	if received.Method != "POST" || received.RequestURI != "/api/a%2Fb?q=1&r=%20" || received.Text != body ||
		received.Header.Get("Request-Id") != t.Name() || received.Header.Get("Idempotency-Key") != "5c0f6e1a" {
		t.Errorf("the upstream read %s %s %v, %d bytes",
			received.Method, received.RequestURI, received.Header, len(received.Text))
	}
	if received.Header.Get("X-Hop") != "" || len(received.Header["X-Trace"]) != 2 {
		t.Errorf("header %v: a hop's own field was forwarded, or another was not", received.Header)
	}
	timeout := received.Header.Get("Request-Timeout")
	if wait, ok := parseSeconds(timeout); !ok || wait > 3250*time.Millisecond || wait < 2*time.Second {
		t.Errorf("Request-Timeout %q, want what is left of 3.25", timeout)
	}
}

func TestResponseBodyIsForwardedUnchanged(t *testing.T) {
	body := strings.Repeat("\x00honey\r\n", 60000) // upstreams do respond with that much
	upstream := peertest.NewUpstream(t, peertest.Always(fmt.Sprintf(
		"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nServer-Load: TEXT busy_reqs=1\r\nX-Ledger: 4\r\n\r\n%s", len(body), body)))
	address, _, _ := startWithUpstream(t, upstream)
	got := peertest.Call{Class: "once", Body: "{}"}.Do(t, address)
	if got.Status != http.StatusOK || got.Body != body ||
		got.Header.Get("X-Ledger") != "4" || got.Header.Get("Server-Load") != "" {
		t.Errorf("status %d, %d bytes, header %v, error %v", got.Status, len(got.Body), got.Header, got.Err)
	}
}

// A failure is never worded 429 or 503: these promise that a retry is harmless.
func TestUpstreamFailureIsNoRejection(t *testing.T) {
	for _, status := range []int{500, 503, 504, 429, 400, 302} {
		response := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: 4\r\n\r\nlate", status)
		upstream := peertest.NewUpstream(t, peertest.Always(response))
		address, _, _ := startWithUpstream(t, upstream)
		got := peertest.Call{Class: "once"}.Do(t, address)
		if got.Status != http.StatusBadGateway || got.Body != "" || got.Header.Get("Retry-After") != "" {
			t.Errorf("upstream's %d: got %+v, want a plain 502", status, got)
		}
		if len(upstream.Requests) != 1 {
			t.Errorf("upstream's %d: %d attempts of a request that may have run", status, len(upstream.Requests))
		}
	}
}

func TestRejectionHasRetryAfter(t *testing.T) {
	upstream := peertest.NewUpstream(t, peertest.Always(rejectedNotStarted))
	// The decisions reject once a response would be late for the objective.
	options := testOptions{latencyObjective: 200 * time.Millisecond}
	config := testConfig(t, options, noDiscovery, upEndpoint("s-1", upstream.Addr))
	address, _, _ := startSidecar(t, config)
	start := time.Now()
	got := peertest.Call{Class: "once"}.Do(t, address)
	pause, ok := parseSeconds(got.Header.Get("Retry-After"))
	if got.Status != http.StatusServiceUnavailable || !ok || pause > 1200*time.Millisecond {
		t.Errorf("got %+v, want 503 with a pause in decimals", got)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("rejected after %v of the 4.5 s that the client waits, not at once", took)
	}
}

// An upstream that takes its time gets no further connection for the rest that
// each needs: see httpnode for those that are quick.
func TestUpstreamConnectionsAreReused(t *testing.T) {
	upstream := peertest.NewUpstream(t, func(peertest.Received) (string, bool) {
		time.Sleep(5 * time.Millisecond)
		return peertest.Answer200("ok"), false
	})
	config := testConfig(t, testOptions{probes: true}, noDiscovery, upEndpoint("s-1", upstream.Addr))
	address, _, _ := startSidecar(t, config)
	for i := range 40 {
		if got := (peertest.Call{Class: "keyed", ID: fmt.Sprint(i)}).Do(t, address); got.Status != http.StatusOK {
			t.Fatalf("got %+v", got)
		}
	}
	if n := len(upstream.Accepted); n > 4 { // one, and one more for each probe that may be in flight meanwhile
		t.Errorf("%d connections for 40 requests one after the other", n)
	}
}
