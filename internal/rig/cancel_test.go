package rig

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// Nodes ignore cancel notifications and continue to process requests that the sidecar has abandoned. The
// sidecar does not retry such a request if it is not idempotent, and a request with an idempotency key has
// its effect once. The test guards against effects that are executed twice.
func TestIgnoredCancelExecutesNothingTwice(t *testing.T) {
	rig := start(t, Options{ClientProtocol: peers.RPC, NodeProtocol: peers.RPC, Script: func(call peers.Call) peers.Response {
		if call.Attempt == 1 {
			// Longer than the client waits; the node continues after the cancel notification.
			return peers.Response{Delay: 700 * time.Millisecond}
		}
		return peers.Response{}
	}})
	for _, node := range rig.Nodes {
		node.IgnoreCancels(true)
	}
	client := startClient(t, rig)
	var wg sync.WaitGroup
	for i := range 4 {
		for _, class := range []string{NonIdempotent, Keyed} {
			wg.Go(func() {
				call := Request(class, fmt.Sprintf("%s-%d", class, i), Tenant(i))
				call.Timeout = 300 * time.Millisecond
				doRequest(t, client, call)
				if attempts := rig.Ledger.Attempts(call.ID); class == NonIdempotent && attempts != 1 {
					t.Errorf("request %s: got %d attempts, want 1", call.ID, attempts)
				}
			})
		}
	}
	wg.Wait()
	expectNoneExecutedTwice(t, rig, anyID)
	// The response of a request that has timed out may reach its client before the cancel reaches the node.
	peertest.WaitUntil(t, "a cancel notification at a node", func() bool {
		return rig.Nodes[0].Cancels()+rig.Nodes[1].Cancels() > 0
	})
}

// A client disconnects with 100 requests in flight. The nodes get a cancel notification for each request,
// and the sidecar serves later requests. The test guards against requests that stay in flight without a client.
func TestClientDisconnectsWithHundredInFlight(t *testing.T) {
	rig := start(t, Options{
		ClientProtocol: peers.RPC, NodeProtocol: peers.RPC, Slots: 400, MaxInFlightPerConn: 200,
		Script: func(peers.Call) peers.Response { return peers.Response{Action: peers.Hang} },
	})
	client := rig.Client()
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() { client.Do(t.Context(), Request(Read, fmt.Sprint("r-", i), Tenant(i))) })
	}
	inFlight := func() int64 { return rig.Nodes[0].InFlight() + rig.Nodes[1].InFlight() }
	peertest.WaitUntil(t, "100 requests to be in flight", func() bool { return inFlight() == 100 })
	client.Close()
	wg.Wait()
	peertest.WaitUntil(t, "100 cancel notifications at the nodes", func() bool {
		return inFlight() == 0 && rig.Nodes[0].Cancels()+rig.Nodes[1].Cancels() == 100
	})
	other := startClient(t, rig)
	for _, node := range rig.Nodes {
		node.SetScript(peers.ServeAll)
	}
	expectServed(t, "after the disconnect", other, Request(Read, "after", "north"))
}
