package load

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"mothridge/internal/fleet"
	"mothridge/internal/peers"
	"mothridge/policy"
)

const ms = time.Millisecond

// smallScenario returns a scenario with two seconds of light load on three nodes.
func smallScenario() fleet.Scenario {
	return fleet.Scenario{
		Seed: 1, Duration: 2 * time.Second, Nodes: 3, Sidecars: 2, OfferedLoad: 0.3, MaxAttempts: 3, Clients: fleet.Clients{MaxSubmissions: 2, RetryAfterShare: 1, MaxRetryAfter: 500 * ms},
		Node: fleet.NodeParams{Cores: 2, Speed: 1, MaxRequests: 50},
		Classes: []fleet.Class{
			{Name: "reading", Share: 0.7, Work: 10 * ms, LatencyObjective: 500 * ms, Deadline: time.Second, Idempotency: fleet.Idempotency(policy.IdempotentByKey), DedupWindow: time.Second},
			{Name: "entry", Share: 0.3, Work: 15 * ms, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Idempotency: fleet.Idempotency(policy.NotIdempotent)},
		},
		Tenants: []fleet.Tenant{{Name: "north", Share: 0.8}, {Name: "south", Share: 0.2}},
	}
}

// TestRunOnSockets runs a scenario over sockets with real sidecars, in both protocols. It guards against requests that
// differ in number from the model's, requests with no response or more than one, and requests that nodes execute twice.
func TestRunOnSockets(t *testing.T) {
	for _, p := range []peers.Protocol{peers.HTTP, peers.RPC} {
		s := smallScenario()
		s.Faults = []fleet.Fault{{Kind: fleet.Hang, Start: 500 * ms, Duration: 400 * ms}, {Kind: fleet.Drain, Start: 600 * ms, Duration: 300 * ms, Node: 1}, {Kind: fleet.Restart, Start: time.Second, Node: 2}}
		model, err := fleet.Run(s)
		if err != nil {
			t.Fatal(err)
		}
		var reports []Progress
		r, err := RunOnSockets(context.Background(), s, p, 10_000, func(p Progress) { reports = append(reports, p) })
		if err != nil {
			t.Fatal(err)
		}
		if r.Requests != model.Requests || r.Submissions != r.Served+r.Rejected+r.Failed+r.Lost || r.Lost > 0 || len(r.Violations)+len(r.Unexpected) > 0 || r.ObjectiveShare() < 0.8 {
			t.Errorf("over %s: got %d requests, want %d; tally %+v, objective share %.3f, violations %q, unexpected responses %q",
				p, r.Requests, model.Requests, r.Tally, r.ObjectiveShare(), r.Violations, r.Unexpected)
		}
		if len(reports) == 0 || reports[0].Started == 0 {
			t.Errorf("got progress reports %+v, want at least one, with started requests", reports)
		}
	}
}

// TestNoCoordinatedOmission guards against coordinated omission: latencies must run from the planned time of a request,
// so that they include the whole delay that a stalled target causes.
func TestNoCoordinatedOmission(t *testing.T) {
	var stall sync.Mutex
	upstream, err := peers.StartUpstream(peers.HTTP, "n", nil, func(peers.Call) peers.Response {
		stall.Lock()
		defer stall.Unlock()
		return peers.Response{}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer upstream.Close()
	s := smallScenario()
	s.Sidecars, s.Clients.MaxSubmissions, s.Duration = 1, 1, time.Second
	stall.Lock()
	timer := time.AfterFunc(600*ms, stall.Unlock)
	defer timer.Stop()
	r, err := Run(context.Background(), Options{Scenario: s, Protocol: peers.HTTP, Targets: []string{upstream.Addr()}, MaxRequests: 10_000})
	if err != nil {
		t.Fatal(err)
	}
	// The requests due in the first 0.6 s waited until then: three fifths of all requests, for 0.3 s on average.
	if p60 := time.Duration(r.Latency.ValueAtQuantile(60)) * time.Microsecond; r.Served != r.Submissions || p60 < 100*ms {
		t.Errorf("got %d submissions, %d served, 60th percentile of the latency %v; want all served and at least 100ms (about 200ms expected)",
			r.Submissions, r.Served, p60)
	}
}

// TestNodeTimesMatchModel guards against a node that takes a different time in real time than the model computes, that
// admits more requests than MaxRequests, or that responds to requests which were abandoned or lost in a restart.
func TestNodeTimesMatchModel(t *testing.T) {
	n := NewNode(fleet.NodeParams{Cores: 1, Speed: 1, MaxRequests: 2}, 50*ms)
	defer n.Close()
	startedAt := time.Now()
	abandoned := make(chan struct{})
	first, second, third := n.Respond(peers.Call{}), n.Respond(peers.Call{Body: []byte("work_us=50000")}), n.Respond(peers.Call{})
	if first.WaitForAction(abandoned) != peers.Serve || second.WaitForAction(abandoned) != peers.Serve || third.Action != peers.Reject {
		t.Error("want the first two requests served and the third rejected")
	}
	if took := time.Since(startedAt); took < 95*ms {
		t.Errorf("two requests of 50 ms on one core: got %v, want at least 95ms", took)
	}
	end := n.BeginFault(fleet.Fault{Kind: fleet.Hang})
	hung := n.Respond(peers.Call{})
	close(abandoned)
	if hung.WaitForAction(abandoned) != peers.Reset {
		t.Error("an abandoned request on a hung node: want a reset")
	}
	end()
	lost := n.Respond(peers.Call{})
	n.BeginFault(fleet.Fault{Kind: fleet.Restart})
	if lost.WaitForAction(make(chan struct{})) != peers.Reset {
		t.Error("a request in flight during a restart: want a reset")
	}
}

// TestUnsupportedScenarios guards against scenarios and targets that Run and RunOnSockets accept although sockets do
// not support them.
func TestUnsupportedScenarios(t *testing.T) {
	for _, test := range []struct {
		change func(*fleet.Scenario)
		want   string
	}{
		{func(s *fleet.Scenario) { s.Policy = fleet.Random }, "is a reference policy"},
		{func(s *fleet.Scenario) { s.List.Membership = true }, "only in the model"},
		{func(s *fleet.Scenario) { s.Classes[0].DedupScope = fleet.DedupScope(policy.ScopeCell) }, "scope must be all"},
		{func(s *fleet.Scenario) { s.Faults = []fleet.Fault{{Kind: fleet.PowerLoss}} }, "power-cut"},
		{func(s *fleet.Scenario) { s.Faults = []fleet.Fault{{Kind: fleet.Hang, NodeShare: 0.5}} }, "exactly one node"},
		{func(s *fleet.Scenario) { s.Nodes = 0 }, "nodes and sidecars must be at least 1, got 0 and 2"},
	} {
		s := smallScenario()
		test.change(&s)
		if _, err := RunOnSockets(context.Background(), s, peers.HTTP, 1000, nil); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("got error %v, want one that contains %q", err, test.want)
		}
	}
	for _, o := range []Options{
		{Scenario: smallScenario(), Targets: []string{"192.0.2.1:80"}, MaxRequests: 1000}, {Scenario: smallScenario(), MaxRequests: 1000}, {Scenario: smallScenario(), Targets: []string{"127.0.0.1:1"}, MaxRequests: 3},
	} {
		if _, err := Run(context.Background(), o); err == nil {
			t.Errorf("targets %q with at most %d requests: got no error, want one", o.Targets, o.MaxRequests)
		}
	}
}
