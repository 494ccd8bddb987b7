package platform

import (
	"net"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// A new address applies at once, with a complete list first: its versions may be unrelated to
// those at the old one, from which no update may come later.
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
			discovery.SetAddress("127.0.0.1:1") // and another one at once: the last one counts
			discovery.SetAddress(next.Addr)
			peertest.Await(t, "the call for the new list", next.ListRequests)
			next.ListResponses <- peertest.ListText(7, true, endpointText("up"))
			wantList(t, updates, 7)
			wantWatchFrom(t, next, "7")
			wantNoMore(t, updates)
		})
	}
}

// watchOnRequest has a Discovery that is not running wait for requests, and returns the channels
// of the requests and of the failures that it reports.
func watchOnRequest(discovery *Discovery) (requests chan<- struct{}, failures <-chan struct{}) {
	requested, failed := make(chan struct{}, 1), make(chan struct{}, 1)
	discovery.watchRequests, discovery.watchFailed = requested, func() { failed <- struct{}{} }
	return requested, failed
}

// A change of address needs no watch request, and a failure at the new address is reported.
func TestAddressChangeWithWatchOnRequest(t *testing.T) {
	previous, next := peertest.NewDiscovery(t), peertest.NewDiscovery(t)
	discovery, updates := newDiscovery(previous.Addr, knownList(3))
	requests, failures := watchOnRequest(discovery)
	go discovery.Run(t.Context())
	requests <- struct{}{}
	peertest.Await(t, "the old watch", previous.Watches)
	discovery.SetAddress(next.Addr)
	peertest.Await(t, "the call for the new list", next.ListRequests)
	next.ListResponses <- peertest.ListText(1, true)
	if update := peertest.Await(t, "the list", updates); update.Version != 1 || !update.Complete {
		t.Errorf("published %+v", update)
	}
	close(peertest.Await(t, "the new watch", next.Watches).Lines)
	peertest.Await(t, "the report of its end", failures)
}

// Each watch waits for a request; success and failure are reported.
func TestWatchOnRequest(t *testing.T) {
	registry := peertest.NewDiscovery(t)
	discovery, updates := newDiscovery(registry.Addr, knownList(3))
	requests, failures := watchOnRequest(discovery)
	go discovery.Run(t.Context())
	requests <- struct{}{}
	watch := peertest.Await(t, "the watch", registry.Watches)
	watch.Lines <- "" // nothing has changed: an update without endpoints reports the success
	update := peertest.Await(t, "the update", updates)
	if update.Version != 3 || update.Complete || len(update.Endpoints) != 0 {
		t.Errorf("published %+v", update)
	}
	close(watch.Lines)
	peertest.Await(t, "the report of the failure", failures)
	select {
	case <-registry.Watches:
		t.Error("watched again without a request")
	default:
	}
	requests <- struct{}{}
	peertest.Await(t, "the second watch", registry.Watches)
}

// While discovery is down the agent of a pushed list accepts calls and does not respond. A drain
// that it has at its return is published within the 2 s in which it takes effect.
func TestReturnOfSilentAgentIsNoticedInTime(t *testing.T) {
	addr, unanswered, returns := startSilentAgent(t)
	discovery, updates := newDiscovery(addr, knownList(41))
	go discovery.Run(t.Context())
	peertest.Await(t, "a call", unanswered)
	peertest.Await(t, "a further call", unanswered)
	returned := time.Now()
	close(returns)
	if update := peertest.Await(t, "the change", updates); update.Version != 43 {
		t.Errorf("published %+v", update)
	}
	if took := time.Since(returned); took > 2*time.Second {
		t.Errorf("published %v after the return", took)
	}
}

// startSilentAgent starts an agent that answers no call until returns is closed, and those from
// before never.
func startSilentAgent(t *testing.T) (addr string, unanswered <-chan net.Conn, returns chan<- struct{}) {
	t.Helper()
	listener := peertest.Listen(t)
	silent, up := make(chan net.Conn, 100), make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			select {
			case <-up:
				go answerWithDrain(conn)
			default:
				silent <- conn
			}
		}
	}()
	return listener.Addr().String(), silent, up
}

func answerWithDrain(conn net.Conn) {
	conn.Read(make([]byte, 4<<10))
	change := peertest.ListText(43, false, endpointText("draining")) + "\n"
	conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + change))
}

// A discovery that responds slowly is followed, at whatever speed.
func TestSlowDiscoveryIsFollowed(t *testing.T) {
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
				t.Fatalf("no update, with %d calls", calls.Load())
			}
		})
	}
}

func wantOneEndpoint(t *testing.T, update core.EndpointUpdate) {
	t.Helper()
	if update.Version != 7 || len(update.Endpoints) != 1 {
		t.Errorf("published %+v", update)
	}
}
