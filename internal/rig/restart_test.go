package rig

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// The sidecar shuts down for a planned restart with requests in flight. Each accepted request, and each request
// that is sent while the sidecar announces the drain, is served. The test guards against requests that are lost in
// a planned restart.
func TestPlannedRestartWithAllPairings(t *testing.T) {
	for _, pair := range pairings {
		t.Run(pair.String(), func(t *testing.T) {
			t.Parallel()
			testPlannedRestart(t, pair)
		})
	}
}

func testPlannedRestart(t *testing.T, pair pairing) {
	rig, err := Start(Options{
		ClientProtocol: pair.front, NodeProtocol: pair.nodes, Slots: 400, MaxInFlightPerConn: 200,
		Script: delayed(400 * time.Millisecond),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer rig.Close()
	client := rig.Client()
	defer client.Close()
	var wg sync.WaitGroup
	send := func(name string) {
		for i := range 30 {
			wg.Go(func() {
				id := fmt.Sprint(name, i)
				expectServed(t, id, client, Request(NonIdempotent, id, Tenant(i)))
			})
		}
	}
	send("in-flight-")
	peertest.WaitUntil(t, "30 requests to be in flight", func() bool {
		return rig.Nodes[0].InFlight()+rig.Nodes[1].InFlight() == 30
	})
	rig.Stop()
	send("during-drain-")
	wg.Wait()
	select {
	case err := <-rig.Ended():
		if rig.ended <- err; err != nil {
			t.Errorf("sidecar: got error %v, want nil", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the sidecar did not stop within 10 s")
	}
}
