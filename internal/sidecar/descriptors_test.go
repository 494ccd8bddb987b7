package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// startSilentAgent is a discovery that accepts calls and says nothing, until answer is
// closed: from then on each call gets the list.
func startSilentAgent(t *testing.T, list string, answer <-chan struct{}) (address string, calls <-chan net.Conn) {
	t.Helper()
	listener := peertest.Listen(t)
	silent := make(chan net.Conn, 1000)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			select {
			case <-answer:
				conn.Read(make([]byte, 4<<10))
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+list)
			default:
				silent <- conn
			}
		}
	}()
	return listener.Addr().String(), silent
}

// expectServedSoon sends a request that may be probed and retried.
func expectServedSoon(t *testing.T, address, id string) {
	t.Helper()
	start := time.Now()
	got := peertest.Call{Class: "read", ID: id}.Do(t, address)
	if got.Status != http.StatusOK || time.Since(start) > 2*time.Second {
		t.Errorf("%s: %+v after %v", id, got, time.Since(start))
	}
}

// countProbes reads all requests that the upstreams have received.
func countProbes(upstreams ...*peertest.Upstream) int {
	probes := 0
	for _, upstream := range upstreams {
		for len(upstream.Requests) > 0 {
			if received := <-upstream.Requests; received.URL.Path == "/stats" {
				probes++
			}
		}
	}
	return probes
}

// Idle clients fill their part of the descriptors while discovery is down: clients
// with requests, upstreams, probes and discovery have theirs.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	drained, stays := newServingUpstream(t, "ok"), newServingUpstream(t, "ok")
	answer := make(chan struct{})
	discovery, calls := startSilentAgent(t, peertest.ListText(2, true, upEndpoint("s-2", stays.Addr)), answer)
	address, _, _ := startSidecar(t, testConfig(t, testOptions{sockets: minSockets, probes: true}, discovery,
		upEndpoint("s-1", drained.Addr), upEndpoint("s-2", stays.Addr)))
	peertest.Await(t, "a call to the silent agent", calls)
	for i := range 4 * minSockets {
		idle := dial(t, address)
		if i%4 == 0 {
			io.WriteString(idle, "POST /api HT") // and no more
		}
	}
	for i := range 8 {
		expectServedSoon(t, address, fmt.Sprint("down", i))
	}
	if status, err := readyStatus(address); err != nil || status != http.StatusOK {
		t.Errorf("ready: %d, error %v", status, err)
	}
	close(answer)
	peertest.Until(t, "the drain to be followed", func() bool { // its idle connections are closed with it
		select {
		case <-drained.Closed:
			return true
		default:
			return false
		}
	})
	probes := countProbes(drained, stays)
	for i := range 8 {
		expectServedSoon(t, address, fmt.Sprint("drained", i))
	}
	if len(drained.Requests) > 0 || probes == 0 {
		t.Errorf("%d requests at the drained one, %d probes", len(drained.Requests), probes)
	}
}
