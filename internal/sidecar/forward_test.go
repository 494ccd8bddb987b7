package sidecar

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"mothridge/internal/http1"
	"mothridge/internal/peers/peertest"
)

func TestRequestGoesOnUnchanged(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	body := strings.Repeat("h", http1.MaxRequestBodyBytes)
	got := peertest.Call{Class: "keyed", Body: body, Timeout: "3.25", Header: http.Header{
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Trace": {"a", "b"},
	}}.Do(t, addr)
	if got.Status != 200 || got.Body != "ok" {
		t.Fatalf("got %+v", got)
	}
	r := peertest.Await(t, "the request", u.Requests)
	if r.Method != "POST" || r.RequestURI != "/api/a%2Fb?q=1&r=%20" || r.Text != body ||
		r.Header.Get("Request-Id") != t.Name() || r.Header.Get("Idempotency-Key") != "5c0f6e1a" {
		t.Errorf("the upstream read %s %s %v, %d bytes", r.Method, r.RequestURI, r.Header, len(r.Text))
	}
	if r.Header.Get("X-Hop") != "" || len(r.Header["X-Trace"]) != 2 {
		t.Errorf("header %v: a hop's own field went on, or another did not", r.Header)
	}
	if wait, ok := parseSeconds(r.Header.Get("Request-Timeout")); !ok || wait > 3250*time.Millisecond || wait < 2*time.Second {
		t.Errorf("Request-Timeout %q, want what is left of 3.25", r.Header.Get("Request-Timeout"))
	}
}
