package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// In the mode in which the sidecar requests its watches, it must request a new watch after the
// previous one has failed. The test covers the path through the whole program.
func TestRequestedWatchIsOpenedAgain(t *testing.T) {
	registry := peertest.NewDiscovery(t)
	upstream := newServingUpstream(t, "ok")
	address, _, _ := startSidecar(t, testConfig(t, testOptions{watchOnRequest: true}, registry.Addr,
		peertest.EndpointJSON("s-0", "127.0.0.1:1", "draining", 0)))
	close(peertest.Await(t, "the watch", registry.Watches).Lines)
	watch := peertest.Await(t, "the next watch", registry.Watches)
	watch.Lines <- peertest.EndpointListJSON(2, false, upEndpoint("s-1", upstream.Addr))
	awaitServed(t, address)
}

// A sidecar without an endpoint list cannot serve requests and must not report ready.
func TestReadyOnceThereIsAList(t *testing.T) {
	registry := peertest.NewDiscovery(t)
	address, _, _ := startSidecar(t, testConfig(t, testOptions{}, registry.Addr))
	ready := func() int {
		status, err := readyStatus(address)
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	peertest.Await(t, "the request for the list", registry.ListRequests)
	if got := ready(); got != http.StatusServiceUnavailable {
		t.Errorf("readiness check without a list: got %d, want 503", got)
	}
	upstream := newServingUpstream(t, "ok")
	registry.ListResponses <- peertest.EndpointListJSON(5, true, upEndpoint("s-1", upstream.Addr))
	if watch := peertest.Await(t, "the watch", registry.Watches); watch.From != "5" {
		t.Errorf("start of the watch: got version %s, want 5", watch.From)
	}
	for deadline := time.Now().Add(peertest.WaitTimeout); ready() != http.StatusOK; {
		if time.Now().After(deadline) {
			t.Fatal("readiness check: got no 200 in time")
		}
	}
}

// Once an update that drains an endpoint has arrived, no new request may go to that endpoint.
func TestDrainTakesEffectAtOnce(t *testing.T) {
	registry := peertest.NewDiscovery(t)
	drained, other := newServingUpstream(t, "a"), newServingUpstream(t, "b")
	address, _, _ := startSidecar(t, testConfig(t, testOptions{}, registry.Addr, upEndpoint("s-1", drained.Addr)))
	watch := peertest.Await(t, "the watch", registry.Watches)
	awaitServed(t, address)
	peertest.Await(t, "a request", drained.Requests)
	watch.Lines <- peertest.EndpointListJSON(2, false,
		peertest.EndpointJSON("s-1", drained.Addr, "draining", 0), upEndpoint("s-2", other.Addr))
	for i := range 1000 { // until the update has arrived; from then on all requests go to the other upstream
		if got := (peertest.Call{Class: "once", ID: fmt.Sprint(i)}).Do(t, address); got.Body == "b" {
			break
		}
	}
	before := len(drained.Requests)
	for i := range 20 {
		if got := (peertest.Call{Class: "once", ID: fmt.Sprint("later-", i)}).Do(t, address); got.Body != "b" {
			t.Errorf("request after the drain: got %+v, want body b", got)
		}
	}
	if len(drained.Requests) != before {
		t.Error("got a request at the draining upstream, want none")
	}
}
