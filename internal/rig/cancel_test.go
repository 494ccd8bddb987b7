package rig

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// The cancel notification is lost or ignored: an unsafe request that was given
// up is not repeated, and a keyed one runs its effect once.
func TestIgnoredCancelDoublesNothing(t *testing.T) {
	rig := start(t, Options{Front: peers.RPC, Nodes: peers.RPC, Script: func(call peers.Call) peers.Response {
		if call.Attempt == 1 {
			return peers.Response{Delay: 700 * time.Millisecond} // longer than the client waits, and it runs on
		}
		return peers.Response{}
	}})
	for _, node := range rig.Nodes {
		node.IgnoreCancels(true)
	}
	client := startClient(t, rig)
	var running sync.WaitGroup
	for i := range 4 {
		for _, class := range []string{Once, Entry} {
			running.Go(func() {
				call := Request(class, fmt.Sprintf("%s-%d", class, i), Tenant(i))
				call.Timeout = 300 * time.Millisecond
				doRequest(t, client, call)
				if attempts := rig.Ledger.Attempts(call.ID); class == Once && attempts != 1 {
					t.Errorf("%s had %d attempts", call.ID, attempts)
				}
			})
		}
	}
	running.Wait()
	expectNoneDoubled(t, rig, anyID)
	if rig.Nodes[0].Cancels()+rig.Nodes[1].Cancels() == 0 {
		t.Error("no node was notified of a cancel")
	}
}

// A client disconnects with 100 requests in flight: the nodes are notified, and the sidecar holds nothing.
func TestClientDisconnectsWithHundredInFlight(t *testing.T) {
	rig := start(t, Options{
		Front: peers.RPC, Nodes: peers.RPC, Slots: 400, Open: 200,
		Script: func(peers.Call) peers.Response { return peers.Response{Action: peers.Hang} },
	})
	client := rig.Client()
	var running sync.WaitGroup
	for i := range 100 {
		running.Go(func() { client.Do(t.Context(), Request(Read, fmt.Sprint("r-", i), Tenant(i))) })
	}
	inFlight := func() int64 { return rig.Nodes[0].InFlight() + rig.Nodes[1].InFlight() }
	peertest.Until(t, "100 to be in flight", func() bool { return inFlight() == 100 })
	client.Close()
	running.Wait()
	peertest.Until(t, "the nodes to be notified", func() bool {
		return inFlight() == 0 && rig.Nodes[0].Cancels()+rig.Nodes[1].Cancels() == 100
	})
	other := startClient(t, rig)
	for _, node := range rig.Nodes {
		node.SetScript(peers.ServeAll)
	}
	expectServed(t, "after it", other, Request(Read, "after", "north"))
}
