package rig

import (
	"fmt"
	"testing"
	"time"

	"mothridge/internal/operator"
	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// Guards against nodes that get requests after the platform removed them, as loss protection holds them where the operators' file
// has one more source; and against a removed node that never gets requests again when the platform lists it anew.
func TestPlatformRemovalsApplyBesideAnotherSource(t *testing.T) {
	spare, err := peers.StartUpstream(peers.HTTP, "spare", peers.NewLedger(false), peers.ServeAll)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { spare.Close() })
	rig := start(t, Options{NodeCount: 6, KeepAttemptTimes: true, ConfigureOperator: func(file *operator.File) {
		file.Static = []operator.Static{{Name: "spare", Addresses: []operator.Address{operator.Address(spare.Addr())}}}
	}})
	client := startClient(t, rig)
	stop := sendContinuously(4, func(worker, i int) {
		doRequest(t, client, mixedRequest(worker, i))
		time.Sleep(time.Millisecond)
	})
	defer stop()
	removed, remaining := rig.Nodes[:5], rig.Nodes[5]
	peertest.WaitUntil(t, "each node to be in use", func() bool {
		for _, node := range rig.Nodes {
			if node.Served() < 10 {
				return false
			}
		}
		return spare.Served() > 0
	})
	for _, node := range removed {
		rig.SetHealth(node, "removed", 0)
	}
	notified := time.Now()
	time.Sleep(DrainTimeLimit + 500*time.Millisecond) // fixed, because the rule limits a duration
	before := remaining.Served()
	peertest.WaitUntil(t, "the load to continue", func() bool { return remaining.Served() > before+20 })
	for _, node := range removed {
		times := rig.Ledger.AttemptTimes(node.Name)
		if last := times[len(times)-1].Sub(notified); last > DrainTimeLimit {
			t.Errorf("%s: got the last request %v after its removal, want at most %v", node.Name, last, DrainTimeLimit)
		}
	}
	back := removed[0]
	before = back.Served()
	rig.SetHealth(back, "up", time.Now().UnixMilli())
	peertest.WaitUntil(t, fmt.Sprint(back.Name, " to be in use again"), func() bool { return back.Served() > before })
}
