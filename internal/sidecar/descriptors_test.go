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

// startUnresponsiveDiscovery starts a discovery that accepts connections and does not respond until
// respond is closed. From then on each connection gets the list. The channel gets the connections
// without a response.
func startUnresponsiveDiscovery(t *testing.T, list string, respond <-chan struct{}) (
	address string, connections <-chan net.Conn,
) {
	t.Helper()
	listener := peertest.Listen(t)
	unanswered := make(chan net.Conn, 1000)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			select {
			case <-respond:
				conn.Read(make([]byte, 4<<10))
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+list)
			default:
				unanswered <- conn
			}
		}
	}()
	return listener.Addr().String(), unanswered
}

// expectServedSoon sends a request that may be probed and retried, and fails the test unless the
// response is 200 within 2 s.
func expectServedSoon(t *testing.T, address, id string) {
	t.Helper()
	start := time.Now()
	got := peertest.Call{Class: "read", ID: id}.Do(t, address)
	if got.Status != http.StatusOK || time.Since(start) > 2*time.Second {
		t.Errorf("%s: got %+v after %v, want 200 within 2 s", id, got, time.Since(start))
	}
}

// countProbes removes all requests that the upstreams have received and returns how many of them
// were probes.
func countProbes(upstreams ...*peertest.RawUpstream) int {
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

// Idle clients use up the descriptors reserved for clients while discovery is down. Clients with
// requests, upstreams, probes and discovery must still get the descriptors that they need.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	drained, remaining := newServingUpstream(t, "ok"), newServingUpstream(t, "ok")
	respond := make(chan struct{})
	discovery, connections := startUnresponsiveDiscovery(t, peertest.EndpointListJSON(2, true, upEndpoint("s-2", remaining.Addr)), respond)
	address, _, _ := startSidecar(t, testConfig(t, testOptions{sockets: minSockets, probes: true}, discovery,
		upEndpoint("s-1", drained.Addr), upEndpoint("s-2", remaining.Addr)))
	peertest.Await(t, "a connection to the unresponsive discovery", connections)
	for i := range 4 * minSockets {
		idle := dial(t, address)
		if i%4 == 0 {
			io.WriteString(idle, "POST /api HT") // and nothing after that
		}
	}
	for i := range 8 {
		expectServedSoon(t, address, fmt.Sprint("down", i))
	}
	if status, err := readyStatus(address); err != nil || status != http.StatusOK {
		t.Errorf("readiness check: got %d, error %v, want 200", status, err)
	}
	close(respond)
	peertest.WaitUntil(t, "the drain to take effect", func() bool { // a drain closes idle connections
		select {
		case <-drained.Closed:
			return true
		default:
			return false
		}
	})
	probes := countProbes(drained, remaining)
	for i := range 8 {
		expectServedSoon(t, address, fmt.Sprint("drained", i))
	}
	if len(drained.Requests) > 0 || probes == 0 {
		t.Errorf("got %d requests at the drained upstream and %d probes, want 0 and at least 1", len(drained.Requests), probes)
	}
}
