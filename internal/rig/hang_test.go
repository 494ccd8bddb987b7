package rig

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"mothridge/internal/peers"
)

// A client sends all requests on one connection while a node hangs for 19 s. Requests to the other nodes are
// served, each request at the hanging node ends at its own deadline, and new requests do not accumulate at
// the hanging node. The test guards against head-of-line blocking and an unbounded queue at one node.
func TestHangOnOneConnection(t *testing.T) {
	const requests = 600
	rig := start(t, Options{
		ClientProtocol: peers.RPC, NodeProtocol: peers.RPC, NodeCount: 4, Slots: 200, MaxInFlightPerConn: 400, KeepAttemptTimes: true,
	})
	hangs := scriptHangs(rig)
	client := startClient(t, rig)
	for i := range 20 {
		if got := doRequest(t, client, Request(NonIdempotent, fmt.Sprint("before-", i), "north")); got.Outcome != peers.Served {
			t.Fatalf("before the hang: got %+v, want outcome served", got)
		}
	}
	hanging := rig.Nodes[0]
	hangs.Store(hanging.Name, true)
	earlier := len(rig.Ledger.AttemptTimes(hanging.Name))
	outcomes := newOutcomeCounts()
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			call := Request(NonIdempotent, fmt.Sprint("during-", i), Tenant(i))
			call.Timeout = time.Duration(400+i%5*100) * time.Millisecond
			outcomes.add(doRequest(t, client, call))
		})
		time.Sleep(2 * time.Millisecond) // a constant load of 500 requests per second
	}
	wg.Wait()
	hung := len(rig.Ledger.AttemptTimes(hanging.Name)) - earlier
	served, failed := outcomes.counts[peers.Served], outcomes.counts[peers.Failed]
	t.Logf("%v; %d attempts at the hanging node", outcomes, hung)
	if failed != hung || hung == 0 {
		t.Errorf("got %d failed requests and %d attempts at the hanging node, want equal numbers above 0", failed, hung)
	}
	// The bulkheads limit the requests at one node. Occasional trial requests exceed this limit.
	if hung > requests/4 || served < requests*6/10 {
		t.Errorf("got %d of %d requests at the hanging node and %d served, want at most a quarter and at least 60%%",
			hung, requests, served)
	}
	if accepted := hanging.Accepted(); accepted > 4+20 {
		t.Errorf("got %d connections to the hanging node, want at most 24", accepted)
	}
	expectNoneExecutedTwice(t, rig, anyID)
}

// scriptHangs makes each node whose name is stored in hangs respond after 19 s, and the others after 2 ms.
func scriptHangs(rig *Rig) (hangs *sync.Map) {
	hangs = new(sync.Map)
	for _, node := range rig.Nodes {
		node.IgnoreCancels(true) // worst case: a node processes a cancelled request for the full 19 s
		node.SetScript(func(peers.Call) peers.Response {
			if _, hung := hangs.Load(node.Name); hung {
				return peers.Response{Delay: 19 * time.Second}
			}
			return peers.Response{Delay: 2 * time.Millisecond}
		})
	}
	return hangs
}
