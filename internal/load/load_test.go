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

// small is two seconds of light load over three nodes.
func small() fleet.Scenario {
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

// A scenario over sockets, with real sidecars and in both protocols: the same
// requests come as in the model, each has one answer, none runs twice.
func TestPlay(t *testing.T) {
	for _, p := range []peers.Protocol{peers.HTTP, peers.RPC} {
		s := small()
		s.Faults = []fleet.Fault{{Kind: fleet.Hang, Start: 500 * ms, Duration: 400 * ms}, {Kind: fleet.Drain, Start: 600 * ms, Duration: 300 * ms, Node: 1}, {Kind: fleet.Restart, Start: time.Second, Node: 2}}
		model, err := fleet.Run(s)
		if err != nil {
			t.Fatal(err)
		}
		var seen []Progress
		r, err := Play(context.Background(), s, p, 10_000, func(p Progress) { seen = append(seen, p) })
		if err != nil {
			t.Fatal(err)
		}
		if r.Requests != model.Requests || r.Submissions != r.Served+r.Rejected+r.Failed+r.Lost || r.Lost > 0 || len(r.Violations)+len(r.Unexpected) > 0 || r.ObjectiveShare() < 0.8 {
			t.Errorf("over %s: %d of %d requests came; %+v, good %.3f, %q %q", p, r.Requests, model.Requests, r.Tally, r.ObjectiveShare(), r.Violations, r.Unexpected)
		}
		if len(seen) == 0 || seen[0].Started == 0 {
			t.Errorf("progress: %+v", seen)
		}
	}
}

// A target that stalls is charged for all that it held up: requests are counted
// from the time at which they were due.
func TestNoCoordinatedOmission(t *testing.T) {
	var stall sync.Mutex
	n, err := peers.StartUpstream(peers.HTTP, "n", nil, func(peers.Call) peers.Response {
		stall.Lock()
		defer stall.Unlock()
		return peers.Response{}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	s := small()
	s.Sidecars, s.Clients.MaxSubmissions, s.Duration = 1, 1, time.Second
	stall.Lock()
	timer := time.AfterFunc(600*ms, stall.Unlock)
	defer timer.Stop()
	r, err := Run(context.Background(), Options{Scenario: s, Protocol: peers.HTTP, Targets: []string{n.Addr()}, MaxRequests: 10_000})
	if err != nil {
		t.Fatal(err)
	}
	// All that was due in the first 0.6 s waited until then: three fifths of all, 0.3 s on the mean.
	if p25 := time.Duration(r.Latency.ValueAtQuantile(60)) * time.Microsecond; r.Served != r.Submissions || p25 < 100*ms {
		t.Errorf("of %d requests %d served; two fifths took longer than %v, want 200 ms or so", r.Submissions, r.Served, p25)
	}
}

// The node of the model takes as long over a socket as it does in the model.
func TestNodeShares(t *testing.T) {
	n := NewNode(fleet.NodeParams{Cores: 1, Speed: 1, MaxRequests: 2}, 50*ms)
	defer n.Close()
	began := time.Now()
	given := make(chan struct{})
	first, second, third := n.Script(peers.Call{}), n.Script(peers.Call{Body: []byte("work_us=50000")}), n.Script(peers.Call{})
	if first.Wait(given) != peers.Serve || second.Wait(given) != peers.Serve || third.Action != peers.Reject {
		t.Error("two are served and a third one turned away")
	}
	if took := time.Since(began); took < 95*ms {
		t.Errorf("two requests of 50 ms on a core took %v", took)
	}
	end := n.BeginFault(fleet.Fault{Kind: fleet.Hang})
	hung := n.Script(peers.Call{})
	close(given)
	if hung.Wait(given) != peers.Reset {
		t.Error("what nobody waits for is answered")
	}
	end()
	lost := n.Script(peers.Call{})
	n.BeginFault(fleet.Fault{Kind: fleet.Restart})
	if lost.Wait(make(chan struct{})) != peers.Reset {
		t.Error("a restart answers what it held")
	}
}

func TestWhatCannotBePlayed(t *testing.T) {
	for _, x := range []struct {
		change func(*fleet.Scenario)
		want   string
	}{
		{func(s *fleet.Scenario) { s.Policy = fleet.Random }, "is a reference"},
		{func(s *fleet.Scenario) { s.List.Membership = true }, "the model's alone"},
		{func(s *fleet.Scenario) { s.Classes[0].DedupScope = fleet.DedupScope(policy.ScopeCell) }, "scope all"},
		{func(s *fleet.Scenario) { s.Faults = []fleet.Fault{{Kind: fleet.PowerLoss}} }, "power-cut"},
		{func(s *fleet.Scenario) { s.Faults = []fleet.Fault{{Kind: fleet.Hang, NodeShare: 0.5}} }, "one node"},
		{func(s *fleet.Scenario) { s.Nodes = 0 }, "0 nodes"},
	} {
		s := small()
		x.change(&s)
		if _, err := Play(context.Background(), s, peers.HTTP, 1000, nil); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%v, want %q", err, x.want)
		}
	}
	for _, o := range []Options{
		{Scenario: small(), Targets: []string{"192.0.2.1:80"}, MaxRequests: 1000}, {Scenario: small(), MaxRequests: 1000}, {Scenario: small(), Targets: []string{"127.0.0.1:1"}, MaxRequests: 3},
	} {
		if _, err := Run(context.Background(), o); err == nil {
			t.Errorf("targets %q with a bound of %d are loaded", o.Targets, o.MaxRequests)
		}
	}
}
