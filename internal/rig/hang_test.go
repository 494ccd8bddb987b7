package rig

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"mothridge/internal/peers"
)

// One connection interleaves requests to a node that then hangs for 19 s: those
// of the other nodes and those answered already go on, each hung one ends at
// its own deadline, and new requests do not pile up at the node that hangs.
func TestHangOnOneConnection(t *testing.T) {
	const requests = 600
	rig := start(t, Options{Front: peers.RPC, Nodes: peers.RPC, Number: 4, Slots: 200, Open: 400, Times: true})
	hangs := playHangs(rig)
	client := startClient(t, rig)
	for i := range 20 {
		if got := doRequest(t, client, Request(Once, fmt.Sprint("before-", i), "north")); got.Outcome != peers.Served {
			t.Fatalf("before the hang: %+v", got)
		}
	}
	hanging := rig.Nodes[0]
	hangs.Store(hanging.Name, true)
	earlier := len(rig.Ledger.AttemptTimes(hanging.Name))
	verdicts := newVerdictCounts()
	var running sync.WaitGroup
	for i := range requests {
		running.Go(func() {
			call := Request(Once, fmt.Sprint("during-", i), Tenant(i))
			call.Timeout = time.Duration(400+i%5*100) * time.Millisecond
			verdicts.add(doRequest(t, client, call))
		})
		time.Sleep(2 * time.Millisecond) // an even load: 500 a second
	}
	running.Wait()
	hung := len(rig.Ledger.AttemptTimes(hanging.Name)) - earlier
	served, failed := verdicts.counts[peers.Served], verdicts.counts[peers.Failed]
	t.Logf("%v; %d attempts at the node that hangs", verdicts, hung)
	if failed != hung || hung == 0 {
		t.Errorf("%d failed and %d hang: each one that hangs must fail, and no other", failed, hung)
	}
	// The bulkheads bound what may be at one node; trials come on top now and then.
	if hung > requests/4 || served < requests*6/10 {
		t.Errorf("%d of %d requests went to the node that hangs, %d were served", hung, requests, served)
	}
	if accepted := hanging.Accepted(); accepted > 4+20 {
		t.Errorf("%d connections to the node that hangs", accepted)
	}
	expectNoneDoubled(t, rig, anyID)
}

// playHangs lets each node hang for 19 s whose name is stored.
func playHangs(rig *Rig) (hangs *sync.Map) {
	hangs = new(sync.Map)
	for _, node := range rig.Nodes {
		node.IgnoreCancels(true) // the worst: what is given up runs on for all of the 19 s
		node.SetScript(func(peers.Call) peers.Response {
			if _, hung := hangs.Load(node.Name); hung {
				return peers.Response{Delay: 19 * time.Second}
			}
			return peers.Response{Delay: 2 * time.Millisecond}
		})
	}
	return hangs
}
