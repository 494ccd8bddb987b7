package sidecar

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// An upstream that never responds must not make the client wait beyond its timeout: the sidecar must
// respond with 504 itself and close the connection of the attempt.
func TestUnresponsiveUpstreamGets504AtDeadline(t *testing.T) {
	upstream := peertest.NewUpstream(t, peertest.RespondWith(""))
	address, _, _ := startWithUpstream(t, upstream)
	start := time.Now()
	got := peertest.Call{Class: "once", Timeout: "0.4"}.Do(t, address)
	if took := time.Since(start); got.Status != http.StatusGatewayTimeout || took > 450*time.Millisecond {
		t.Errorf("got %+v after %v, want 504 within 0.45 s", got, took)
	}
	peertest.Await(t, "the close of the attempt's connection", upstream.Closed)
}

// A pipelined request waits for the response to the previous request, and its timeout includes that
// wait. The sidecar must respond within the timeout, and forward only the remaining time to the
// upstream.
func TestDeadlineOfAPipelinedRequest(t *testing.T) {
	const (
		timeout = 600 * time.Millisecond
		wait    = 300 * time.Millisecond
	)
	upstream := newGatedUpstream(t)
	address, _, _ := startWithUpstream(t, upstream.RawUpstream)
	client := dial(t, address)
	client.sendRequest("first")
	start := time.Now()
	if err := (peertest.Call{Class: "once", ID: "second", Timeout: "0.6"}).Request(t, "x").Write(client); err != nil {
		t.Fatal(err)
	}
	peertest.Await(t, "the first request", upstream.Requests)
	time.Sleep(time.Until(start.Add(wait)))
	upstream.responses <- peertest.Response200("ok")
	client.readResponse()
	second := peertest.Await(t, "the second request", upstream.Requests)
	if left, ok := parseSeconds(second.Header.Get("Request-Timeout")); !ok || left > timeout-wait {
		t.Errorf("second request: got a forwarded timeout of %v, want at most 0.3 s of its 0.6 s", left)
	}
	status, _ := client.readResponse()
	if took := time.Since(start); status != http.StatusGatewayTimeout || took > timeout+schedulingMargin/2 {
		t.Errorf("got %d after %v, want 504 within 0.6 s", status, took)
	}
}

// Upstreams drop a repeated keyed request only within the deduplication window of its first attempt.
// A retry whose connection is established after the window must not be sent, or it would run again.
func TestKeyedRetryIsNotSentAfterItsWindow(t *testing.T) {
	stalled := peertest.NewStalledListener(t)
	failing := peertest.NewUpstream(t, func(peertest.ReceivedRequest) (string, bool) { return "", true })
	failingEndpoint := strings.Replace(upEndpoint("s-1", failing.Addr), `"share":1.0`, `"share":100`, 1)
	config := testConfig(t, testOptions{}, noDiscovery, failingEndpoint, upEndpoint("s-2", stalled.Addr))
	config.DialTimeout = 3 * time.Second
	for i := range config.Policy.Classes {
		config.Policy.Classes[i].DedupWindow = 400 * time.Millisecond
	}
	address, _, _ := startSidecar(t, config)
	start := time.Now()
	result := peertest.Call{Class: "keyed", ID: "x"}.Start(t, address)
	peertest.Await(t, "the first attempt", failing.Requests)
	time.Sleep(time.Until(start.Add(500 * time.Millisecond)))
	lateRequests := stalled.AcceptNext(t) // the window has ended; the kernel retries the connect 1 s after its first attempt
	if got := peertest.Await(t, "the response", result); got.Status == http.StatusOK {
		t.Errorf("got 200 after %v from a retry sent after the deduplication window", time.Since(start))
	}
	// A connection that an attempt still waited for would be established and used by now.
	time.Sleep(time.Until(start.Add(1500 * time.Millisecond)))
	if n := len(lateRequests); n != 0 {
		t.Errorf("got %d requests sent after the window, want none", n)
	}
}
