package rig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers"
)

// Connections to nodes are reset repeatedly with requests in flight. A request that is not idempotent is
// executed at most once, and each request gets exactly one response. The test guards against retries of requests
// that may have been executed, and against responses that a reset loses.
func TestRepeatedConnectionResets(t *testing.T) {
	for i, pair := range pairings {
		if testing.Short() && i > 0 {
			break
		}
		t.Run(pair.String(), func(t *testing.T) {
			t.Parallel()
			testConnectionResets(t, pair)
		})
	}
}

func testConnectionResets(t *testing.T, pair pairing) {
	resets := 250 // for each of the four pairings: 1000 in all
	if *long {
		resets = 5000
	}
	rig := start(t, Options{
		ClientProtocol: pair.front, NodeProtocol: pair.nodes, NodeCount: 3, Slots: 300, MaxInFlightPerConn: 300,
		Script: func(call peers.Call) peers.Response {
			return peers.Response{Delay: time.Duration(len(call.ID)%3) * time.Millisecond}
		},
	})
	clients := make([]peers.Client, 8)
	for i := range clients {
		clients[i] = startClient(t, rig)
	}
	outcomes := newOutcomeCounts()
	stop := sendContinuously(50, func(worker, i int) { // keeps requests in flight all the time
		class := []string{NonIdempotent, NonIdempotent, Keyed, Read}[i%4]
		call := Request(class, fmt.Sprintf("%s-%d-%d", class, worker, i), Tenant(i))
		got := doRequest(t, clients[worker%len(clients)], call)
		outcomes.add(got)
		if got.Outcome == peers.Rejected { // at most 3 ms of the pause that the response asks for
			time.Sleep(min(got.RetryAfter, 3*time.Millisecond))
		}
	})
	for i := range resets {
		resetAfterResponse(rig.Nodes[i%3])
	}
	stop()
	served, failed := outcomes.counts[peers.Served], outcomes.counts[peers.Failed]
	t.Logf("%d resets: %v", resets, outcomes)
	if served == 0 || failed == 0 {
		t.Errorf("got outcomes %v, want some served and some failed by resets with requests in flight", outcomes.counts)
	}
	expectNoneExecutedTwice(t, rig, func(id string) bool { return strings.HasPrefix(id, NonIdempotent) })
}

// resetAfterResponse resets a node's connections once the node has served a request, or after 50 ms.
func resetAfterResponse(node *peers.Upstream) {
	before := node.Served()
	for end := time.Now().Add(50 * time.Millisecond); node.Served() == before && time.Now().Before(end); {
		time.Sleep(200 * time.Microsecond)
	}
	node.ResetConnections()
}
