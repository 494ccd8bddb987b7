package rig

import (
	"testing"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// No request reaches a node later than 2 s after the notification that the node drains or is removed, even
// under load. The nodes record the times of their requests. The test guards against attempts that a busy
// sidecar sends too late.
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
		ClientProtocol: pair.front, NodeProtocol: pair.nodes, NodeCount: 3, KeepAttemptTimes: true, Script: delayed(time.Millisecond),
	})
	clients := []peers.Client{startClient(t, rig), startClient(t, rig)}
	stop := sendContinuously(6, func(worker, i int) { doRequest(t, clients[worker%2], mixedRequest(worker, i)) })
	drained, removed, remaining := rig.Nodes[0], rig.Nodes[1], rig.Nodes[2]
	peertest.WaitUntil(t, "each node to be in use", func() bool {
		return drained.Served() > 20 && removed.Served() > 20 && remaining.Served() > 20
	})
	rig.SetHealth(drained, "draining", 0)
	rig.SetHealth(removed, "removed", 0)
	notified := time.Now()
	time.Sleep(DrainTimeLimit + 300*time.Millisecond) // fixed, because the rule limits a duration
	before := remaining.Served()
	peertest.WaitUntil(t, "the load to continue", func() bool { return remaining.Served() > before+100 })
	stop()
	for _, node := range []*peers.Upstream{drained, removed} {
		times := rig.Ledger.AttemptTimes(node.Name)
		if last := times[len(times)-1]; last.After(notified.Add(DrainTimeLimit)) {
			t.Errorf("%s: got the last request %v after the notification, want at most 2s",
				node.Name, last.Sub(notified))
		}
	}
}
