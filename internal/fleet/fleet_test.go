package fleet

import (
	"flag"
	"fmt"
	"math"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"mothridge/policy"
)

var longRun = flag.Bool("long", false, "also play 10^8 events")

const ms = time.Millisecond

// calm is one class of safe requests over nodes of one core, with nothing else.
func steadyScenario(nodes int, load float64) Scenario {
	return Scenario{
		Seed: 1, Duration: time.Minute, Nodes: nodes, Sidecars: 1, OfferedLoad: load, Node: NodeParams{Cores: 1, Speed: 1}, MaxAttempts: 3, Clients: Clients{MaxSubmissions: 1},
		Classes: []Class{{Share: 1, Work: 10 * ms, LatencyObjective: time.Second, Deadline: 30 * time.Second}},
	}
}

// must plays a scenario that is to break no rule.
func mustRun(t *testing.T, s Scenario) *Result {
	t.Helper()
	r, err := Run(s)
	if err != nil || len(r.Violations) > 0 || r.Truncated != "" {
		t.Fatalf("seed %d: %v %q %s", s.Seed, err, r.Violations, r.Truncated)
	}
	return r
}

// Two hundred small fleets with trouble of every kind: no rule breaks in any.
func TestRulesHold(t *testing.T) {
	var asked, lost, chokes, handshakes uint64
	for seed := range uint64(200) {
		r, err := Run(RandomScenario(seed))
		if err != nil {
			t.Fatalf("Small(%d): %v", seed, err)
		}
		if len(r.Violations) > 0 || r.Truncated != "" {
			t.Errorf("Small(%d): %s %s\nplay it with: go run ./cmd/fleetsim farm --first %d --seeds 1 --shrink", seed, r.Truncated, strings.Join(r.Violations, "; "), seed)
		}
		asked, lost, chokes, handshakes = asked+r.Submissions, lost+r.Lost, chokes+r.OverloadCollapses, handshakes+r.Handshakes
	}
	if asked < 100_000 || lost < 100 || chokes < 10 || handshakes < 1000 {
		t.Errorf("%d tries, %d lost with their sidecar, %d slow states, %d handshakes in all: that shows little", asked, lost, chokes, handshakes)
	}
}

// The checks themselves see what they are there for.
func TestBrokenRulesAreSeen(t *testing.T) {
	for rule, do := range map[string]func(c *sidecar, x *submission){
		"rule 1: request 1 of sidecar 0 has a second answer": func(c *sidecar, x *submission) { c.complete(x); c.complete(x) },
		"rule 1: sidecar 0 refuses request 1":                func(c *sidecar, x *submission) { c.Fail(x.id); c.Reject(x.id, 0) },
		"rule 1: request 2 of sidecar 0 has no answer before its deadline": func(c *sidecar, _ *submission) {
			c.nodes[0].hanging, c.nodes[1].hanging = true, true
			y := c.newSubmission(&clientRequest{class: 1, deadline: time.Second}, 1)
			c.submit(y)
			c.cancel(y.attempts[0].timeoutTimer) // neither its attempt's end nor the module's own timer comes
			for c.cancel(c.balancerTimer); c.processNext(2 * time.Second); c.cancel(c.balancerTimer) {
			}
		},
		"rule 2: request 1": func(c *sidecar, x *submission) { c.recordEffect(x, c.nodes[0]); c.recordEffect(x, c.nodes[0]) },
		"rule 2: request 1 of sidecar 0 may run a second time": func(c *sidecar, x *submission) {
			x.class = 0 // keyed, each node a cell
			c.recordEffect(x, c.nodes[0])
			c.recordEffect(x, c.nodes[1])
		},
		"rule 3: sidecar 0 sends request 1 to node 0": func(c *sidecar, x *submission) {
			c.endpoints[0].drainingSince, c.now = time.Second, 4*time.Second
			c.Send(x.id, 1, 0, 0)
		},
		"rule 4: node 0 fell over": func(c *sidecar, x *submission) {
			c.nodes[0].startedAt, c.now = time.Second, 3*time.Second
			for range 1000 {
				c.checkWarmUpOverload(c.nodes[0], 0.02)
			}
		},
	} {
		s := RandomScenario(1)
		s.Nodes, s.Sidecars, s.Classes[0].DedupScope, s.List, s.Faults = 2, 1, DedupScope(policy.ScopeCell), EndpointList{}, nil
		r, err := newSimulation(&s)
		if err != nil {
			t.Fatal(err)
		}
		c := r.sidecars[0]
		x := c.newSubmission(&clientRequest{class: 1, deadline: time.Second}, 1)
		c.lastID++
		x.id, c.submissions[1] = c.lastID, x
		do(c, x)
		if !strings.Contains(strings.Join(r.result.Violations, "\n"), rule) {
			t.Errorf("%q is not seen: %v", rule, r.result.Violations)
		}
	}
}

// A node that falls over between a request's last byte and its answer may have
// run it: a policy that takes that for 'never ran' is caught.
func TestFallBetweenLastByteAndAnswer(t *testing.T) {
	s := steadyScenario(4, 0.7)
	s.Classes[0].Idempotency, s.Classes[0].Work, s.Clients.MaxSubmissions = Idempotency(policy.NotIdempotent), 200*ms, 3
	s.Network.Delay = 5 * ms
	for i := range 40 {
		s.Faults = append(s.Faults, Fault{Kind: Restart, Start: time.Duration(i+1) * time.Second, Node: i % 4})
	}
	if r := mustRun(t, s); r.Failed < 20 {
		t.Errorf("%d requests failed: the falls hit nothing", r.Failed)
	}
	r, err := newSimulation(&s)
	if err != nil {
		t.Fatal(err)
	}
	r.sidecars[0].balancer = &unsafeRetrier{balancer: r.sidecars[0].balancer}
	for _, x := range s.Faults {
		r.schedule(x.Start, func() { r.injectFault(x) })
	}
	r.startArrivals()
	r.processEvents()
	if !strings.Contains(strings.Join(r.result.Violations, "\n"), "rule 2") {
		t.Errorf("a policy that repeats what may have run is not caught: %v", r.result.Violations)
	}
}

// An answer that is on its way when its node falls does not come: the request may
// have run, and its client hears that nothing is known.
func TestAnswerOfAFallenNode(t *testing.T) {
	s := steadyScenario(1, 0.5)
	s.Classes[0].Idempotency, s.Network.Delay = Idempotency(policy.NotIdempotent), 50*ms
	r, err := newSimulation(&s)
	if err != nil {
		t.Fatal(err)
	}
	r.sidecars[0].beginRequest(new(clientRequest), 10*ms)
	for r.nodes[0].served == 0 && r.processNext(time.Minute) {
	}
	r.nodes[0].restart(true)
	for r.openRequests > 0 && r.processNext(time.Minute) {
	}
	if r.result.Served != 0 || r.result.Failed != 1 {
		t.Errorf("%d served and %d failed of one whose node fell", r.result.Served, r.result.Failed)
	}
}

// careless takes a broken connection for proof that nothing ran.
type unsafeRetrier struct{ balancer }

func (c *unsafeRetrier) AttemptEnded(now time.Duration, o policy.AttemptOutcome) {
	if o.Result == policy.ConnectionReset {
		o.Result = policy.NotSent
	}
	c.balancer.AttemptEnded(now, o)
}

// The same scenario gives the same result, whatever runs beside it.
func TestSameSeedSameResult(t *testing.T) {
	for seed := range uint64(6) {
		results := make(chan *Result, 4)
		for range 4 {
			go func() {
				r, _ := Run(RandomScenario(seed))
				results <- r
			}()
		}
		first := <-results
		for range 3 {
			if r := <-results; !reflect.DeepEqual(r, first) {
				t.Errorf("seed %d: %+v and %+v", seed, r, first)
			}
		}
	}
	a, _ := Run(RandomScenario(1))
	b, _ := Run(RandomScenario(2))
	if reflect.DeepEqual(a, b) {
		t.Error("two seeds give one result")
	}
}

// What is known of one queue comes out of the node: with processor sharing the
// mean response is E[S]/(1-rho), whatever the distribution of the work (Kleinrock,
// Queueing Systems II, 4.4).
func TestOneNodeIsAQueue(t *testing.T) {
	const work, jobs = 0.010, 2_000_000
	for _, rho := range []float64{0.5, 0.8} {
		for name, draw := range map[string]func(x float64) float64{"exponential": func(x float64) float64 { return x }, "fixed": func(float64) float64 { return 1 }} {
			var e eventQueue
			n := &node{events: &e, params: NodeParams{Cores: 1, Speed: 1}}
			rng, ended, sum := randomStream(7, "queue", 0), 0, time.Duration(0)
			var arrive func()
			arrive = func() {
				began := e.now
				n.accept(&job{owner: jobEndedFunc(func(bool) {
					ended++
					sum += e.now - began
				})}, work*draw(rng.ExpFloat64()))
				e.schedule(time.Duration(rng.ExpFloat64()*work/rho*1e9), arrive)
			}
			e.schedule(0, arrive)
			for ended < jobs && e.processNext(1<<62) {
			}
			mean, want := sum.Seconds()/float64(ended), work/(1-rho)
			if off := math.Abs(mean/want - 1); off > 0.01 {
				t.Errorf("%s at %v: a mean of %.3f ms, want %.3f: %.1f%% off", name, rho, mean*1e3, want*1e3, off*100)
			}
			if use := n.busyCoreSeconds / e.now.Seconds(); math.Abs(use-rho) > 0.01 {
				t.Errorf("%s: busy %.3f of the time, want %.3f", name, use, rho)
			}
		}
	}
}

// The better of two servers against any one: at a load of 0.9 the mean response
// falls, as Mitzenmacher has it. No reference breaks a rule on a calm day.
func TestTwoChoicesAgainstRandom(t *testing.T) {
	mean := make(map[Policy]float64)
	for _, p := range knownPolicies {
		s := steadyScenario(10, 0.9)
		s.Policy = p
		mean[p] = mustRun(t, s).Latency.Mean()
	}
	if !(mean[TwoChoices] < 0.6*mean[Random] && mean[PeakEWMA] < 0.8*mean[Random] && mean[RoundRobin] < mean[Random]) {
		t.Errorf("mean responses in µs: %v", mean)
	}
}

// Storm is a fleet on which a burst starts what outlasts it: attempts that take
// their whole time are sent again while the nodes go on with them (Bronson et
// al., Metastable Failures in Distributed Systems, HotOS 2021).
func retryStorm(r RetryMode) Scenario {
	s := steadyScenario(10, 0.5)
	s.Policy, s.Retries, s.Sidecars = Random, r, 4
	s.Node.Cores, s.Node.KeepsAbandoned = 2, true
	s.Classes[0] = Class{Share: 1, Work: 50 * ms, LatencyObjective: 500 * ms, Deadline: 1500 * ms}
	s.Faults = []Fault{{Kind: TrafficBurst, Start: 15 * time.Second, Duration: 5 * time.Second, RateFactor: 3}}
	return s
}

// After the burst naive retries keep the fleet down; with a budget it comes back
// by itself, as it does with the decision module.
func TestRetryStorm(t *testing.T) {
	share := func(s Scenario, from, to int) float64 {
		var good Tally
		for _, w := range mustRun(t, s).Windows[from:to] {
			good.Requests, good.MetObjective = good.Requests+w.Requests, good.MetObjective+w.MetObjective
		}
		return good.ObjectiveShare()
	}
	ours := retryStorm(RetryUnstarted)
	ours.Policy = Mothridge
	for _, x := range []struct {
		name       string
		s          Scenario
		least, top float64 // of good requests in the last 15 s, 40 s after the burst
	}{{"naive", retryStorm(RetryNaively), 0, 0.2}, {"budget", retryStorm(RetryWithBudget), 0.95, 1}, {"ours", ours, 0.95, 1}} {
		before, after := share(x.s, 0, 15), share(x.s, 45, 60)
		if before < 0.95 || after < x.least || after > x.top {
			t.Errorf("%s: %.3f of requests good before the burst, %.3f long after it; want 0.95 or more, and %v to %v", x.name, before, after, x.least, x.top)
		}
	}
}

// A crowded node turns slow, stays so though the load is bearable again, and
// is itself again after a rest.
func TestChoke(t *testing.T) {
	var e eventQueue
	n := &node{events: &e, params: NodeParams{Cores: 1, Speed: 1, OverloadCollapse: OverloadCollapse{RequestsPerCore: 3, OnsetTime: time.Second, Slowdown: 2, RecoveryTime: 2 * time.Second, MaxDuration: time.Hour}}}
	for range 10 {
		n.accept(new(job), 0.5)
	}
	state := func(at time.Duration) bool {
		for e.processNext(at) {
		}
		e.now = at
		return n.collapsed
	}
	// Ten times 0.5 s of work: crowded from 0 on, slow after 1 s; the rest takes twice 4 s.
	for _, x := range []struct {
		at   time.Duration
		slow bool
	}{{999 * ms, false}, {1001 * ms, true}, {8999 * ms, true}, {10 * time.Second, true}, {11001 * ms, false}} {
		if got := state(x.at); got != x.slow {
			t.Errorf("at %v: slow %v, want %v; it holds %d", x.at, got, x.slow, len(n.jobs))
		}
	}
}

// Each trouble does what it says: what is lost, and where.
func TestTroubles(t *testing.T) {
	base := steadyScenario(4, 0.4)
	base.Duration, base.Clients.MaxSubmissions, base.Classes[0].Deadline = 20*time.Second, 2, 2*time.Second
	play := func(change func(*Scenario)) *Result {
		s := base
		s.Policy = RoundRobin
		change(&s)
		return mustRun(t, s)
	}
	quiet := play(func(*Scenario) {})
	all := func(k FaultKind, more Fault) func(*Scenario) {
		more.Kind, more.Start, more.Duration, more.NodeShare = k, 5*time.Second, 10*time.Second, 1
		return func(s *Scenario) { s.Faults = []Fault{more} }
	}
	for _, x := range []struct {
		name string
		r    *Result
		ok   func(*Result) bool
	}{
		{"none", quiet, func(r *Result) bool { return r.ObjectiveShare() == 1 && r.Rejected+r.Failed+r.Lost == 0 }},
		{"hang", play(all(Hang, Fault{})), func(r *Result) bool {
			return r.ObjectiveShare() < 0.7 && r.Windows[8].Served == 0 && r.Windows[19].Served > 50
		}},
		{"mute", play(all(DropResponses, Fault{})), func(r *Result) bool { return r.Windows[8].Served == 0 && r.NodeUtilisation[0] > 0.35 }},
		{"deaf", play(all(DropRequests, Fault{})), func(r *Result) bool { return r.Windows[8].Served == 0 && r.NodeUtilisation[0] < 0.25 }},
		{"break", play(all(ResetConnections, Fault{Share: 0.5})), func(r *Result) bool { return r.Attempts > quiet.Attempts*6/5 && r.ObjectiveShare() > 0.9 }},
		{"steal", play(all(StealCPU, Fault{Share: 0.5})), func(r *Result) bool { return r.Latency.Mean() > 1.5*quiet.Latency.Mean() }},
		{"steal, on and off", play(all(StealCPU, Fault{Share: 0.5, Period: 100 * ms})), func(r *Result) bool {
			return r.Latency.Mean() > 1.1*quiet.Latency.Mean() && r.Latency.Mean() < 1.6*quiet.Latency.Mean()
		}},
		{"wrong", play(all(IncompleteList, Fault{})), func(r *Result) bool { return r.Rejected > 500 && r.Windows[8].Attempts+r.Windows[8].Served == 0 }},
		{"burst", play(all(TrafficBurst, Fault{RateFactor: 2})), func(r *Result) bool { return r.Requests > quiet.Requests*14/10 && r.Requests < quiet.Requests*16/10 }},
		{"power-cut", play(all(PowerLoss, Fault{})), func(r *Result) bool { return r.Lost > 1000 && r.Windows[8].Served == 0 && r.Windows[19].Served > 50 }},
		{"sidecar-up", play(all(SidecarRestart, Fault{})), func(r *Result) bool { return r.Lost > 0 && r.Lost < 50 }},
	} {
		if !x.ok(x.r) {
			t.Errorf("%s: %+v, good %.3f, mean %.1f ms (calm: %.1f), windows %+v", x.name, x.r.Tally, x.r.ObjectiveShare(), x.r.Latency.Mean()/1e3, quiet.Latency.Mean()/1e3, x.r.Windows[8])
		}
	}
}

// A list that leaves out what is there, with and without the membership module:
// its guard keeps the nodes.
func TestWrongListAndMembership(t *testing.T) {
	s := steadyScenario(10, 0.6)
	s.Faults = []Fault{{Kind: IncompleteList, Start: 10 * time.Second, Duration: 20 * time.Second, NodeShare: 0.8}}
	bare := mustRun(t, s)
	s.List.Membership = true
	guarded := mustRun(t, s)
	if bare.ObjectiveShare() > 0.9 || guarded.ObjectiveShare() < 0.99 {
		t.Errorf("good requests: %.3f with the bare list, %.3f with the membership module", bare.ObjectiveShare(), guarded.ObjectiveShare())
	}
	s.Faults = []Fault{{Kind: Drain, Start: 10 * time.Second, Duration: 20 * time.Second}}
	if r := mustRun(t, s); r.NodeServed[0] > r.NodeServed[1]*8/10 {
		t.Errorf("a node that drains for a third of the time served %d, another one %d", r.NodeServed[0], r.NodeServed[1])
	}
}

// Quotas in front of the balancers: the club that asks for too much is held to its
// share, and to more where the other one lends.
func TestQuotas(t *testing.T) {
	s := steadyScenario(10, 0.5) // 500 a second
	s.Sidecars, s.Tenants, s.Classes[0].Deadline = 2, []Tenant{{Share: 0.5, Quota: 300}, {Share: 0.5, Quota: 300}}, 2*time.Second
	s.Faults = []Fault{{Kind: TrafficBurst, Duration: time.Hour, Tenant: 1, RateFactor: 2}} // 250 and 500 a second
	s.Quotas = Quotas{SidecarShare: 0.5, LenderReserve: time.Second}
	served := func() (a, b float64) {
		r := mustRun(t, s)
		return float64(r.Tenants[0].Served) / 60, float64(r.Tenants[1].Served) / 60
	}
	a, b := served()
	s.Quotas.LendingAllowed = true
	c, d := served()
	if a < 240 || b < 290 || b > 360 || c < 240 || d < b+30 || d > 400 {
		t.Errorf("served a second: %.0f and %.0f of 250 and 500 that are asked for, at quotas of 300; %.0f and %.0f with loans", a, b, c, d)
	}
}

// A list that is asked for: drains are heard of by the subscription, and after a
// silence of it by another one.
func TestAskedList(t *testing.T) {
	s := steadyScenario(4, 0.4)
	s.Duration, s.List = 40*time.Second, EndpointList{WatchRequired: true, MaxDelay: 500 * ms}
	s.Faults = []Fault{{Kind: Drain, Start: 5 * time.Second, Node: 0}, {Kind: ListOutage, Start: 10 * time.Second, Duration: 10 * time.Second}, {Kind: Drain, Start: 12 * time.Second, Node: 1}}
	s.Tenants = nil
	r := mustRun(t, s)
	if a, b, c := r.NodeServed[0], r.NodeServed[1], r.NodeServed[2]; a*4 > c || b*3 > c*2 || a == 0 || r.ObjectiveShare() < 0.95 {
		t.Errorf("good %.3f; nodes that drain from 5.5 s and 20 to 25 s on served %d and %d, another one %d", r.ObjectiveShare(), a, b, c)
	}
}

// Connections: one serves many requests, a node takes no more than its bound, an
// idle one is closed.
func TestConnections(t *testing.T) {
	s := steadyScenario(2, 0.5)
	s.Network = Network{Delay: ms / 4, HandshakeWork: ms, HandshakeRoundTrips: 2}
	kept := mustRun(t, s)
	s.Network.IdleTimeout = 5 * ms
	closed := mustRun(t, s)
	s.Network.IdleTimeout, s.Network.MaxConnections = 0, 1
	bound := mustRun(t, s)
	if kept.Handshakes > kept.Requests/20 || closed.Handshakes < kept.Handshakes*5 || bound.Handshakes > kept.Handshakes || bound.Attempts > bound.Served+uint64(s.Nodes) {
		t.Errorf("handshakes for %d requests: %d kept, %d closed when idle, %d where a node takes one (%d attempts, %d served)",
			kept.Requests, kept.Handshakes, closed.Handshakes, bound.Handshakes, bound.Attempts, bound.Served)
	}
}

// Arrivals that swing, that come unevenly to sidecars, and that were recorded.
func TestArrivals(t *testing.T) {
	s := steadyScenario(4, 0.4)
	s.Sidecars, s.TrafficSkew, s.Daily = 4, 1, Wave{Period: time.Minute, Swing: 0.5}
	plan, err := PlanArrivals(s)
	if err != nil {
		t.Fatal(err)
	}
	r := mustRun(t, s)
	if uint64(len(plan)) != r.Requests {
		t.Errorf("%d are planned, %d came", len(plan), r.Requests)
	}
	by := make([]int, 4)
	for _, p := range plan {
		by[p.Sidecar]++
	}
	if a, b := float64(by[0])/float64(by[3]), float64(r.Windows[15].Requests)/float64(r.Windows[45].Requests); math.Abs(a-4) > 0.6 || math.Abs(b-3) > 0.8 {
		t.Errorf("the first sidecar has %.2f of the fourth's requests, want 4; the peak %.2f of the trough's, want 3", a, b)
	}
	s.OfferedLoad = 0
	for _, p := range plan {
		s.RecordedArrivals = append(s.RecordedArrivals, p.Arrival)
	}
	if again := mustRun(t, s); again.Requests != r.Requests || math.Abs(again.NodeUtilisation[0]-r.NodeUtilisation[0]) > 0.02 {
		t.Errorf("played again: %d requests of %d, busy %.3f and %.3f", again.Requests, r.Requests, again.NodeUtilisation[0], r.NodeUtilisation[0])
	}
}

// Events at one instant come in the order in which they were put there, and one
// that was called off or moved does not come at its old time. The heap is held
// against a plain list.
func TestOrderOfEvents(t *testing.T) {
	for seed := range uint64(50) {
		var e eventQueue
		rng := randomStream(seed, "order", 0)
		var got, want []int
		var timers []timer
		type planned struct {
			at    time.Duration
			order int
			alive bool
		}
		plan := make([]planned, 300)
		order := 0
		for i := range plan {
			plan[i] = planned{time.Duration(rng.IntN(20)), order, true}
			order++
			timers = append(timers, e.schedule(plan[i].at, func() { got = append(got, i) }))
		}
		for range 200 {
			i := rng.IntN(len(plan))
			if rng.IntN(2) == 0 {
				e.cancel(timers[i])
				plan[i].alive = false
			} else if e.reschedule(timers[i], time.Duration(rng.IntN(20))) != plan[i].alive {
				t.Fatal("a move of what was called off, or none of what was not")
			} else if plan[i].alive {
				plan[i].at, plan[i].order = e.heap[timers[i].event.index].at, order
				order++
			}
		}
		for len(want) < len(plan) {
			best := -1
			for i, p := range plan {
				if p.alive && (best < 0 || p.at < plan[best].at || p.at == plan[best].at && p.order < plan[best].order) {
					best = i
				}
			}
			if best < 0 {
				break
			}
			plan[best].alive = false
			want = append(want, best)
		}
		for e.processNext(time.Minute) {
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: %v, want %v", seed, got, want)
		}
	}
}

// A run that would not end is cut, and says where.
func TestEndlessRunIsCut(t *testing.T) {
	s := RandomScenario(3)
	s.Duration, s.MaxEvents, s.Faults = 1000*time.Hour, 5000, nil
	r, err := Run(s)
	if err != nil || r.Events != 5000 || !strings.Contains(r.Truncated, "after 5000 events") {
		t.Errorf("%+v, %v", r, err)
	}
}

// Memory is that of what is under way, not of what has been: with -long after
// 10^8 events.
func TestMemoryDoesNotGrow(t *testing.T) {
	events := uint64(2_000_000)
	if *longRun {
		events = 100_000_000
	}
	heap := func(events uint64) uint64 {
		s := RandomScenario(5)
		s.Duration, s.MaxEvents, s.Faults, s.OfferedLoad, s.RecordedArrivals = 10000*time.Hour, events, nil, 0.6, nil
		r, err := newSimulation(&s)
		if err != nil {
			t.Fatal(err)
		}
		r.startArrivals()
		r.processEvents()
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		runtime.KeepAlive(r)
		return m.HeapAlloc
	}
	early, late := heap(events/10), heap(events)
	if late > early+early/4+1<<20 {
		t.Errorf("%d KiB after %d events, %d KiB after %d", early>>10, events/10, late>>10, events)
	}
	t.Logf("%d KiB after %d events, %d KiB after %d", early>>10, events/10, late>>10, events)
}

// What happened to a request can be told, also by the number of a later try.
func TestWatch(t *testing.T) {
	s := steadyScenario(2, 0.8)
	s.Duration, s.Clients = 10*time.Second, Clients{MaxSubmissions: 3, RetryBackoff: 20 * ms}
	s.Classes[0].Deadline = 2 * time.Second
	s.Policy, s.Faults = RoundRobin, []Fault{{Kind: Hang, Duration: 3 * time.Second, NodeShare: 1}}
	r := mustRun(t, s)
	if len(r.Samples) == 0 {
		t.Fatal("nothing is notable")
	}
	s.ExplainRequest = r.Samples[0].ID
	told := mustRun(t, s).Explanation
	text := fmt.Sprint(told)
	if len(told) < 4 || !strings.Contains(told[0].Text, "try 1") || !strings.Contains(text, "which hangs") || !strings.Contains(text, fmt.Sprintf("request %d", s.ExplainRequest)) {
		t.Errorf("of request %d is told %v", s.ExplainRequest, told)
	}
}

func TestScenariosThatCannotBe(t *testing.T) {
	for i, change := range []func(*Scenario){
		func(s *Scenario) { s.Nodes = 0 }, func(s *Scenario) { s.ArrivalRate = 1 }, func(s *Scenario) { s.OfferedLoad = 0 }, func(s *Scenario) { s.Node.Cores = 0 },
		func(s *Scenario) { s.Classes = nil }, func(s *Scenario) { s.Clients.MaxSubmissions = 0 }, func(s *Scenario) { s.Classes[0].Deadline = 0 },
		func(s *Scenario) { s.Faults = []Fault{{Kind: Hang, Node: 99}} }, func(s *Scenario) { s.Faults = []Fault{{Kind: "flood"}} },
		func(s *Scenario) { s.Faults = []Fault{{Kind: StealCPU}} }, func(s *Scenario) { s.Faults = []Fault{{Kind: ListOutage}} },
		func(s *Scenario) { s.Faults = []Fault{{Kind: TrafficBurst, Duration: 1, Tenant: 5}} }, func(s *Scenario) { s.Policy = "best" },
		func(s *Scenario) { s.Retries = "often" }, func(s *Scenario) { s.Tenants = []Tenant{{Share: -1}} }, func(s *Scenario) { s.SpeedFactors = []float64{0} },
		func(s *Scenario) { s.Clients.TimeoutShares = []float64{0.9, 0.1} }, func(s *Scenario) { s.Node.OverloadCollapse = OverloadCollapse{Slowdown: 2} }, func(s *Scenario) { s.Daily.Swing = 2 },
		func(s *Scenario) { s.RecordedArrivals = []Arrival{{At: 2}, {At: 1}} }, func(s *Scenario) { s.Classes[0].WorkDistribution = "wide" }, func(s *Scenario) { s.Node.InitialSpeedShare = 0 },
	} {
		s := RandomScenario(1)
		change(&s)
		if _, err := Run(s); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("change %d: %v", i, err)
		}
	}
}

// BenchmarkRun plays fleets of several sizes; events/s is of one core.
func BenchmarkRun(b *testing.B) {
	for _, size := range []struct {
		sidecars, nodes int
		p               Policy
	}{{4, 10, Mothridge}, {4, 10, TwoChoices}, {30, 50, Mothridge}, {30, 50, TwoChoices}, {200, 2000, Mothridge}, {200, 2000, TwoChoices}} {
		b.Run(fmt.Sprintf("%s/%dx%d", size.p, size.sidecars, size.nodes), func(b *testing.B) {
			s := steadyScenario(size.nodes, 0.5)
			s.Sidecars, s.Policy, s.Node, s.Network.Delay = size.sidecars, size.p, NodeParams{Cores: 2, Speed: 1, MaxRequests: 64}, ms/2
			s.Duration = time.Duration(200/size.nodes+1) * 2 * time.Second
			s.Classes[0].Work, s.Classes[0].Deadline = 20*ms, 2*time.Second
			events := uint64(0)
			for range b.N {
				r, err := Run(s)
				if err != nil {
					b.Fatal(err)
				}
				events += r.Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapSys)/(1<<20), "heap-MiB")
		})
	}
}
