package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

const (
	lingerTime      = 50 * time.Millisecond // far below the time for which a closed connection is read on from
	idleReadTimeout = 2 * time.Second       // after which net/http gives a silent connection up

	rejectedNotStarted = "HTTP/1.1 503 x\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
)

// SIGTERM comes while requests are on their way through the sidecar: each gets
// its response all the same, and no connection is reset. See docs/design/crossings.md.
func TestShutdownCrossesRequests(t *testing.T) {
	t.Run("queued after another", testShutdownWithQueuedRequest)
	t.Run("between two attempts", testShutdownBetweenAttempts)
	t.Run("before its first attempt is connected", testShutdownBeforeConnect)
	t.Run("with a request on a connection as it is closed", testShutdownWithLateRequest)
	t.Run("with more after a request that is answered", testShutdownWithPipelinedRequests)
	t.Run("on a connection that says nothing", testShutdownWithSilentConnection)
}

func testShutdownWithQueuedRequest(t *testing.T) {
	upstream := newGatedUpstream(t)
	address, shutdown, ended := startSidecar(t, singleSlotConfig(t, upEndpoint("s-1", upstream.Addr)))
	first, second := dial(t, address), dial(t, address)
	first.sendRequest("first")
	peertest.Await(t, "the first", upstream.Requests)
	second.sendRequest("second")
	peertest.Await(t, "both held", requestHeld(t, address, "second"))
	shutdown()
	awaitDraining(t, address)
	close(upstream.responses)
	for _, client := range []*rawClient{first, second} {
		client.expectLastResponse(http.StatusOK)
		client.expectClose()
	}
	if err := peertest.Await(t, "the end", ended); err != nil {
		t.Error(err)
	}
}

func testShutdownBetweenAttempts(t *testing.T) {
	upstream := newGatedUpstream(t)
	address, shutdown, _ := startWithUpstream(t, upstream.Upstream)
	client := dial(t, address)
	client.sendRequest("x")
	peertest.Await(t, "the first attempt", upstream.Requests)
	shutdown()
	awaitDraining(t, address)
	upstream.responses <- rejectedNotStarted // and there is no other endpoint: rejected, never lost
	client.expectLastResponse(http.StatusServiceUnavailable)
	client.expectClose()
}

func testShutdownBeforeConnect(t *testing.T) {
	late := peertest.NewStalledListener(t)
	config := testConfig(t, testOptions{}, noDiscovery, upEndpoint("s-1", late.Addr))
	config.DialTimeout = 2 * time.Second
	address, shutdown, _ := startSidecar(t, config)
	client := dial(t, address)
	client.sendRequest("x")
	peertest.Await(t, "it held", requestHeld(t, address, "x"))
	shutdown()
	awaitDraining(t, address)
	reached := late.Admit(t)
	peertest.Await(t, "the attempt", reached)
	client.expectLastResponse(http.StatusOK)
	client.expectClose()
}

func testShutdownWithLateRequest(t *testing.T) {
	upstream := newServingUpstream(t, "ok")
	address, shutdown, _ := startWithUpstream(t, upstream)
	client := dial(t, address)
	client.sendRequest("first")
	client.readResponse()
	peertest.Await(t, "the first", upstream.Requests)
	shutdown()
	if _, err := client.reader.Peek(1); err != io.EOF { // it is shut: what is written now crosses that
		t.Fatalf("want the end, got %v", err)
	}
	client.sendRequest("crossing")
	time.Sleep(lingerTime)
	client.sendRequest("and another")
	client.expectClose()
	if len(upstream.Requests) > 0 {
		t.Error("a request was forwarded that came after the shutdown")
	}
}

func testShutdownWithPipelinedRequests(t *testing.T) {
	upstream := newGatedUpstream(t)
	address, shutdown, _ := startWithUpstream(t, upstream.Upstream)
	client := dial(t, address)
	client.sendRequest("first")
	peertest.Await(t, "the first", upstream.Requests)
	for i := range 64 {
		client.sendRequest(fmt.Sprint(i))
	}
	shutdown()
	awaitDraining(t, address)
	close(upstream.responses)
	client.expectLastResponse(http.StatusOK)
	client.expectClose()
	if len(upstream.Requests) > 0 {
		t.Error("a request after the last one was forwarded")
	}
}

func testShutdownWithSilentConnection(t *testing.T) {
	address, shutdown, ended := startSidecar(t, testConfig(t, testOptions{}, noDiscovery))
	client := dial(t, address)
	start := time.Now()
	shutdown()
	client.expectClose() // and is not left open up to the kill
	if took := time.Since(start); took > acceptGrace+idleReadTimeout/2 {
		t.Errorf("a silent connection was ended after %v", took)
	}
	peertest.Await(t, "the end", ended)
}

// The process is killed soon after the longest deadline, 3 s at most, and 0.7 s
// more: what is open then has been answered, however long its client would wait.
func TestShutdownAnswersAllBeforeTheKill(t *testing.T) {
	const deadline = 600 * time.Millisecond // and clients that wait for longer
	upstream := newGatedUpstream(t)
	config := singleSlotConfig(t, upEndpoint("s-1", upstream.Addr))
	for i := range config.Policy.Classes {
		config.Policy.Classes[i].Deadline = deadline
	}
	address, shutdown, ended := startSidecar(t, config)
	inFlight, queued := dial(t, address), dial(t, address)
	inFlight.sendRequest("in-flight")
	peertest.Await(t, "the first", upstream.Requests)
	queued.sendRequest("queued")
	peertest.Await(t, "both held", requestHeld(t, address, "queued"))
	start := time.Now()
	shutdown()
	if status, _ := queued.readResponse(); status != http.StatusServiceUnavailable { // it never ran
		t.Errorf("the queued one: %d, want 503", status)
	}
	if status, _ := inFlight.readResponse(); status == http.StatusServiceUnavailable || status < 500 { // it may have
		t.Errorf("the one in flight: %d, want a failure that is no rejection", status)
	}
	if took := time.Since(start); took < deadline || took > deadline+killMargin {
		t.Errorf("answered %v after the announcement", took)
	}
	err := peertest.Await(t, "the end", ended)
	if err != nil || time.Since(start) > config.killGrace()+schedulingMargin {
		t.Errorf("ended with %v after %v", err, time.Since(start))
	}
}

// A planned restart: what was taken is answered, connections that still come are
// served and closed, and idle ones are closed before the listener.
func TestPlannedRestartLosesNothing(t *testing.T) {
	release := make(chan struct{})
	upstream := newHoldingUpstream(t, "ok", release)
	address, shutdown, ended := startWithUpstream(t, upstream)
	idle := dial(t, address)
	idle.sendRequest("first")
	if status, last := idle.readResponse(); status != http.StatusOK || last {
		t.Fatalf("before the restart: %d, last %v", status, last)
	}
	peertest.Await(t, "the first", upstream.Requests)
	held := peertest.Call{Class: "once", ID: "held"}.Start(t, address)
	peertest.Await(t, "the held one", upstream.Requests)
	shutdown()
	if _, err := idle.reader.Peek(1); err == nil { // returns when the idle connection is closed
		t.Error("bytes that belong to no request")
	}
	// A kept connection would be closed under a later request: the response announces it.
	fresh := dial(t, address)
	fresh.sendRequest("fresh")
	fresh.expectLastResponse(http.StatusOK)
	select {
	case err := <-ended:
		t.Fatalf("ended with a request unanswered: %v", err)
	case <-time.After(acceptGrace): // the listener is closed or about to be
	}
	close(release)
	if got := peertest.Await(t, "the held one's answer", held); got.Status != http.StatusOK || got.Body != "ok" {
		t.Errorf("the held one: %+v", got)
	}
	if err := peertest.Await(t, "the end", ended); err != nil {
		t.Errorf("ended with %v", err)
	}
}
