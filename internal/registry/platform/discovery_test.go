package platform

import (
	"net"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// A new address must take effect immediately and start with a complete list, because versions
// at the new address may be unrelated to those at the old address. No update from the old
// address may be published afterwards.
func TestAddressChange(t *testing.T) {
	for name, known := range map[string]*Listing{"watching": knownList(41), "waiting for a list": nil} {
		t.Run(name, func(t *testing.T) {
			previous, next := peertest.NewDiscovery(t), peertest.NewDiscovery(t)
			discovery, updates := newDiscovery(previous.Addr, known)
			go discovery.Run(t.Context())
			if known == nil {
				peertest.Await(t, "the call to the old address", previous.ListRequests)
			} else {
				watch := peertest.Await(t, "the old watch", previous.Watches)
				defer peertest.Await(t, "the old watch's end", watch.Ended)
			}
			discovery.SetAddress("127.0.0.1:1") // replaced before Run reads it: only the last address applies
			discovery.SetAddress(next.Addr)
			peertest.Await(t, "the call for the new list", next.ListRequests)
			next.ListResponses <- peertest.EndpointListJSON(7, true, endpointText("up"))
			wantList(t, updates, 7)
			wantWatchFrom(t, next, "7")
			wantNoMore(t, updates)
		})
	}
}

// watchOnRequest makes a Discovery that is not yet running wait for a request before each watch.
// It returns the channel for the requests and the channel of the failures that Run reports.
func watchOnRequest(discovery *Discovery) (requests chan<- struct{}, failures <-chan struct{}) {
	requested, failed := make(chan struct{}, 1), make(chan struct{}, 1)
	discovery.watchRequests, discovery.watchFailed = requested, func() { failed <- struct{}{} }
	return requested, failed
}

// A change of address opens a watch without a watch request, and the failure of the watch at the
// new address is reported.
func TestAddressChangeWithWatchOnRequest(t *testing.T) {
	previous, next := peertest.NewDiscovery(t), peertest.NewDiscovery(t)
	discovery, updates := newDiscovery(previous.Addr, knownList(3))
	requests, failures := watchOnRequest(discovery)
	go discovery.Run(t.Context())
	requests <- struct{}{}
	peertest.Await(t, "the old watch", previous.Watches)
	discovery.SetAddress(next.Addr)
	peertest.Await(t, "the call for the new list", next.ListRequests)
	next.ListResponses <- peertest.EndpointListJSON(1, true)
	if update := peertest.Await(t, "the list", updates); update.Version != 1 || !update.Complete {
		t.Errorf("got the update %+v, want a complete list of version 1", update)
	}
	close(peertest.Await(t, "the new watch", next.Watches).Lines)
	peertest.Await(t, "the report that the new watch ended", failures)
}

// Each watch waits for a request. A successful watch is reported by an update, a failed one by the
// failure callback.
func TestWatchOnRequest(t *testing.T) {
	registry := peertest.NewDiscovery(t)
	discovery, updates := newDiscovery(registry.Addr, knownList(3))
	requests, failures := watchOnRequest(discovery)
	go discovery.Run(t.Context())
	requests <- struct{}{}
	watch := peertest.Await(t, "the watch", registry.Watches)
	watch.Lines <- "" // no change: an update without endpoints reports that the watch is open
	update := peertest.Await(t, "the update", updates)
	if update.Version != 3 || update.Complete || len(update.Endpoints) != 0 {
		t.Errorf("got the update %+v, want version 3 without endpoints", update)
	}
	close(watch.Lines)
	peertest.Await(t, "the report of the failure", failures)
	select {
	case <-registry.Watches:
		t.Error("got a second watch without a request")
	default:
	}
	requests <- struct{}{}
	peertest.Await(t, "the second watch", registry.Watches)
}

// While discovery is down, the agent that serves pushed lists accepts calls but does not respond.
// A drain that the agent reports once it responds again must be published within 2 s, the time
// in which a drain must take effect.
func TestSilentAgentRecoveryIsDetected(t *testing.T) {
	addr, unanswered, recovered := startSilentAgent(t)
	discovery, updates := newDiscovery(addr, knownList(41))
	go discovery.Run(t.Context())
	peertest.Await(t, "the first call", unanswered)
	peertest.Await(t, "the second call", unanswered)
	recoveredAt := time.Now()
	close(recovered)
	if update := peertest.Await(t, "the change", updates); update.Version != 43 {
		t.Errorf("got the update %+v, want version 43", update)
	}
	if took := time.Since(recoveredAt); took > 2*time.Second {
		t.Errorf("update published %v after the recovery, want at most 2s", took)
	}
}

// startSilentAgent starts an agent that accepts calls but does not respond until recovered is
// closed. It never responds to calls that it accepted before that.
func startSilentAgent(t *testing.T) (addr string, unanswered <-chan net.Conn, recovered chan<- struct{}) {
	t.Helper()
	listener := peertest.Listen(t)
	accepted, recovery := make(chan net.Conn, 100), make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			select {
			case <-recovery:
				go respondWithDrain(conn)
			default:
				accepted <- conn
			}
		}
	}()
	return listener.Addr().String(), accepted, recovery
}

func respondWithDrain(conn net.Conn) {
	conn.Read(make([]byte, 4<<10))
	change := peertest.EndpointListJSON(43, false, endpointText("draining")) + "\n"
	conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + change))
}

// A list is published however slowly discovery responds. Canceling each call after a fixed timeout
// would never get a response from a discovery that is slower than the timeout.
func TestListFromSlowDiscovery(t *testing.T) {
	for name, tt := range map[string]struct {
		onRequest    bool
		responseTime time.Duration
	}{
		"pushed, 1.2 s": {responseTime: 1200 * time.Millisecond},
		"pushed, 4 s":   {responseTime: 4 * time.Second},
		"polled, 3.5 s": {onRequest: true, responseTime: 3500 * time.Millisecond},
		"polled, 7 s":   {onRequest: true, responseTime: 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, calls := startSlowDiscovery(t, tt.responseTime)
			discovery, updates := newDiscovery(addr, nil)
			if tt.onRequest {
				requests := make(chan struct{}, 1)
				requests <- struct{}{}
				discovery.WatchOnRequest(requests, func() { requests <- struct{}{} }, 1)
			}
			go discovery.Run(t.Context())
			select {
			case update := <-updates:
				wantOneEndpoint(t, update)
			case <-time.After(2*tt.responseTime + time.Second):
				t.Fatalf("got no update after %d calls", calls.Load())
			}
		})
	}
}

func wantOneEndpoint(t *testing.T, update core.EndpointUpdate) {
	t.Helper()
	if update.Version != 7 || len(update.Endpoints) != 1 {
		t.Errorf("got the update %+v, want version 7 with one endpoint", update)
	}
}
