package sidecar

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

func TestSilentUpstreamIsAnsweredForBeforeTheDeadline(t *testing.T) {
	upstream := peertest.NewUpstream(t, peertest.Always(""))
	address, _, _ := startWithUpstream(t, upstream)
	start := time.Now()
	got := peertest.Call{Class: "once", Timeout: "0.4"}.Do(t, address)
	if took := time.Since(start); got.Status != http.StatusGatewayTimeout || took > 450*time.Millisecond {
		t.Errorf("got %+v after %v, want 504 within 0.45 s", got, took)
	}
	peertest.Await(t, "the end of the attempt's connection", upstream.Closed)
}

// A pipelined request waits for the response to the one before it, and its client
// counts that time: it is answered by then, and its upstream gets what is left.
func TestDeadlineOfAPipelinedRequest(t *testing.T) {
	const (
		timeout = 600 * time.Millisecond
		wait    = 300 * time.Millisecond
	)
	upstream := newGatedUpstream(t)
	address, _, _ := startWithUpstream(t, upstream.Upstream)
	client := dial(t, address)
	client.sendRequest("first")
	start := time.Now()
	if err := (peertest.Call{Class: "once", ID: "second", Timeout: "0.6"}).Request(t, "x").Write(client); err != nil {
		t.Fatal(err)
	}
	peertest.Await(t, "the first", upstream.Requests)
	time.Sleep(time.Until(start.Add(wait)))
	upstream.responses <- peertest.Answer200("ok")
	client.readResponse()
	second := peertest.Await(t, "the second", upstream.Requests)
	if left, ok := parseSeconds(second.Header.Get("Request-Timeout")); !ok || left > timeout-wait {
		t.Errorf("the second has %v left, of 0.6 s that began 0.3 s ago", left)
	}
	status, _ := client.readResponse()
	if took := time.Since(start); status != http.StatusGatewayTimeout || took > timeout+schedulingMargin/2 {
		t.Errorf("got %d after %v, want 504 within 0.6 s", status, took)
	}
}

// A keyed repeat is dropped by upstreams only as long as they remember the first: one
// whose connection comes up after that is not written.
func TestKeyedRepeatIsNotWrittenAfterItsWindow(t *testing.T) {
	late := peertest.NewStalledListener(t)
	breaks := peertest.NewUpstream(t, func(peertest.Received) (string, bool) { return "", true })
	first := strings.Replace(upEndpoint("s-1", breaks.Addr), `"share":1.0`, `"share":100`, 1)
	config := testConfig(t, testOptions{}, noDiscovery, first, upEndpoint("s-2", late.Addr))
	config.DialTimeout = 3 * time.Second
	for i := range config.Policy.Classes {
		config.Policy.Classes[i].DedupWindow = 400 * time.Millisecond
	}
	address, _, _ := startSidecar(t, config)
	start := time.Now()
	result := peertest.Call{Class: "keyed", ID: "x"}.Start(t, address)
	peertest.Await(t, "the first attempt", breaks.Requests)
	time.Sleep(time.Until(start.Add(500 * time.Millisecond)))
	reached := late.Admit(t) // the window has ended, and the system connects again 1 s after the first time
	if got := peertest.Await(t, "the answer", result); got.Status == http.StatusOK {
		t.Errorf("served after %v by a repeat that no upstream would know", time.Since(start))
	}
	// Had anything waited for the connection, it would be up now, and used.
	time.Sleep(time.Until(start.Add(1500 * time.Millisecond)))
	if n := len(reached); n != 0 {
		t.Errorf("%d requests were written after the window", n)
	}
}
