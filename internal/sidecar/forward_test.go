package sidecar

import (
	"cmp"
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
		t.Fatalf("got %+v, want 200 and body ok", got)
	}
	received := peertest.Await(t, "the request", upstream.Requests)
	if received.Method != "POST" || received.RequestURI != "/api/a%2Fb?q=1&r=%20" || received.BodyText != body ||
		received.Header.Get("Request-Id") != t.Name() || received.Header.Get("Idempotency-Key") != "5c0f6e1a" {
		t.Errorf("upstream: got %s %s %v, %d bytes",
			received.Method, received.RequestURI, received.Header, len(received.BodyText))
	}
	if received.Header.Get("X-Hop") != "" || len(received.Header["X-Trace"]) != 2 {
		t.Errorf("upstream: got header %v, want X-Trace twice and no hop-by-hop field X-Hop", received.Header)
	}
	timeout := received.Header.Get("Request-Timeout")
	if remaining, ok := parseSeconds(timeout); !ok || remaining > 3250*time.Millisecond || remaining < 2*time.Second {
		t.Errorf("upstream: got Request-Timeout %q, want the rest of 3.25", timeout)
	}
}

// Guards against a path or query that is escaped anew or cleaned on its way.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	upstream := newServingUpstream(t, "ok")
	address, _, _ := startWithUpstream(t, upstream)
	for target, want := range map[string]string{
		"/api/a%2Fb?q=1&r=%20": "", `/api/"a"|b^c?d="e"`: "", "/api/%41%7e": "", "/api/a#b": "", "/api/../b//c?": "", "//api/a": "",
		"/api/\xc3\xa4?\xe4": "", "/api;v=1,2?a;b": "", "http://host/api/a%2Fb?q": "/api/a%2Fb?q",
	} {
		text := strings.Replace(postHeader("a"), "/api", target, 1) + "Connection: close\r\n" + noBody
		if got := exchange(t, address, text); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
			t.Errorf("%q: got %q, want 200", target, got)
			continue
		}
		received := peertest.Await(t, "the request", upstream.Requests)
		if received.RequestURI != cmp.Or(want, target) {
			t.Errorf("upstream: got target %q, want %q", received.RequestURI, cmp.Or(want, target))
		}
	}
}

func TestResponseBodyIsForwardedUnchanged(t *testing.T) {
	body := strings.Repeat("\x00honey\r\n", 60000) // real upstreams send responses of this size
	upstream := peertest.NewUpstream(t, peertest.RespondWith(fmt.Sprintf(
		"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nServer-Load: TEXT busy_reqs=1\r\nX-Ledger: 4\r\n\r\n%s", len(body), body)))
	address, _, _ := startWithUpstream(t, upstream)
	got := peertest.Call{Class: "once", Body: "{}"}.Do(t, address)
	if got.Status != http.StatusOK || got.Body != body ||
		got.Header.Get("X-Ledger") != "4" || got.Header.Get("Server-Load") != "" {
		t.Errorf("got status %d, %d bytes, header %v, error %v", got.Status, len(got.Body), got.Header, got.Err)
	}
}

// A failure of an upstream must never be sent as 429 or 503: these promise that the request did not
// run and a retry is harmless.
func TestUpstreamFailureIsNoRejection(t *testing.T) {
	for _, status := range []int{500, 503, 504, 429, 400, 302} {
		response := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: 4\r\n\r\nlate", status)
		upstream := peertest.NewUpstream(t, peertest.RespondWith(response))
		address, _, _ := startWithUpstream(t, upstream)
		got := peertest.Call{Class: "once"}.Do(t, address)
		if got.Status != http.StatusBadGateway || got.Body != "" || got.Header.Get("Retry-After") != "" {
			t.Errorf("upstream status %d: got %+v, want 502 without body and Retry-After", status, got)
		}
		if len(upstream.Requests) != 1 {
			t.Errorf("upstream status %d: got %d attempts of a request that may have run, want 1", status, len(upstream.Requests))
		}
	}
}

// A request that no endpoint can serve within the latency objective must be rejected early, with a
// Retry-After header, and not only when the client's timeout ends.
func TestRejectionHasRetryAfter(t *testing.T) {
	upstream := peertest.NewUpstream(t, peertest.RespondWith(rejectedNotStarted))
	// Package policy rejects a request once its response would miss the latency objective.
	options := testOptions{latencyObjective: 200 * time.Millisecond}
	config := testConfig(t, options, noDiscovery, upEndpoint("s-1", upstream.Addr))
	address, _, _ := startSidecar(t, config)
	start := time.Now()
	got := peertest.Call{Class: "once"}.Do(t, address)
	pause, ok := parseSeconds(got.Header.Get("Retry-After"))
	if got.Status != http.StatusServiceUnavailable || !ok || pause > 1200*time.Millisecond {
		t.Errorf("got %+v, want 503 with Retry-After of at most 1.2 s", got)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("got the rejection after %v, want at most 2 s of the 4.5 s that the client waits", took)
	}
}

// Sequential requests to a slow upstream must reuse its connections instead of opening a connection
// for each request. Package httpnode tests the same for fast upstreams.
func TestUpstreamConnectionsAreReused(t *testing.T) {
	upstream := peertest.NewUpstream(t, func(peertest.ReceivedRequest) (string, bool) {
		time.Sleep(5 * time.Millisecond)
		return peertest.Response200("ok"), false
	})
	config := testConfig(t, testOptions{probes: true}, noDiscovery, upEndpoint("s-1", upstream.Addr))
	address, _, _ := startSidecar(t, config)
	for i := range 40 {
		if got := (peertest.Call{Class: "keyed", ID: fmt.Sprint(i)}).Do(t, address); got.Status != http.StatusOK {
			t.Fatalf("sequential request: got %+v, want 200", got)
		}
	}
	if n := len(upstream.Accepted); n > 4 { // one, plus one for each probe that may be in flight concurrently
		t.Errorf("got %d connections for 40 sequential requests, want at most 4", n)
	}
}
