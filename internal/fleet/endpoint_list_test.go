package fleet

import (
	"testing"
	"time"
)

// The loss protection of the membership module keeps the nodes that an incomplete list omits.
func TestIncompleteListAndMembership(t *testing.T) {
	scenario := steadyScenario(10, 0.6)
	scenario.Faults = []Fault{{Kind: IncompleteList, Start: 10 * time.Second, Duration: 20 * time.Second, NodeShare: 0.8}}
	direct := mustRun(t, scenario)
	scenario.List.Membership = true
	protected := mustRun(t, scenario)
	if direct.ObjectiveShare() > 0.9 || protected.ObjectiveShare() < 0.99 {
		t.Errorf("objective share: got %.3f without membership, want at most 0.9; got %.3f with it, want at least 0.99",
			direct.ObjectiveShare(), protected.ObjectiveShare())
	}
	scenario.Faults = []Fault{{Kind: Drain, Start: 10 * time.Second, Duration: 20 * time.Second}}
	if result := mustRun(t, scenario); result.NodeServed[0] > result.NodeServed[1]*8/10 {
		t.Errorf("node that drains for 1/3 of the time: got %d requests served, want at most 0.8 of a ready node's %d",
			result.NodeServed[0], result.NodeServed[1])
	}
}

// If the list has to be watched, sidecars receive a drain through the watch, and after an outage through a new watch
// request.
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
		t.Errorf("objective share: got %.3f, want at least 0.95; served: got %d by the node drained at 5.5 s, want 1 to 1/4 of a ready node's; got %d by the node drained at 20 to 25 s, want at most 2/3 of a ready node's %d",
			result.ObjectiveShare(), early, late, ready)
	}
}
