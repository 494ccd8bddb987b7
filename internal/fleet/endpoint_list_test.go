package fleet

import (
	"testing"
	"time"
)

// The loss protection of the membership module keeps the nodes that an incomplete list leaves out.
func TestIncompleteListAndMembership(t *testing.T) {
	scenario := steadyScenario(10, 0.6)
	scenario.Faults = []Fault{{Kind: IncompleteList, Start: 10 * time.Second, Duration: 20 * time.Second, NodeShare: 0.8}}
	direct := mustRun(t, scenario)
	scenario.List.Membership = true
	protected := mustRun(t, scenario)
	if direct.ObjectiveShare() > 0.9 || protected.ObjectiveShare() < 0.99 {
		t.Errorf("objective share %.3f without and %.3f with the membership module",
			direct.ObjectiveShare(), protected.ObjectiveShare())
	}
	scenario.Faults = []Fault{{Kind: Drain, Start: 10 * time.Second, Duration: 20 * time.Second}}
	if result := mustRun(t, scenario); result.NodeServed[0] > result.NodeServed[1]*8/10 {
		t.Errorf("a node that drains for a third of the time served %d, another one %d",
			result.NodeServed[0], result.NodeServed[1])
	}
}

// Where the list is watched, sidecars learn of a drain by the watch, and after an outage by a further watch request.
func TestWatchedList(t *testing.T) {
	scenario := steadyScenario(4, 0.4)
	scenario.Duration, scenario.List = 40*time.Second, EndpointList{WatchRequired: true, MaxDelay: 500 * ms}
	scenario.Faults = []Fault{
		{Kind: Drain, Start: 5 * time.Second, Node: 0},
		{Kind: ListOutage, Start: 10 * time.Second, Duration: 10 * time.Second},
		{Kind: Drain, Start: 12 * time.Second, Node: 1},
	}
	scenario.Tenants = nil
	result := mustRun(t, scenario)
	early, late, ready := result.NodeServed[0], result.NodeServed[1], result.NodeServed[2]
	if early*4 > ready || late*3 > ready*2 || early == 0 || result.ObjectiveShare() < 0.95 {
		t.Errorf("objective share %.3f; nodes that drain from 5.5 s and 20 to 25 s on served %d and %d, another one %d",
			result.ObjectiveShare(), early, late, ready)
	}
}
