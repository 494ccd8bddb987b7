package rig

import (
	"testing"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// Nothing reaches a node later than 2 s after the notification that it drains, nor
// after it was removed, however busy the sidecar is. Counted at the node.
func TestDrainWithAllPairings(t *testing.T) {
	for _, pair := range pairings {
		t.Run(pair.String(), func(t *testing.T) {
			t.Parallel()
			testDrain(t, pair)
		})
	}
}

func testDrain(t *testing.T, pair pairing) {
	rig := start(t, Options{
		Front: pair.front, Nodes: pair.nodes, Number: 3, Times: true, Script: delayed(time.Millisecond),
	})
	clients := []peers.Client{startClient(t, rig), startClient(t, rig)}
	stop := keepSending(6, func(worker, i int) { doRequest(t, clients[worker%2], mixedRequest(worker, i)) })
	drained, removed, stays := rig.Nodes[0], rig.Nodes[1], rig.Nodes[2]
	peertest.Until(t, "each node to be in use", func() bool {
		return drained.Served() > 20 && removed.Served() > 20 && stays.Served() > 20
	})
	rig.List(drained, "draining", 0)
	rig.List(removed, "removed", 0)
	notified := time.Now()
	time.Sleep(DrainWithin + 300*time.Millisecond) // the rule is about time
	before := stays.Served()
	peertest.Until(t, "the load to go on", func() bool { return stays.Served() > before+100 })
	stop()
	for _, node := range []*peers.Upstream{drained, removed} {
		times := rig.Ledger.AttemptTimes(node.Name)
		if last := times[len(times)-1]; last.After(notified.Add(DrainWithin)) {
			t.Errorf("%s received something %v after the notification", node.Name, last.Sub(notified))
		}
	}
}
