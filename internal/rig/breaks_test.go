package rig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers"
)

// Connections to nodes break again and again with requests in flight: an unsafe one
// runs at most once, and each request gets its one response.
func TestThousandBreaks(t *testing.T) {
	for i, pair := range pairings {
		if testing.Short() && i > 0 {
			break
		}
		t.Run(pair.String(), func(t *testing.T) {
			t.Parallel()
			testBreaks(t, pair)
		})
	}
}

func testBreaks(t *testing.T, pair pairing) {
	breaks := 250 // by pairing: a thousand with the four
	if *long {
		breaks = 5000
	}
	rig := start(t, Options{
		Front: pair.front, Nodes: pair.nodes, Number: 3, Slots: 300, Open: 300,
		Script: func(call peers.Call) peers.Response {
			return peers.Response{Delay: time.Duration(len(call.ID)%3) * time.Millisecond}
		},
	})
	clients := make([]peers.Client, 8)
	for i := range clients {
		clients[i] = startClient(t, rig)
	}
	verdicts := newVerdictCounts()
	stop := keepSending(50, func(worker, i int) { // in flight all the time
		class := []string{Once, Once, Entry, Read}[i%4]
		call := Request(class, fmt.Sprintf("%s-%d-%d", class, worker, i), Tenant(i))
		got := doRequest(t, clients[worker%len(clients)], call)
		verdicts.add(got)
		if got.Outcome == peers.Rejected { // its pause, cut short
			time.Sleep(min(got.RetryAfter, 3*time.Millisecond))
		}
	})
	for i := range breaks {
		breakAfterResponse(rig.Nodes[i%3])
	}
	stop()
	served, failed := verdicts.counts[peers.Served], verdicts.counts[peers.Failed]
	t.Logf("%d breaks: %v", breaks, verdicts)
	if served == 0 || failed == 0 {
		t.Errorf("verdicts %v: breaks with requests in flight fail some and leave others", verdicts.counts)
	}
	expectNoneDoubled(t, rig, func(id string) bool { return strings.HasPrefix(id, Once) })
}

// breakAfterResponse breaks a node's connections once it has served a request, or after 50 ms.
func breakAfterResponse(node *peers.Upstream) {
	before := node.Served()
	for end := time.Now().Add(50 * time.Millisecond); node.Served() == before && time.Now().Before(end); {
		time.Sleep(200 * time.Microsecond)
	}
	node.ResetConnections()
}
