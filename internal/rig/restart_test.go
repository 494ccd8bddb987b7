package rig

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// A planned restart with responses due: each request that was taken, and each
// that crosses the announcement of the drain, is answered.
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
		Front: pair.front, Nodes: pair.nodes, Slots: 400, Open: 200, Script: delayed(400 * time.Millisecond),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer rig.Close()
	client := rig.Client()
	defer client.Close()
	var running sync.WaitGroup
	send := func(name string) {
		for i := range 30 {
			running.Go(func() {
				id := fmt.Sprint(name, i)
				expectServed(t, id, client, Request(Once, id, Tenant(i)))
			})
		}
	}
	send("taken-")
	peertest.Until(t, "them to be in flight", func() bool {
		return rig.Nodes[0].InFlight()+rig.Nodes[1].InFlight() == 30
	})
	rig.Stop()
	send("crossing-")
	running.Wait()
	select {
	case err := <-rig.Ended():
		if rig.ended <- err; err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the sidecar does not end")
	}
}
